//! State shared by the tasks of one daemon.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::clock::mono_now;
use crate::clock::wall_now;
use crate::edge::EdgeHandle;
use crate::front::bodies::BodyBudget;
use crate::front::buffers::BufferBudget;
use crate::front::connections::ConnectionBudget;
use crate::front::connections::max_files;
use crate::front::crashes::CRASH_OPTIONS;
use crate::front::lifetimes::StartQuestions;
use crate::front::metrics::FrontMetrics;
use crate::front::origins::InquiryTable;
use crate::front::origins::MAX_ORIGINS;
use crate::front::origins::MIN_MEMORY_MS;
use crate::front::pack::PackedReply;
use crate::front::settings::FrontSettings;
use crate::logging::quoted;
use crate::upstream::ConnectionPool;
use ggt_core::clock::MonoTime;
use ggt_core::crashes::CrashId;
use ggt_core::crashes::CrashOptions;
use ggt_core::crashes::CrashTable;
use ggt_core::crashes::LossTable;
use ggt_core::fleet::FleetTable;
use ggt_core::fleet::PeerDigest;
use ggt_core::fleet::ViewPace;
use ggt_core::fleet::WatchRole;
use ggt_core::ident::stable_hash;
use ggt_core::limits::DemandTable;
use ggt_core::limits::ShareTable;
use ggt_core::partition::ReachTable;
use ggt_core::retry_window::RetryWindow;
use ggt_core::routes::CallerLimits;
use ggt_core::routes::RouteConfig;
use ggt_core::store_cache::PlatformOutage;
use ggt_core::store_cache::StoreCache;
use ggt_core::store_watch::CONNECT_MS;
use ggt_core::store_watch::WatchTiming;
use ggt_core::targets::TargetKey;
use ggt_core::targets::TargetPool;
use ggt_core::versions::ListedPart;
use ggt_core::versions::ListingTable;
use ggt_core::versions::OriginReply;
use ggt_core::versions::OriginTable;
use ggt_core::versions::ServiceKey;
use ggt_core::versions::VersionHistory;
use ggt_core::versions::VersionState;
use ggt_core::waiting::WaitQueue;
use ggt_platform::CONFIG_KEY;
use ggt_platform::OPERATOR_PREFIX;
use ggt_platform::TARGET_PREFIX;
use ggt_platform::evacuated_centre;
use ggt_wire::lifetimes::TargetStart;

/// Milliseconds after its start for which a daemon waits for a digest before it is ready.
const PEER_WAIT_MS: u64 = 300;

/// Connect timeout for targets, peers and the platform.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(CONNECT_MS);

/// A folder of the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFolder {
    /// Registrations of targets.
    Targets,
    /// What the operator writes: the configuration and evacuations.
    Config,
}

impl StoreFolder {
    pub const ALL: [Self; 2] = [Self::Targets, Self::Config];

