//! Keeps a local copy of the platform's store: full reads, then watches for changes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::mono_now;
use crate::front::call::CallError;
use crate::front::call::get;
use crate::front::peers::fetch_whole;
use crate::front::state::CONNECT_WAIT;
use crate::front::state::FactKind;
use crate::front::state::FrontState;
use crate::upstream::TargetChannel;
use ggt_core::facts::FactBatch;
use ggt_core::facts::FactChange;
use ggt_core::fleet::WatchRole;
use ggt_platform::ReadMode;
use ggt_platform::StoreItem;
use ggt_platform::parse_range;
use ggt_platform::parse_watch;
use ggt_platform::range_path;
use ggt_platform::watch_path;

/// Longest time in milliseconds that the store holds a watch open.
const WATCH_MS: u64 = 2_500;
/// Extra time in milliseconds for the reply to a watch before its connection counts as dead.
const ANSWER_MS: u64 = 1_000;
/// Longest time in milliseconds until the daemon notices that the store no longer responds on an open
/// connection, although it still serves others.
pub const LONGEST_SILENCE_MS: u64 = WATCH_MS + ANSWER_MS;
/// Timeout of one page of a folder.
const READ_WAIT: Duration = Duration::from_millis(2_500);
/// Time in milliseconds for which the store holds open the watch that completes a full read.
const CATCH_UP_MS: u64 = 1;
/// Base of the backoff after failed requests, in milliseconds; doubled for each failure, with jitter.
const FIRST_PAUSE_MS: u64 = 100;
/// Longest backoff after failed requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_000;
/// Pause after a change, so that the next watch returns several changes at once.
const CHANGE_PAUSE: Duration = Duration::from_millis(100);
/// Interval in milliseconds at which a daemon that does not watch re-evaluates its role.
const IDLE_PAUSE_MS: u64 = 250;

/// Keeps one folder up to date for as long as the daemon runs.
pub async fn run_watching(state: Rc<FrontState>, kind: FactKind) {
    let mut link = StoreLink { address: state.settings().store, channel: None, is_stale: false };
    let mut failures = 0;
    loop {
        let role = watch_role(&state, kind);
        if role != WatchRole::Watcher {
            if role == WatchRole::Listener {
                state.set_watching(kind, false);
            }
            sleep(jittered(IDLE_PAUSE_MS)).await;
            continue;
        }
        // When the other folder's watch finds the store lost or reachable again, this one reconnects.
        let watched = tokio::select! {
            watched = watch_once(&state, kind, &mut link) => watched,
            () = state.platform_turned.notified() => {
                link.channel = None;
                continue;
            }
        };
        state.metrics.note_store_call(kind.as_str(), watched.is_ok());
        match watched {
            Ok(batch) => {
                failures = 0;
                state.set_watching(kind, true);
                state.set_behind(kind, false);
                state.note_platform_answer();
                let has_news = !batch.changes.is_empty();
                state.take_facts(kind, batch, "platform");
                if has_news {
                    sleep(CHANGE_PAUSE).await;
                }
            }
            Err(CallError::Status { status: 410 }) => {
                log::info!("event=history-lost folder={} outcome=read-anew", kind.as_str());
                link.is_stale = true;
            }
            Err(e) => {
                link.channel = None;
                failures += 1;
                state.set_watching(kind, false);
                state.note_platform_failure(&e.to_string());
                sleep(pause(failures)).await;
            }
        }
    }
}

/// Whether this daemon watches the store itself; it always does for a folder that it has not read
/// yet or for which its peers are ahead.
fn watch_role(state: &FrontState, kind: FactKind) -> WatchRole {
    let link_mbps = state.settings().link_mbps as u32;
    if state.facts(kind).borrow().revision() == 0 || state.is_behind(kind) {
        return WatchRole::Watcher;
    }
    let fleet = state.fleet.borrow();
    fleet.watch_role(state.centre, link_mbps, state.started_at, mono_now())
}

fn pause(failures: u32) -> Duration {
    jittered((FIRST_PAUSE_MS << failures.min(5)).min(MAX_PAUSE_MS))
}

