//! State shared by the tasks of one daemon.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::clock::mono_now;
use crate::clock::wall_now;
use crate::edge::EdgeHandle;
use crate::front::metrics::FrontMetrics;
use crate::front::pack::PackedFacts;
use crate::front::settings::FrontSettings;
use crate::logging::quoted;
use crate::upstream::KeptChannels;
use ggt_core::blame::BlameTable;
use ggt_core::clock::MonoTime;
use ggt_core::facts::FactBatch;
use ggt_core::facts::FactChange;
use ggt_core::facts::FactTable;
use ggt_core::facts::OutageRecord;
use ggt_core::fleet::FleetTable;
use ggt_core::fleet::PeerDigest;
use ggt_core::ident::stable_hash;
use ggt_core::limits::ShareBook;
use ggt_core::routes::RouteBook;
use ggt_core::spend::SpendWindow;
use ggt_core::targets::TargetKey;
use ggt_core::targets::TargetPool;
use ggt_platform::CONFIG_KEY;
use ggt_platform::TARGET_PREFIX;
use ggt_platform::parse_config;
use ggt_platform::parse_entry;
use ggt_platform::target_id;

/// Crashes of targets after which a request that was in flight at each of them is refused.
const CRASH_LIMIT: u32 = 3;
/// Most requests that are tracked as suspected of crashing their targets.
const MAX_SUSPECTS: usize = 4_096;

/// Connect timeout for targets, peers and the platform.
pub const CONNECT_WAIT: Duration = Duration::from_millis(200);
/// Milliseconds for which a request stays suspected of crashing its targets.
pub const BLAME_MS: u64 = 60_000;

/// A folder of the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FactKind {
    /// Registrations of targets.
    Targets,
    /// The operator's configuration.
    Config,
}

impl FactKind {
    pub const ALL: [Self; 2] = [Self::Targets, Self::Config];

    /// The folder's name in logs and in requests to peers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Targets => "targets",
            Self::Config => "config",
        }
    }

    /// Prefix of the folder's keys in the store.
    pub const fn prefix(self) -> &'static str {
        match self {
            Self::Targets => TARGET_PREFIX,
            Self::Config => CONFIG_KEY,
        }
    }
}

/// State shared by the tasks of one daemon.
pub struct FrontState {
    /// The active settings; replaced when the settings file changes.
    pub settings: RefCell<Rc<FrontSettings>>,
    pub metrics: FrontMetrics,
    /// Unix time in milliseconds at which this process started.
    pub incarnation: u64,
    /// Short hash of the name of the daemon's data centre.
    pub centre: u32,
    /// Notified when a digest should be sent at once.
    pub news: Notify,
    /// When this process started.
    pub started_at: MonoTime,
    /// The targets with their load, health and cached prefixes.
    pub pool: RefCell<TargetPool>,
    /// Idle connections to targets.
    pub channels: KeptChannels<TargetKey>,
    /// The other daemons.
    pub fleet: RefCell<FleetTable>,
    /// Requests suspected of crashing their targets.
    pub blame: RefCell<BlameTable>,
    /// Customers' shares of each service, by service and priority.
    pub shares: RefCell<ShareBook<(String, u32), String>>,
    /// Requests in flight.
    pub in_flight: Cell<usize>,
    /// Callers' open connections, and the state of the shutdown.
    pub edge: EdgeHandle,
    /// Notified when the platform becomes unreachable and when it replies again.
    pub platform_turned: Notify,
    /// When the platform last replied to this daemon.
    pub platform_seen_at: Cell<MonoTime>,
    targets: RefCell<FactTable>,
    config: RefCell<FactTable>,
    book: RefCell<Option<Rc<RouteBook>>>,
    spends: RefCell<HashMap<String, SpendWindow>>,
    is_draining: Cell<bool>,
    outage: Cell<OutageRecord>,
    watching: Cell<[bool; 2]>,
    behind: Cell<[bool; 2]>,
    /// The last packed reply to peers.
    pub packed: RefCell<PackedFacts>,
}

