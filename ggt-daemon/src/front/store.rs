//! Keeps a local copy of the platform's store: full reads, then watches for changes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::mono_now;
use crate::front::call::CallError;
use crate::front::call::CallReply;
use crate::front::call::get;
use crate::front::peers::fetch_snapshot;
use crate::front::state::CONNECT_TIMEOUT;
use crate::front::state::FrontState;
use crate::front::state::StoreFolder;
use crate::logging::quoted;
use crate::upstream::TargetConnection;
use ggt_core::fleet::WatchRole;
use ggt_core::store_cache::StoreBatch;
use ggt_core::store_cache::StoreChange;
use ggt_platform::ReadMode;
use ggt_platform::StoreItem;
use ggt_platform::StoreReply;
use ggt_platform::is_same_history;
use ggt_platform::parse_era;
use ggt_platform::parse_range;
use ggt_platform::parse_watch;
use ggt_platform::range_path;
use ggt_platform::watch_path;

/// Maximum time in milliseconds that the store holds a watch open.
const WATCH_HOLD_MS: u64 = 2_500;
/// Extra time in milliseconds for the reply to a watch before its connection is considered dead.
const REPLY_MARGIN_MS: u64 = 1_000;
/// Maximum time in milliseconds until the daemon notices that the store no longer responds on an
/// open connection, although it still serves others.
pub const WATCH_TIMEOUT_MS: u64 = WATCH_HOLD_MS + REPLY_MARGIN_MS;
/// The same as a duration.
const WATCH_TIMEOUT: Duration = Duration::from_millis(WATCH_TIMEOUT_MS);
/// Longest time in milliseconds from a change until this daemon has it while the store serves new
/// connections: the change comes during the pause before a watch that hangs.
pub const LONGEST_CHANGE_DELAY_MS: u64 = CHANGE_DELAY.as_millis() as u64
    + WATCH_TIMEOUT_MS
    + 2 * BASE_BACKOFF_MS
    + CONNECT_TIMEOUT.as_millis() as u64
    + REPLY_MARGIN_MS;
/// Timeout of one page of a folder.
const READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time in milliseconds for which the store holds open the watch that completes a full read.
const CATCH_UP_MS: u64 = 1;
/// Base of the backoff after failed requests, in milliseconds; doubled for each failure, with
/// jitter.
const BASE_BACKOFF_MS: u64 = 100;
/// Maximum backoff after failed requests, in milliseconds.
const MAX_BACKOFF_MS: u64 = 1_000;
/// Pause after a change, so that the next watch returns several changes at once.
const CHANGE_DELAY: Duration = Duration::from_millis(100);
/// Interval in milliseconds at which a daemon that does not watch re-evaluates its role.
const ROLE_CHECK_INTERVAL_MS: u64 = 250;

/// Keeps one folder up to date for as long as the daemon runs.
pub async fn run_watch(state: Rc<FrontState>, folder: StoreFolder) {
    let mut client =
        StoreClient { address: state.settings().store, connection: None, needs_snapshot: false };
    let mut failures = 0;
    loop {
        let role = watch_role(&state, folder);
        if role != WatchRole::Watcher {
            if role == WatchRole::Follower {
                state.set_watching(folder, false);
            }
            sleep(jittered(ROLE_CHECK_INTERVAL_MS)).await;
            continue;
        }
        // Both folders come from one store: when the other watch finds it unreachable or reachable
        // again, this one reconnects.
        let sent_at = mono_now();
        let result = tokio::select! {
            result = watch_once(&state, folder, &mut client) => result,
            () = state.platform_status_changed.notified() => {
                client.connection = None;
                continue;
            }
        };
        state.metrics.record_store_call(folder.as_str(), result.is_ok());
        let waited_ms = mono_now().millis_since(sent_at);
        match result {
            Ok(batch) => {
                if failures > 0 || waited_ms > WATCH_HOLD_MS + REPLY_MARGIN_MS / 2 {
                    let outcome = if failures > 0 { "resumed" } else { "late" };
                    log_watch(&state, folder, outcome, waited_ms, failures, "-");
                }
                failures = 0;
                state.set_watching(folder, true);
                state.set_behind(folder, false);
                state.record_platform_reply();
                let has_changes = !batch.changes.is_empty();
                state.apply_batch(folder, batch, "platform");
                if has_changes {
                    sleep(CHANGE_DELAY).await;
                }
            }
            Err(e @ (CallError::Status { status: 410 } | CallError::StoreRestored)) => {
                let cause = quoted(&e.to_string());
                let folder = folder.as_str();
                log::info!("event=history-lost folder={folder} outcome=read-anew cause={cause}");
                client.needs_snapshot = true;
            }
            Err(e) => {
                client.connection = None;
                failures += 1;
                log_watch(&state, folder, "failed", waited_ms, failures, &e.to_string());
                state.set_watching(folder, false);
                state.record_platform_failure(&e.to_string());
                sleep(backoff(failures)).await;
            }
        }
    }
}

/// Logs how a request to the store ended that did not go as usual: how long it took, after how many
/// failures in a row, and up to which revision the folder is known.
fn log_watch(
    state: &FrontState,
    folder: StoreFolder,
    outcome: &str,
    waited_ms: u64,
    failures: u32,
    cause: &str,
) {
    log::info!(
        "event=watch folder={} outcome={outcome} waited_ms={waited_ms} failures={failures} \
         revision={} cause={}",
        folder.as_str(),
        state.cache(folder).borrow().revision(),
        quoted(cause),
    );
}