    /// The folder's name in logs and in requests to peers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Targets => "targets",
            Self::Config => "config",
        }
    }

    /// The folder that a key of the store belongs to; `None` for other keys.
    pub fn of_key(key: &str) -> Option<Self> {
        if key == CONFIG_KEY || evacuated_centre(key).is_some() {
            return Some(Self::Config);
        }
        key.starts_with(TARGET_PREFIX).then_some(Self::Targets)
    }

    /// Prefix of the folder's keys in the store; other keys may have it, too.
    pub const fn prefix(self) -> &'static str {
        match self {
            Self::Targets => TARGET_PREFIX,
            Self::Config => OPERATOR_PREFIX,
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
    pub centre_hash: u32,
    /// Number of the last digest that was sent.
    pub digest_number: Cell<u64>,
    /// Whether a digest of another daemon has arrived since this process started.
    pub has_heard_peer: Cell<bool>,
    /// Notified when a digest should be sent at once.
    pub digest_requested: Notify,
    /// When this process started.
    pub started_at: MonoTime,
    /// The targets with their load, health and cached prefixes.
    pub pool: RefCell<TargetPool>,
    /// Which services' targets accept connections of this daemon.
    pub reach: RefCell<ReachTable>,
    /// Services of which a target did not respond, to be checked at once.
    pub reach_suspects: RefCell<BTreeSet<String>>,
    /// Notified when there are such services.
    pub reach_suspected: Notify,
    /// Socket for datagrams to other daemons, once it is bound.
    pub peer_socket: OnceCell<Rc<UdpSocket>>,
    /// Idle connections to other daemons, for forwarded requests.
    pub peer_connections: ConnectionPool<SocketAddr>,
    /// Peers that accepted no connection, and until when each is offered no request.
    pub held_peers: RefCell<BTreeMap<SocketAddr, MonoTime>>,
    /// Idle connections to targets.
    pub connections: ConnectionPool<TargetKey>,
    /// The other daemons.
    pub fleet: RefCell<FleetTable>,
    /// Requests suspected of crashing their targets.
    pub crashes: RefCell<CrashTable>,
    /// Requests whose reply was lost, which may turn out to be crashes.
    pub losses: RefCell<LossTable>,
    /// Unresponsive targets that are being checked for a crash.
    pub target_checks: RefCell<BTreeSet<CrashId>>,
    /// Silent targets that were probed, and when each may be probed again.
    pub target_probes: RefCell<BTreeMap<CrashId, MonoTime>>,
    /// The versions that the targets of each service have had.
    pub versions: RefCell<VersionHistory>,
    /// Notified when the versions of before this daemon's start are known, as far as they can be.
    pub past_read: Notify,
    /// For each service, which versions may have begun its streams, as last logged.
    pub version_states: RefCell<BTreeMap<ServiceKey, VersionState>>,
    /// Which version began each stream.
    pub origins: RefCell<OriginTable>,
    /// Questions to other daemons for the origins of streams.
    pub inquiries: InquiryTable<Option<OriginReply>>,
    /// Questions to other daemons for the targets that have a prompt part cached.
    pub cache_inquiries: InquiryTable<Vec<ListedPart>>,
    /// The latest lists of targets' prefix caches.
    pub listings: RefCell<ListingTable>,
    /// Notified when a list has arrived or failed.
    pub list_arrived: Notify,
    /// Questions to other daemons for the starts of targets.
    pub lifetime_inquiries: InquiryTable<Vec<TargetStart>>,
    /// Questions to targets for their starts that are about to be sent.
    pub start_questions: RefCell<StartQuestions>,
    /// Notified when streams have begun that other daemons have to be told of.
    pub origins_untold: Notify,
    /// Milliseconds for which a stream, or a version of a service, is kept in mind.
    pub stream_memory_ms: Cell<u64>,
    /// Customers' shares of each service, by service and priority.
    pub shares: RefCell<ShareTable<(String, u32), String>>,
    /// What customers ask of each service, by service and priority.
    pub demands: RefCell<DemandTable>,
    /// Requests that wait for a place, by service.
    pub wait_queues: RefCell<HashMap<String, WaitQueue>>,
    /// Memory of the bodies of requests.
    pub bodies: BodyBudget,
    /// Connections of callers, and what they may take.
    pub caller_connections: Rc<ConnectionBudget>,
    /// Memory of buffered replies.
    pub buffers: BufferBudget,
    /// Requests in flight.
    pub in_flight: Cell<usize>,
    /// Callers' open connections, and the state of the shutdown.
    pub edge: EdgeHandle,
    /// When the platform last replied to this daemon.
    pub platform_replied_at: Cell<MonoTime>,
    targets: RefCell<StoreCache>,
    config: RefCell<StoreCache>,
    /// The active configuration.
    pub(super) route_config: RefCell<Option<Rc<RouteConfig>>>,
    /// Requests and retries of each service.
    pub(super) retry_windows: RefCell<HashMap<String, RetryWindow>>,
    /// Until when requests in flight may go on; `None` unless the daemon is shutting down.
    pub drain_ends_at: Cell<Option<MonoTime>>,
    /// When the platform was last unreachable.
    pub(super) outage: Cell<PlatformOutage>,
    /// Whether changes are received from the platform itself.
    watching: Cell<bool>,
    /// For each folder, whether peers have a newer revision that could not be fetched from them.
    behind: Cell<[bool; 2]>,
    /// When starting daemons may be given the view of the prefix caches.
    pub view_pace: Cell<ViewPace>,
    /// The last packed reply to peers.
    pub packed_reply: RefCell<PackedReply>,
}

/// Short hash of a data centre's name, as in digests.
pub fn short_centre_hash(data_centre: &str) -> u32 {
    stable_hash(data_centre.as_bytes()) as u32
}