impl FrontState {
    /// State of a daemon that starts now.
    pub fn new(settings: FrontSettings, metrics: FrontMetrics) -> Self {
        let fleet = FleetTable::new(settings.peer);
        let centre = stable_hash(settings.data_centre.as_bytes()) as u32;
        Self {
            centre,
            news: Notify::new(),
            settings: RefCell::new(Rc::new(settings)),
            metrics,
            incarnation: wall_now().as_millis(),
            started_at: mono_now(),
            pool: RefCell::default(),
            channels: KeptChannels::default(),
            fleet: RefCell::new(fleet),
            blame: RefCell::new(BlameTable::new(CRASH_LIMIT, MAX_SUSPECTS)),
            shares: RefCell::default(),
            in_flight: Cell::new(0),
            edge: EdgeHandle::default(),
            platform_turned: Notify::new(),
            platform_seen_at: Cell::new(mono_now()),
            targets: RefCell::default(),
            config: RefCell::default(),
            book: RefCell::default(),
            spends: RefCell::default(),
            is_draining: Cell::new(false),
            outage: Cell::default(),
            watching: Cell::default(),
            behind: Cell::default(),
            packed: RefCell::default(),
        }
    }

    /// The active settings.
    pub fn settings(&self) -> Rc<FrontSettings> {
        self.settings.borrow().clone()
    }

    /// The active configuration; `None` until one has been read.
    pub fn book(&self) -> Option<Rc<RouteBook>> {
        self.book.borrow().clone()
    }

    /// Local copy of one folder.
    pub fn facts(&self, kind: FactKind) -> &RefCell<FactTable> {
        match kind {
            FactKind::Targets => &self.targets,
            FactKind::Config => &self.config,
        }
    }

    /// Whether the daemon is ready for new connections: it has a configuration and targets, can reach
    /// some of these, and is not draining.
    pub fn is_ready(&self) -> bool {
        let pool = self.pool.borrow();
        self.book.borrow().is_some()
            && !pool.is_empty()
            && !pool.is_cut_off()
            && !self.is_draining()
    }

    /// Whether the daemon is shutting down.
    pub fn is_draining(&self) -> bool {
        self.is_draining.get()
    }

    /// Makes the daemon report that it is not ready.
    pub fn start_draining(&self) {
        self.is_draining.set(true);
    }

    /// Sets whether this daemon receives a folder's changes from the platform itself.
    pub fn set_watching(&self, kind: FactKind, is_watching: bool) {
        let mut watching = self.watching.get();
        watching[kind as usize] = is_watching;
        self.watching.set(watching);
    }

    /// Sets whether peers have a newer revision of a folder that could not be fetched from them.
    pub fn set_behind(&self, kind: FactKind, is_behind: bool) {
        let mut behind = self.behind.get();
        behind[kind as usize] = is_behind;
        self.behind.set(behind);
    }

    /// Whether a folder lags behind the peers and must be read from the platform itself.
    pub fn is_behind(&self, kind: FactKind) -> bool {
        self.behind.get()[kind as usize]
    }

    /// Whether this daemon receives the changes of all folders from the platform itself.
    pub fn is_watching(&self) -> bool {
        self.watching.get() == [true; 2]
    }

    /// Records a reply of the platform.
    pub fn note_platform_answer(&self) {
        let now = mono_now();
        self.platform_seen_at.set(now);
        let mut outage = self.outage.get();
        if outage.note_answer(now) {
            log::info!("event=regained dependency=platform");
            self.platform_turned.notify_waiters();
        }
        self.outage.set(outage);
    }

    /// Records a failed request to the platform.
    pub fn note_platform_failure(&self, cause: &str) {
        let mut outage = self.outage.get();
        if outage.note_lost(mono_now()) {
            log::warn!("event=lost dependency=platform cause={}", quoted(cause));
            self.platform_turned.notify_waiters();
        }
        self.outage.set(outage);
    }

    /// Applies the digest of another daemon.
    pub fn take_digest(&self, digest: PeerDigest) {
        let now = mono_now();
        for (print, death) in &digest.deaths {
            if self.blame.borrow_mut().note_death(*print, *death, now + BLAME_MS) {
                log::info!("event=crash-told print={:016x} death={:016x}", print.0, death.0);
            }
        }
        let mut outage = self.outage.get();
        let age_ms = u64::from(digest.platform_age_ms);
        outage.note_proof(MonoTime::from_millis(now.as_millis().saturating_sub(age_ms)));
        self.outage.set(outage);
        let mut pool = self.pool.borrow_mut();
        for (link, target) in &digest.reads {
            pool.note_peer_read(*target, *link, now);
        }
        let changes = self.fleet.borrow_mut().take(digest, now);
        changes.iter().for_each(|c| pool.change_peer_load(c.hash, c.before, c.after));
    }

