//! Finds out at the start of a daemon which versions targets have had before, from the store's history or other daemons.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::time::sleep;

use crate::clock::mono_now;
use crate::clock::wall_now;
use crate::front::call::CallError;
use crate::front::peers::fetch_past;
use crate::front::state::FrontState;
use crate::front::state::StoreFolder;
use crate::front::store::client::StoreClient;
use crate::logging::quoted;
use ggt_core::fleet::WatchRole;
use ggt_core::store_watch::WatchRequest;
use ggt_core::store_watch::WatchTiming;
use ggt_core::versions::PastChange;
use ggt_core::versions::PastState;
use ggt_core::versions::PastVersions;
use ggt_core::versions::ServiceKey;
use ggt_platform::StoreItem;
use ggt_platform::StoreReply;
use ggt_platform::history_start;
use ggt_platform::parse_registration;
use ggt_platform::target_id;

/// Number of targets up to which a fleet is taken for one in which every daemon watches the store, before
/// the other daemons are known.
const MAX_SMALL_POOL: usize = 100;
/// Pauses in milliseconds between attempts to find out the past: the first, which doubles, and the longest.
const FIRST_PAUSE_MS: u64 = 50;
const MAX_PAUSE_MS: u64 = 800;
/// Interval at which a starting daemon checks whether it has read the registrations.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Finds out which versions the targets have had before this daemon started: from the store's history, or from another
/// daemon if this one leaves the history to others or cannot read it. Ends once they are known, or streams of before
/// cannot be there any more.
pub async fn run_past(state: Rc<FrontState>) {
    let mut pause_ms = FIRST_PAUSE_MS;
    while state.is_past_pending() {
        if state.cache(StoreFolder::Targets).borrow().revision() == 0 {
            sleep(START_CHECK_INTERVAL).await;
            continue;
        }
        let past = match reads_store(&state) {
            true => read_past(&state).await,
            false => None,
        };
        let past = match past {
            Some(past) => Some(past),
            None => fetch_from_peer(&state).await,
        };
        if let Some((past, is_whole)) = past {
            state.versions.borrow_mut().record_past(&past, is_whole, mono_now());
            state.past_read.notify_waiters();
            return;
        }
        sleep(Duration::from_millis(pause_ms)).await;
        pause_ms = (pause_ms * 2).min(MAX_PAUSE_MS);
    }
}

impl FrontState {
    /// Whether the versions of before this daemon's start may still become known, and matter.
    pub(in crate::front) fn is_past_pending(&self) -> bool {
        let memory_ms = self.stream_memory_ms.get();
        self.versions.borrow().is_past_pending(memory_ms, mono_now())
    }
}

/// Whether this daemon reads the store's history itself. Of a larger fleet, which may be starting as a whole, a few do at
/// once: its seeds, whom all others know.
fn reads_store(state: &FrontState) -> bool {
    let is_small = state.pool.borrow().len() <= MAX_SMALL_POOL;
    let settings = state.settings();
    let is_seed = settings.seed_peers().contains(&settings.peer);
    is_small || is_seed || state.fleet_role() == WatchRole::Watcher
}

async fn read_past(state: &FrontState) -> Option<(PastVersions, bool)> {
    let mut client = StoreClient::new(state.settings().store);
    let history = match read_history(state, &mut client, state.watch_timing()).await {
        Ok(history) => history,
        Err(e) => {
            log::info!("event=past outcome=failed cause={}", quoted(&e.to_string()));
            return None;
        }
    };
    let changes: Vec<_> = history.reply.changes.iter().filter_map(past_change).collect();
    let begins_at = wall_now().as_millis().saturating_sub(state.stream_memory_ms.get());
    let past = PastVersions::review(&changes, begins_at);
    log::info!(
        "event=past outcome={} whole={} changes={} departures={}",
        if past.has_unknown() { "incomplete" } else { "complete" },
        history.is_whole,
        changes.len(),
        past.departures().len(),
    );
    Some((past, history.is_whole))
}

async fn fetch_from_peer(state: &FrontState) -> Option<(PastVersions, bool)> {
    let peer = past_source(state)?;
    match fetch_past(peer).await {
        Ok(past) => {
            let departures = past.departures().len();
            log::info!("event=past outcome=fetched peer={peer} departures={departures}");
            Some((past, false))
        }
        Err(e) => {
            let cause = quoted(&e.to_string());
            log::info!("event=past outcome=failed peer={peer} cause={cause}");
            None
        }
    }
}

/// The daemon that is asked next: another seed or a daemon that watches the store, unless none is known.
fn past_source(state: &FrontState) -> Option<SocketAddr> {
    let settings = state.settings();
    let fleet = state.fleet.borrow();
    let alive = || fleet.alive(mono_now()).map(|peer| &peer.digest);
    let watching = alive().filter(|digest| digest.is_watching).map(|digest| digest.address);
    let seeds = settings.seed_peers().into_iter().filter(|seed| *seed != settings.peer);
    let source = seeds.chain(watching).choose(&mut rand::rng());
    source.or_else(|| alive().map(|digest| digest.address).choose(&mut rand::rng()))
}

/// The changes that the store still has.
struct StoreHistory {
    reply: StoreReply,
    /// Whether these are all changes that there ever were.
    is_whole: bool,
}

/// Reads all changes that the store still has: by halving, it finds the lowest revision that it knows.
async fn read_history(
    state: &FrontState,
    client: &mut StoreClient,
    timing: WatchTiming,
) -> Result<StoreHistory, CallError> {
    let hold_ms = timing.short_hold_ms();
    let request = WatchRequest { hold_ms, timeout_ms: timing.doubtful_reply_ms() };
    let revision = state.cache(StoreFolder::Targets).borrow().revision();
    let mut unknown = history_start(revision);
    if let Some(reply) = changes_after(client, unknown, request).await? {
        return Ok(StoreHistory { reply, is_whole: true });
    }
    let mut known = revision;
    let mut reply = StoreReply { revision, ..StoreReply::default() };
    while known - unknown > 1 {
        let middle = unknown + (known - unknown) / 2;
        match changes_after(client, middle, request).await? {
            Some(later) => (known, reply) = (middle, later),
            None => unknown = middle,
        }
    }
    Ok(StoreHistory { reply, is_whole: false })
}

/// The changes after a revision; `None` if the store no longer has them all.
async fn changes_after(
    client: &mut StoreClient,
    revision: u64,
    request: WatchRequest,
) -> Result<Option<StoreReply>, CallError> {
    match client.watch(revision, request).await {
        Ok(reply) => Ok(Some(reply)),
        Err(CallError::Status { status: 410 }) => Ok(None),
        Err(e) => Err(e),
    }
}

/// What an item of the history says about a target; `None` for other items.
fn past_change(item: &StoreItem) -> Option<PastChange> {
    let id = target_id(&item.key)?;
    let registration = item.value.as_ref().map(|value| parse_registration(id, value));
    let state = match registration {
        None => PastState::Removed,
        Some(Ok(record)) => PastState::Registered {
            service: ServiceKey::named(&record.service),
            version: record.version,
            born: record.incarnation,
            is_new: item.is_new,
        },
        // An entry that has been unreadable ever since names no target.
        Some(Err(_)) if item.is_new => return None,
        Some(Err(_)) => PastState::Unreadable,
    };
    Some(PastChange { target_id: id.to_owned(), state })
}
