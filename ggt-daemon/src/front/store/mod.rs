//! Keeps a local copy of the platform's store: full reads, then one watch for the changes of all folders.

mod client;
mod past;
mod snapshot;

pub use past::run_past;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::mono_now;
use crate::front::call::CallError;
use crate::front::state::CONNECT_TIMEOUT;
use crate::front::state::FrontState;
use crate::front::state::StoreFolder;
use crate::front::store::client::StoreClient;
use crate::front::store::snapshot::read_folders;
use crate::logging::quoted;
use ggt_core::fleet::WatchRole;
use ggt_core::store_cache::StoreBatch;
use ggt_core::store_cache::StoreChange;
use ggt_core::store_watch::FailureMeaning;
use ggt_core::store_watch::WatchFailure;
use ggt_core::store_watch::WatchRequest;
use ggt_core::store_watch::WatchSchedule;
use ggt_core::store_watch::WatchTiming;
use ggt_platform::MAX_REGISTRATION_BYTES;
use ggt_platform::ReadMode;
use ggt_platform::StoreItem;
use ggt_platform::StoreReply;

/// Time in milliseconds for which the store holds a request that it is to answer at once.
const NO_HOLD_MS: u64 = 1;
/// Maximum time in milliseconds for the store's reply when a request of a caller waits for it.
const REFRESH_TIMEOUT_MS: u64 = 200;
/// The same.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(REFRESH_TIMEOUT_MS);
/// Interval in milliseconds at which a daemon that does not watch re-evaluates its role.
const ROLE_CHECK_INTERVAL_MS: u64 = 250;

/// The changes that one request to the store brought, by folder.
type FolderBatches = [Option<StoreBatch>; StoreFolder::ALL.len()];

/// Keeps all folders up to date for as long as the daemon runs.
pub async fn run_watch(state: Rc<FrontState>) {
    let mut watch = StoreWatch::new(&state);
    loop {
        match watch_role(&state) {
            WatchRole::Watcher => watch.run_once(&state).await,
            role => {
                if role == WatchRole::Follower {
                    state.set_watching(false);
                    watch.suspend();
                }
                sleep(jittered(ROLE_CHECK_INTERVAL_MS)).await;
            }
        }
    }
}

/// Role of this daemon. It always watches the store itself while it lacks a folder, or has lagged behind its
/// peers in one for too long.
fn watch_role(state: &FrontState) -> WatchRole {
    let must_read =
        |folder| state.cache(folder).borrow().revision() == 0 || state.is_behind(folder);
    if StoreFolder::ALL.into_iter().any(must_read) {
        WatchRole::Watcher
    } else {
        state.fleet_role()
    }
}

/// A random pause between half of `max_ms` and `max_ms`, so that daemons do not send requests at
/// the same moment.
fn jittered(max_ms: u64) -> Duration {
    Duration::from_millis(rand::rng().random_range(max_ms / 2..=max_ms))
}

/// Reads the latest registrations of targets, beside the watch, whose silence may mean that nothing has changed
/// or that its connection hangs. Returns whether all are known now.
pub async fn refresh_targets(state: &FrontState) -> bool {
    let known = state.cache(StoreFolder::Targets).borrow().revision();
    let mut client = StoreClient::new(state.settings().store);
    let request = WatchRequest { hold_ms: NO_HOLD_MS, timeout_ms: REFRESH_TIMEOUT_MS };
    let reply = timeout(CONNECT_TIMEOUT + REFRESH_TIMEOUT, client.watch(known, request)).await;
    let reply = reply.unwrap_or(Err(CallError::Timeout));
    state.metrics.record_store_call(reply.is_ok());
    match reply {
        Ok(reply) => {
            let mut batches = FolderBatches::default();
            add_changes(&mut batches, reply);
            let targets = batches[StoreFolder::Targets as usize].take().unwrap_or_default();
            state.apply_batch(StoreFolder::Targets, targets, "platform");
            true
        }
        Err(e) => {
            log::info!("event=refresh folder=targets cause={}", quoted(&e.to_string()));
            false
        }
    }
}

/// The watch of one daemon.
struct StoreWatch {
    client: StoreClient,
    schedule: WatchSchedule,
    /// Whether the changes since the last known revision cannot be had, so that all folders must be read
    /// again in full.
    must_read_anew: bool,
}

impl StoreWatch {
    fn new(state: &FrontState) -> Self {
        Self {
            client: StoreClient::new(state.settings().store),
            schedule: WatchSchedule::new(state.watch_timing()),
            must_read_anew: false,
        }
    }

    /// Ends the watch for some time; the next request goes on a new connection and is answered at once.
    fn suspend(&mut self) {
        self.client.disconnect();
        self.schedule.record_read();
    }

    /// Sends one request, or the few of a full read, and applies what it brings; waits after a failure.
    async fn run_once(&mut self, state: &FrontState) {
        let timing = state.watch_timing();
        let sent_at = mono_now();
        let result = self.next_batches(state, timing).await;
        state.metrics.record_store_call(result.is_ok());
        let waited_ms = mono_now().millis_since(sent_at);
        match result {
            Ok(batches) => {
                self.apply(state, batches, waited_ms).await;
            }
            Err(
                e @ (CallError::Status { status: 410 }
                | CallError::StoreRestored
                | CallError::TooLarge),
            ) if !self.must_read_anew => {
                let cause = quoted(&e.to_string());
                log::info!("event=history-lost outcome=read-anew cause={cause}");
                self.client.disconnect();
                self.must_read_anew = true;
            }
            Err(e) => self.handle_failure(state, timing, &e, waited_ms).await,
        }
    }