impl FrontState {
    /// State of a daemon that starts now.
    pub fn new(settings: FrontSettings, metrics: FrontMetrics) -> Self {
        let fleet = FleetTable::new(settings.peer);
        let crash_options =
            CrashOptions { first_refusal_ms: settings.crash_refusal_ms(), ..CRASH_OPTIONS };
        let mut versions = VersionHistory::default();
        match settings.first_start {
            true => versions.record_first_start(),
            false => versions.record_pending_past(),
        }
        let mut pool = TargetPool::default();
        pool.measures_work_times = settings.measure_work_times;
        let centre_hash = short_centre_hash(&settings.data_centre);
        let bodies = BodyBudget::new(settings.request_body_bytes());
        let limits = settings.connection_limits(&CallerLimits::default(), max_files());
        let caller_connections = Rc::new(ConnectionBudget::new(limits));
        Self {
            centre_hash,
            digest_number: Cell::new(0),
            has_heard_peer: Cell::new(false),
            digest_requested: Notify::new(),
            settings: RefCell::new(Rc::new(settings)),
            metrics,
            incarnation: wall_now().as_millis(),
            started_at: mono_now(),
            pool: RefCell::new(pool),
            reach: RefCell::default(),
            reach_suspects: RefCell::default(),
            reach_suspected: Notify::new(),
            peer_socket: OnceCell::new(),
            peer_connections: ConnectionPool::default(),
            held_peers: RefCell::default(),
            connections: ConnectionPool::default(),
            fleet: RefCell::new(fleet),
            crashes: RefCell::new(CrashTable::new(crash_options)),
            target_checks: RefCell::default(),
            target_probes: RefCell::default(),
            losses: RefCell::new(LossTable::new(CRASH_OPTIONS.capacity)),
            versions: RefCell::new(versions),
            past_read: Notify::new(),
            version_states: RefCell::default(),
            origins: RefCell::new(OriginTable::new(MAX_ORIGINS)),
            inquiries: InquiryTable::default(),
            cache_inquiries: InquiryTable::default(),
            listings: RefCell::default(),
            list_arrived: Notify::new(),
            lifetime_inquiries: InquiryTable::default(),
            start_questions: RefCell::default(),
            origins_untold: Notify::new(),
            stream_memory_ms: Cell::new(MIN_MEMORY_MS),
            shares: RefCell::default(),
            demands: RefCell::default(),
            wait_queues: RefCell::default(),
            bodies,
            caller_connections,
            buffers: BufferBudget::default(),
            in_flight: Cell::new(0),
            edge: EdgeHandle::default(),
            platform_replied_at: Cell::new(mono_now()),
            targets: RefCell::default(),
            config: RefCell::default(),
            route_config: RefCell::default(),
            retry_windows: RefCell::default(),
            drain_ends_at: Cell::default(),
            outage: Cell::default(),
            watching: Cell::default(),
            behind: Cell::default(),
            view_pace: Cell::default(),
            packed_reply: RefCell::default(),
        }
    }

    /// The active settings.
    pub fn settings(&self) -> Rc<FrontSettings> {
        self.settings.borrow().clone()
    }

    /// The active configuration; `None` until one has been read.
    pub fn route_config(&self) -> Option<Rc<RouteConfig>> {
        self.route_config.borrow().clone()
    }

    /// Local copy of one folder.
    pub fn cache(&self, folder: StoreFolder) -> &RefCell<StoreCache> {
        match folder {
            StoreFolder::Targets => &self.targets,
            StoreFolder::Config => &self.config,
        }
    }

    /// Whether the daemon is ready for new connections: it has a configuration and targets, can
    /// reach some of these or a peer that does, has been told by another daemon which requests crash targets or has
    /// waited for that, and is not draining.
    pub fn is_ready(&self) -> bool {
        let pool = self.pool.borrow();
        self.route_config.borrow().is_some()
            && !pool.is_empty()
            && (!pool.is_partitioned() || self.has_forward_peer())
            && self.has_waited_for_peers()
            && !self.is_draining()
    }

    fn has_waited_for_peers(&self) -> bool {
        self.has_heard_peer.get() || mono_now() >= self.started_at + PEER_WAIT_MS
    }

    /// Sets whether this daemon receives changes from the platform itself.
    pub fn set_watching(&self, is_watching: bool) {
        self.watching.set(is_watching);
    }

    /// How this daemon hears of changes, by its place in the fleet.
    pub fn fleet_role(&self) -> WatchRole {
        let link_mbps = self.settings().link_mbps as u32;
        let fleet = self.fleet.borrow();
        fleet.watch_role(self.centre_hash, link_mbps, self.started_at, mono_now())
    }

    /// Times of this daemon's requests to the platform, by the settings and the size of the fleet.
    pub fn watch_timing(&self) -> WatchTiming {
        let peers = self.fleet.borrow().watch_peers(mono_now());
        WatchTiming::within(self.settings().change_delay_ms(), peers)
    }