/// A random pause between half of `longest_ms` and `longest_ms`, so that daemons do not send requests
/// at the same moment.
fn jittered(longest_ms: u64) -> Duration {
    Duration::from_millis(rand::rng().random_range(longest_ms / 2..=longest_ms))
}

/// Connection to the store. `is_stale` is set when the store no longer has the history since the last
/// known revision, so that the folder must be read again in full.
struct StoreLink {
    address: SocketAddr,
    channel: Option<TargetChannel>,
    is_stale: bool,
}

async fn watch_once(
    state: &FrontState,
    kind: FactKind,
    link: &mut StoreLink,
) -> Result<FactBatch, CallError> {
    let revision = state.facts(kind).borrow().revision();
    if link.is_stale {
        let whole = read_pages(state, link, kind, ReadMode::Exact).await?;
        link.is_stale = false;
        return Ok(whole);
    }
    if revision == 0 {
        return read_whole(state, link, kind).await;
    }
    let path = watch_path(kind.prefix(), revision, WATCH_MS);
    let answer = parse_watch(&link.call(&path, Duration::from_millis(LONGEST_SILENCE_MS)).await?)?;
    let changes = answer.changes.into_iter().map(fact_of).collect();
    Ok(FactBatch { revision: answer.revision, is_whole: false, changes })
}

/// Reads a folder by relaxed pages, which may be stale but cost the store little, and then the
/// changes since.
async fn read_whole(
    state: &FrontState,
    link: &mut StoreLink,
    kind: FactKind,
) -> Result<FactBatch, CallError> {
    let mut whole = read_pages(state, link, kind, ReadMode::Relaxed).await?;
    let path = watch_path(kind.prefix(), whole.revision, CATCH_UP_MS);
    let later = parse_watch(&link.call(&path, READ_WAIT).await?)?;
    whole.revision = whole.revision.max(later.revision);
    whole.changes.extend(later.changes.into_iter().map(fact_of));
    Ok(whole)
}

/// Reads a folder page by page. If it has more than one page, a relaxed read first tries to fetch the
/// whole folder from a seed, so that hosts that start at the same moment do not all read it from the
/// store.
async fn read_pages(
    state: &FrontState,
    link: &mut StoreLink,
    kind: FactKind,
    mode: ReadMode,
) -> Result<FactBatch, CallError> {
    let mut whole = FactBatch { revision: u64::MAX, is_whole: true, changes: Vec::new() };
    loop {
        let after = whole.changes.last().map(|last| last.key.as_str());
        let is_first = after.is_none();
        let path = range_path(kind.prefix(), after, mode);
        let page = parse_range(&link.call(&path, READ_WAIT).await?)?;
        let is_last = !page.has_more || page.changes.is_empty();
        // Pages are not one snapshot: the result is valid at the revision of the oldest page, and the
        // watch returns the changes after it.
        whole.revision = whole.revision.min(page.revision);
        whole.changes.extend(page.changes.into_iter().map(fact_of));
        if is_last {
            return Ok(whole);
        }
        if is_first
            && mode == ReadMode::Relaxed
            && let Some(told) = fetch_whole(state, kind).await
        {
            return Ok(told);
        }
    }
}

fn fact_of(change: StoreItem) -> FactChange {
    let value = change.value.map(Arc::new);
    FactChange { key: change.key, revision: change.revision, value }
}

impl StoreLink {
    async fn call(&mut self, path: &str, wait: Duration) -> Result<Bytes, CallError> {
        match timeout(wait, self.call_unbounded(path)).await {
            Ok(answer) => answer,
            Err(_) => {
                self.channel = None;
                Err(CallError::Silent)
            }
        }
    }

    async fn call_unbounded(&mut self, path: &str) -> Result<Bytes, CallError> {
        let mut channel = match self.channel.take() {
            Some(channel) if !channel.is_closed() => channel,
            _ => TargetChannel::open(self.address, CONNECT_WAIT).await?,
        };
        let (status, body) = get(&mut channel, self.address, path).await?;
        self.channel = Some(channel);
        if status == 200 { Ok(body) } else { Err(CallError::Status { status }) }
    }
}