    /// Applies changes of one folder that came from the platform or from a peer; `source` is logged.
    pub fn take_facts(&self, kind: FactKind, batch: FactBatch, source: &str) {
        let news = self.facts(kind).borrow_mut().take(batch);
        if !news.is_empty() && self.is_watching() {
            self.news.notify_one();
        }
        for change in &news {
            match kind {
                FactKind::Targets => self.take_target(change, source),
                FactKind::Config => self.take_config(change, source),
            }
        }
    }

    /// Whether the last attempt to reach a target failed, or the target is gone.
    pub fn is_unreachable(&self, key: TargetKey) -> bool {
        self.pool.borrow().target(key).is_none_or(|target| target.health.is_unreachable())
    }

    /// Counts a request for a service, which adds to its retry budget.
    pub fn note_request(&self, service: &str) {
        let limit = self.settings.borrow().spend_limit();
        let mut spends = self.spends.borrow_mut();
        match spends.get_mut(service) {
            Some(spend) => spend.note_request(&limit, mono_now()),
            None => spends.entry(service.to_owned()).or_default().note_request(&limit, mono_now()),
        }
    }

    /// Counts a retry at a service if this daemon's part of the fleet's retry budget covers it.
    pub fn try_retry(&self, service: &str) -> bool {
        let now = mono_now();
        let limit = self.settings.borrow().spend_limit();
        let daemons = self.fleet.borrow().living(now).count() + 1;
        let mut spends = self.spends.borrow_mut();
        let spend = spends.entry(service.to_owned()).or_default();
        spend.try_spend(&limit, daemons.max(self.fewest_daemons()), now)
    }

    /// Removes expired targets, peers, connections and crash suspicions.
    pub fn expire(&self) {
        let now = mono_now();
        for (key, id) in self.pool.borrow_mut().expire(now) {
            self.channels.forget(key);
            log::info!("event=target target={id} status=gone");
        }
        let changes = self.fleet.borrow_mut().expire(now);
        let mut pool = self.pool.borrow_mut();
        changes.iter().for_each(|c| pool.change_peer_load(c.hash, c.before, c.after));
        self.blame.borrow_mut().expire(now);
    }

    /// Lower bound of the number of daemons, used while no peers are known.
    fn fewest_daemons(&self) -> usize {
        self.settings.borrow().seeds.len().max(1)
    }

    fn take_target(&self, change: &FactChange, source: &str) {
        let Some(id) = target_id(&change.key) else { return };
        let revision = change.revision;
        let record = change.value.as_ref().map(|value| parse_entry(id, value));
        match record {
            Some(Ok(record)) => {
                let is_leaving = record.is_leaving;
                if self.pool.borrow_mut().put(record) {
                    let status = if is_leaving { "leaving" } else { "ready" };
                    log::info!(
                        "event=target target={id} status={status} revision={revision} source={source}"
                    );
                }
            }
            Some(Err(e)) => {
                log::warn!(
                    "event=target-refused target={id} revision={revision} cause={}",
                    quoted(&e.to_string())
                );
                self.pool.borrow_mut().note_unlisted(id, mono_now());
            }
            None => {
                // Targets whose registrations expired during an outage of the platform register again after it.
                let now = mono_now();
                let gone_at = self.outage.get().gone_at(now);
                let wait_ms = gone_at.millis_since(now);
                log::info!(
                    "event=target target={id} status=unlisted revision={revision} \
                     source={source} gone_in_ms={wait_ms}"
                );
                self.pool.borrow_mut().note_unlisted(id, gone_at);
            }
        }
    }

    fn take_config(&self, change: &FactChange, source: &str) {
        let Some(value) = &change.value else {
            log::warn!("event=config-removed revision={} outcome=kept", change.revision);
            return;
        };
        match parse_config(value) {
            Ok(book) => self.set_book(book, change.revision, source),
            Err(e) => log::error!(
                "event=config-refused revision={} cause={}",
                change.revision,
                quoted(&e.to_string())
            ),
        }
    }

    fn set_book(&self, book: RouteBook, revision: u64, source: &str) {
        let in_force = self.book().map_or(0, |book| book.version());
        let version = book.version();
        if version <= in_force {
            log::info!("event=config version={version} in_force={in_force} outcome=ignored");
            return;
        }
        let routes = book.route_count();
        log::info!(
            "event=config version={version} before={in_force} revision={revision} routes={routes} \
             source={source} outcome=in-force"
        );
        *self.book.borrow_mut() = Some(Rc::new(book));
    }
}
