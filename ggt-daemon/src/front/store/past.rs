//! Reads the store's history at the start of a daemon, for the versions that targets have had before.

use crate::clock::mono_now;
use crate::clock::wall_now;
use crate::front::call::CallError;
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
/// Number of failed attempts after which the history is not read.
const MAX_ATTEMPTS: u32 = 3;

/// Progress of reading the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PastReading {
    /// It has failed so often.
    Pending { attempts: u32 },
    /// It has been read, or is not needed.
    Done,
}

impl PastReading {
    /// The state of a daemon that starts now. On the first start of a fleet there is no past.
    pub(super) fn new(state: &FrontState) -> Self {
        match state.settings().first_start {
            true => Self::Done,
            false => Self::Pending { attempts: 0 },
        }
    }

    /// Reads the history if that is due and records what it shows.
    pub(super) async fn advance(
        &mut self,
        state: &FrontState,
        client: &mut StoreClient,
        timing: WatchTiming,
    ) {
        let Self::Pending { attempts } = *self else { return };
        let is_small = state.pool.borrow().len() <= MAX_SMALL_POOL;
        if !is_small && state.fleet_role() != WatchRole::Watcher {
            return;
        }
        match read_history(state, client, timing).await {
            Ok(history) => {
                *self = Self::Done;
                record_history(state, &history);
            }
            Err(e) => {
                client.disconnect();
                let attempts = attempts + 1;
                *self = match attempts < MAX_ATTEMPTS {
                    true => Self::Pending { attempts },
                    false => Self::Done,
                };
                log::info!(
                    "event=past outcome=failed attempts={attempts} cause={}",
                    quoted(&e.to_string())
                );
            }
        }
    }
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

fn record_history(state: &FrontState, history: &StoreHistory) {
    let changes: Vec<_> = history.reply.changes.iter().filter_map(past_change).collect();
    let begins_at = wall_now().as_millis().saturating_sub(state.stream_memory_ms.get());
    let past = PastVersions::review(&changes, begins_at);
    state.versions.borrow_mut().record_past(&past, history.is_whole, mono_now());
    log::info!(
        "event=past outcome={} whole={} changes={} departures={}",
        if past.has_unknown() { "incomplete" } else { "complete" },
        history.is_whole,
        changes.len(),
        past.departures().len(),
    );
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