    async fn next_batches(
        &mut self,
        state: &FrontState,
        timing: WatchTiming,
    ) -> Result<FolderBatches, CallError> {
        let read_timeout_ms = self.schedule.read_timeout_ms(timing);
        if self.must_read_anew {
            let all = StoreFolder::ALL;
            let read =
                read_folders(state, &mut self.client, &all, ReadMode::Exact, read_timeout_ms);
            let batches = read.await?;
            self.must_read_anew = false;
            self.schedule.record_read();
            return Ok(batches);
        }
        let is_unknown = |folder: &StoreFolder| state.cache(*folder).borrow().revision() == 0;
        let unknown: Vec<_> = StoreFolder::ALL.into_iter().filter(is_unknown).collect();
        let client = &mut self.client;
        // Relaxed reads cost the store little and may be behind: the watch that follows is answered at once
        // and completes them.
        let mut batches =
            read_folders(state, client, &unknown, ReadMode::Relaxed, read_timeout_ms).await?;
        if !unknown.is_empty() {
            self.schedule.record_read();
        }
        let request = self.schedule.next_request(timing, rand::rng().random());
        let sent_at = mono_now();
        let reply = self.client.watch(known_revision(state, &batches), request).await?;
        let waited_ms = mono_now().millis_since(sent_at);
        self.record_reply(state, timing, request, &reply, waited_ms);
        add_changes(&mut batches, reply);
        Ok(batches)
    }

    fn record_reply(
        &mut self,
        state: &FrontState,
        timing: WatchTiming,
        request: WatchRequest,
        reply: &StoreReply,
        waited_ms: u64,
    ) {
        let failures = self.schedule.failures();
        if failures > 0 {
            log_watch(state, "resumed", waited_ms, failures, "-");
        } else if waited_ms > request.hold_ms + timing.reply_ms() {
            log_watch(state, "late", waited_ms, failures, "-");
        }
        let has_changes = !reply.changes.is_empty();
        self.schedule.record_reply(timing, request, waited_ms, has_changes);
    }

    async fn apply(&mut self, state: &FrontState, batches: FolderBatches, waited_ms: u64) {
        state.set_watching(true);
        state.record_platform_reply();
        let mut has_changes = false;
        for (folder, batch) in StoreFolder::ALL.into_iter().zip(batches) {
            let Some(batch) = batch else { continue };
            state.set_behind(folder, false);
            has_changes |= !batch.changes.is_empty();
            state.apply_batch(folder, batch, "platform");
        }
        if has_changes {
            log::debug!("event=watch outcome=changes waited_ms={waited_ms}");
            sleep(Duration::from_millis(state.watch_timing().change_pause_ms())).await;
        }
    }

    async fn handle_failure(
        &mut self,
        state: &FrontState,
        timing: WatchTiming,
        error: &CallError,
        waited_ms: u64,
    ) {
        self.client.disconnect();
        let failure = match error {
            CallError::Timeout => WatchFailure::Overdue,
            CallError::Broken { .. } => WatchFailure::Broken,
            _ => WatchFailure::Rejected,
        };
        let meaning = self.schedule.record_failure(timing, failure);
        let cause = error.to_string();
        match meaning {
            FailureMeaning::ConnectionDoubtful => {
                log_watch(state, "overdue", waited_ms, self.schedule.failures(), &cause);
            }
            FailureMeaning::PlatformLost { pause_ms } => {
                log_watch(state, "failed", waited_ms, self.schedule.failures(), &cause);
                state.set_watching(false);
                state.record_platform_failure(&cause);
                sleep(jittered(pause_ms)).await;
            }
        }
    }
}

/// Revision after which changes of any folder are missing, once these batches are applied.
fn known_revision(state: &FrontState, batches: &FolderBatches) -> u64 {
    let revisions = StoreFolder::ALL.into_iter().zip(batches).map(|(folder, batch)| {
        let known = state.cache(folder).borrow().revision();
        batch.as_ref().map_or(known, |batch| batch.revision.max(known))
    });
    revisions.min().unwrap_or_default()
}

/// Adds changes of any folder to the batches of the folders; keys of no folder are left out.
fn add_changes(batches: &mut FolderBatches, reply: StoreReply) {
    for batch in batches.iter_mut() {
        let batch = batch.get_or_insert_default();
        batch.revision = batch.revision.max(reply.revision);
    }
    for item in reply.changes {
        if let Some(folder) = StoreFolder::of_key(&item.key)
            && let Some(batch) = &mut batches[folder as usize]
        {
            batch.changes.push(into_store_change(item));
        }
    }
}

/// The change that an item shows. An entry that is too large for a target's is emptied, so that many of them do
/// not fill the memory.
fn into_store_change(item: StoreItem) -> StoreChange {
    let StoreItem { key, revision, mut value, .. } = item;
    if let Some(value) = &mut value
        && StoreFolder::of_key(&key) == Some(StoreFolder::Targets)
        && value.len() > MAX_REGISTRATION_BYTES
    {
        log::warn!(
            "event=target-refused key={} revision={revision} bytes={} outcome=emptied",
            quoted(&key),
            value.len()
        );
        *value = Vec::new();
    }
    StoreChange { key, revision, value: value.map(Arc::new) }
}

/// Logs how a request to the store ended that did not go as usual: how long it took, after how many
/// failures in a row, and up to which revisions the folders are known.
fn log_watch(state: &FrontState, outcome: &str, waited_ms: u64, failures: u32, cause: &str) {
    log::info!(
        "event=watch outcome={outcome} waited_ms={waited_ms} failures={failures} \
         target_revision={} config_revision={} cause={}",
        state.cache(StoreFolder::Targets).borrow().revision(),
        state.cache(StoreFolder::Config).borrow().revision(),
        quoted(cause),
    );
}