    /// Sets whether peers have a newer revision of a folder that could not be fetched from them.
    pub fn set_behind(&self, folder: StoreFolder, is_behind: bool) {
        let mut behind = self.behind.get();
        behind[folder as usize] = is_behind;
        self.behind.set(behind);
    }

    /// Whether a folder lags behind the peers and must be read from the platform itself.
    pub fn is_behind(&self, folder: StoreFolder) -> bool {
        self.behind.get()[folder as usize]
    }

    /// Whether this daemon receives changes from the platform itself.
    pub fn is_watching(&self) -> bool {
        self.watching.get()
    }

    /// Records a reply of the platform.
    pub fn record_platform_reply(&self) {
        let now = mono_now();
        self.platform_replied_at.set(now);
        let mut outage = self.outage.get();
        if outage.record_success(now) {
            log::info!("event=regained dependency=platform");
        }
        self.outage.set(outage);
    }

    /// Records a failed request to the platform.
    pub fn record_platform_failure(&self, cause: &str) {
        let mut outage = self.outage.get();
        if outage.record_failure(mono_now()) {
            log::warn!("event=lost dependency=platform cause={}", quoted(cause));
        }
        self.outage.set(outage);
    }

    /// Sends an encoded message as a datagram to another daemon; returns whether it was sent. A failure is logged as this
    /// event.
    pub async fn send_encoded(
        &self,
        encoded: Result<Vec<u8>, postcard::Error>,
        peer: SocketAddr,
        event: &str,
    ) -> bool {
        let sent = match encoded {
            Ok(bytes) => self.send_datagram(&bytes, peer).await.map_err(|e| e.to_string()),
            Err(e) => Err(e.to_string()),
        };
        if let Err(e) = &sent {
            log::info!("event={event} peer={peer} cause={}", quoted(e));
        }
        sent.is_ok()
    }

    /// Sends a datagram to another daemon.
    ///
    /// # Errors
    /// The I/O error, also if the socket is not bound yet.
    async fn send_datagram(&self, bytes: &[u8], peer: SocketAddr) -> io::Result<()> {
        let socket = self.peer_socket.get().ok_or(io::ErrorKind::NotConnected)?;
        socket.send_to(bytes, peer).await.map(drop)
    }

    /// Applies the digest of another daemon.
    pub fn apply_digest(&self, digest: PeerDigest) {
        let now = mono_now();
        self.apply_peer_crashes(&digest);
        self.apply_peer_rates(&digest);
        self.apply_peer_fragilities(&digest);
        self.apply_peer_loads(&digest);
        self.apply_peer_work_times(&digest);
        self.apply_peer_replacements(&digest);
        self.apply_peer_ends(&digest);
        self.has_heard_peer.set(true);
        let mut outage = self.outage.get();
        let age_ms = u64::from(digest.platform_age_ms);
        outage.record_peer_success(MonoTime::from_millis(now.as_millis().saturating_sub(age_ms)));
        self.outage.set(outage);
        let mut pool = self.pool.borrow_mut();
        for (prefix, target) in &digest.cached_prefixes {
            pool.record_peer_prefix(*target, *prefix, now);
        }
        let changes = self.fleet.borrow_mut().apply(digest, now);
        changes.iter().for_each(|c| pool.replace_peer_load(c.hash, c.before, c.after));
    }

    /// Removes expired targets, peers, connections and crash suspicions.
    pub fn expire(&self) {
        let now = mono_now();
        let removed = self.pool.borrow_mut().expire(now);
        for (key, record) in removed {
            self.connections.close_idle(key);
            self.record_departure(&record);
            log::info!("event=target target={} status=gone", record.id);
        }
        let changes = self.fleet.borrow_mut().expire(now);
        let mut pool = self.pool.borrow_mut();
        pool.set_report_pace(self.fleet.borrow().report_pace(now));
        changes.iter().for_each(|c| pool.replace_peer_load(c.hash, c.before, c.after));
        drop(pool);
        let limits = self.route_config().map_or_else(CallerLimits::default, |c| *c.limits());
        self.bodies.set_room(self.settings().request_body_bytes(), limits.max_body_bytes);
        self.metrics.record_request_bodies(self.bodies.held() as u64);
        let connection_limits = self.settings().connection_limits(&limits, max_files());
        self.caller_connections.set_limits(connection_limits);
        let (connections, bytes) = self.caller_connections.usage();
        self.metrics.record_connections(connections as u64, bytes as u64);
        self.expire_evacuations(now);
        self.metrics.record_cold_targets(self.pool.borrow().cold_targets(now) as u64);
        self.update_rate_shares();
        self.update_parts();
        self.update_versions();
        self.expire_crashes(now);
    }
}