/// Role of this daemon for a folder. It always watches the store itself for a folder that it has
/// not read yet or for which it has lagged behind its peers for too long.
fn watch_role(state: &FrontState, folder: StoreFolder) -> WatchRole {
    let link_mbps = state.settings().link_mbps as u32;
    if state.cache(folder).borrow().revision() == 0 || state.is_behind(folder) {
        return WatchRole::Watcher;
    }
    let fleet = state.fleet.borrow();
    fleet.watch_role(state.centre_hash, link_mbps, state.started_at, mono_now())
}

fn backoff(failures: u32) -> Duration {
    jittered((BASE_BACKOFF_MS << failures.min(5)).min(MAX_BACKOFF_MS))
}

/// A random pause between half of `max_ms` and `max_ms`, so that daemons do not send requests at
/// the same moment.
fn jittered(max_ms: u64) -> Duration {
    Duration::from_millis(rand::rng().random_range(max_ms / 2..=max_ms))
}

/// Client of the store for one folder. `needs_snapshot` is set when the store no longer has the
/// history since the last known revision, so that the folder must be read again in full.
struct StoreClient {
    address: SocketAddr,
    connection: Option<TargetConnection>,
    needs_snapshot: bool,
}

async fn watch_once(
    state: &FrontState,
    folder: StoreFolder,
    client: &mut StoreClient,
) -> Result<StoreBatch, CallError> {
    let revision = state.cache(folder).borrow().revision();
    if client.needs_snapshot {
        let snapshot = read_pages(state, client, folder, ReadMode::Exact).await?;
        client.needs_snapshot = false;
        return Ok(snapshot);
    }
    if revision == 0 {
        return read_snapshot(state, client, folder).await;
    }
    let reply = client.watch(folder, revision, WATCH_HOLD_MS, WATCH_TIMEOUT).await?;
    let changes = reply.changes.into_iter().map(into_store_change).collect();
    Ok(StoreBatch { revision: reply.revision, is_snapshot: false, changes })
}

/// Reads a folder by relaxed pages, which may be stale but cost the store little, and then the
/// changes since.
async fn read_snapshot(
    state: &FrontState,
    client: &mut StoreClient,
    folder: StoreFolder,
) -> Result<StoreBatch, CallError> {
    let mut snapshot = read_pages(state, client, folder, ReadMode::Relaxed).await?;
    let update = client.watch(folder, snapshot.revision, CATCH_UP_MS, READ_TIMEOUT).await?;
    snapshot.revision = snapshot.revision.max(update.revision);
    snapshot.changes.extend(update.changes.into_iter().map(into_store_change));
    Ok(snapshot)
}

/// Reads a folder page by page. If it has more than one page, a relaxed read first tries to fetch
/// the whole folder from a seed, so that hosts that start at the same moment do not all read it
/// from the store.
async fn read_pages(
    state: &FrontState,
    client: &mut StoreClient,
    folder: StoreFolder,
    mode: ReadMode,
) -> Result<StoreBatch, CallError> {
    let mut snapshot = StoreBatch { revision: u64::MAX, is_snapshot: true, changes: Vec::new() };
    loop {
        let after = snapshot.changes.last().map(|last| last.key.as_str());
        let is_first = after.is_none();
        let path = range_path(folder.prefix(), after, mode);
        let reply = client.call(&path, READ_TIMEOUT).await?;
        let page = parse_range(&reply.body, parse_era(&reply.headers))?;
        if !is_first && !is_same_history(page.revision, snapshot.revision) {
            return Err(CallError::StoreRestored);
        }
        let is_last = !page.has_more || page.changes.is_empty();
        // Pages may have different revisions: the result is valid at the oldest one, and the watch
        // returns the changes after it.
        snapshot.revision = snapshot.revision.min(page.revision);
        snapshot.changes.extend(page.changes.into_iter().map(into_store_change));
        if is_last {
            return Ok(snapshot);
        }
        if is_first
            && mode == ReadMode::Relaxed
            && let Some(peer_snapshot) = fetch_snapshot(state, folder).await
        {
            return Ok(peer_snapshot);
        }
    }
}

fn into_store_change(item: StoreItem) -> StoreChange {
    let value = item.value.map(Arc::new);
    StoreChange { key: item.key, revision: item.revision, value }
}

impl StoreClient {
    /// Waits for changes after a revision. Fails if the store has come back from an older copy since
    /// that revision: it has given out the revisions after it anew.
    async fn watch(
        &mut self,
        folder: StoreFolder,
        after: u64,
        hold_ms: u64,
        call_timeout: Duration,
    ) -> Result<StoreReply, CallError> {
        let path = watch_path(folder.prefix(), after, hold_ms);
        let reply = self.call(&path, call_timeout).await?;
        let reply = parse_watch(&reply.body, parse_era(&reply.headers))?;
        match is_same_history(reply.revision, after) {
            true => Ok(reply),
            false => Err(CallError::StoreRestored),
        }
    }

    async fn call(&mut self, path: &str, call_timeout: Duration) -> Result<CallReply, CallError> {
        match timeout(call_timeout, self.call_untimed(path)).await {
            Ok(reply) => reply,
            Err(_) => {
                self.connection = None;
                Err(CallError::Timeout)
            }
        }
    }

    async fn call_untimed(&mut self, path: &str) -> Result<CallReply, CallError> {
        let mut connection = match self.connection.take() {
            Some(connection) if !connection.is_closed() => connection,
            _ => TargetConnection::open(self.address, CONNECT_TIMEOUT).await?,
        };
        let reply = get(&mut connection, self.address, path).await?;
        self.connection = Some(connection);
        if reply.status == 200 {
            Ok(reply)
        } else {
            Err(CallError::Status { status: reply.status })
        }
    }
}
