//! Lists of the targets' prefix caches: requested at the start of a daemon, and for streams that no daemon knows.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::clock::mono_now;
use crate::front::call::CallError;
use crate::front::call::CallReply;
use crate::front::call::get;
use crate::front::state::CONNECT_TIMEOUT;
use crate::front::state::FrontState;
use crate::logging::quoted;
use crate::upstream::TargetConnection;
use ggt_core::clock::MonoTime;
use ggt_core::prompts::prefix_hash;
use ggt_core::targets::StatedStart;
use ggt_core::targets::TargetKey;
use ggt_core::targets::TargetRecord;
use ggt_core::versions::CachedTokens;
use ggt_core::versions::LIST_WAIT_MS;
use ggt_core::versions::ListedPart;
use ggt_platform::CACHE_LIST_PATH;
use ggt_platform::CacheList;
use ggt_platform::parse_cache_list;

/// Timeout of one target's list.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest wait for lists that are asked for.
const LIST_WAIT: Duration = Duration::from_millis(LIST_WAIT_MS);
/// Maximum number of lists that are requested for one question.
const MAX_LISTS: usize = 64;

/// What current lists of these targets, by their short hashes, say about a prompt part. Targets without one are
/// listed first, and left out if that takes too long.
pub async fn list_part(state: &Rc<FrontState>, targets: &[u32], prefix: u64) -> Vec<ListedPart> {
    let requests = targets.iter().filter_map(|target| {
        let key = state.pool.borrow().by_short_hash(*target)?;
        ListRequest::begin(state, key)
    });
    for request in requests.take(MAX_LISTS) {
        let state = state.clone();
        spawn_local(async move { request.finish(&state).await });
    }
    // Lists that have not arrived by then are left out.
    let _ = timeout(LIST_WAIT, wait_for_lists(state, targets)).await;
    let now = mono_now();
    let listings = state.listings.borrow();
    targets.iter().filter_map(|target| listings.part(*target, prefix, now)).collect()
}

async fn wait_for_lists(state: &FrontState, targets: &[u32]) {
    loop {
        let arrived = state.list_arrived.notified();
        if !targets.iter().any(|target| state.listings.borrow().is_requested(*target)) {
            return;
        }
        arrived.await;
    }
}

/// Requests the list of a target's prefix cache, unless there is a current one or it has been requested, and records
/// what it holds.
pub async fn list_target(state: &FrontState, key: TargetKey) {
    if let Some(request) = ListRequest::begin(state, key) {
        request.finish(state).await;
    }
}

/// A list that is to be requested from a target.
struct ListRequest {
    key: TargetKey,
    hash: u32,
    address: SocketAddr,
    incarnation: u64,
    requested_at: MonoTime,
}

impl ListRequest {
    /// A request that counts as begun; `None` if there is a current list or one has been requested.
    fn begin(state: &FrontState, key: TargetKey) -> Option<Self> {
        let pool = state.pool.borrow();
        let target = pool.target(key).filter(|target| state.is_engine(&target.record))?;
        let requested_at = mono_now();
        let is_due = state.listings.borrow_mut().begin(target.short_hash, requested_at);
        let TargetRecord { address, incarnation, .. } = target.record;
        is_due.then_some(Self { key, hash: target.short_hash, address, incarnation, requested_at })
    }

    /// Requests the list, and records what it holds.
    async fn finish(self, state: &FrontState) {
        let Self { key, hash, address, incarnation, requested_at } = self;
        let reply = request_list(address).await.map_err(|e| e.to_string());
        let list = reply.and_then(|reply| read_list(&reply));
        if let Ok(list) = &list {
            let start = list_start(list, incarnation);
            state.pool.borrow_mut().apply_start(key, start, requested_at);
        }
        let listed = list.and_then(|list| parts_of(&list, incarnation));
        let after_ms = mono_now().millis_since(requested_at);
        match listed {
            Ok(parts) => {
                let count = parts.len();
                log::info!("event=cache-list address={address} parts={count} after_ms={after_ms}");
                state.record_list(key, hash, &parts, requested_at);
            }
            Err(cause) => {
                let cause = quoted(&cause);
                log::info!("event=cache-list address={address} cause={cause} after_ms={after_ms}");
                state.listings.borrow_mut().record_failure(hash, mono_now());
            }
        }
        state.list_arrived.notify_waiters();
    }
}

/// The parts in a list, if the target that gave it is this incarnation.
fn parts_of(list: &CacheList, incarnation: u64) -> Result<Vec<CachedTokens>, String> {
    if list.born.is_some_and(|born| born != incarnation) {
        return Err("another incarnation".to_owned());
    }
    let cached = list.parts.iter().map(|part| CachedTokens {
        prefix: prefix_hash(&part.model, part.hash),
        tokens: part.tokens,
    });
    Ok(cached.collect())
}

/// What the target at this address says of its start, against that of a registered incarnation.
///
/// # Errors
/// The cause if it does not reply.
pub async fn stated_start(address: SocketAddr, incarnation: u64) -> Result<StatedStart, String> {
    let reply = request_list(address).await.map_err(|e| e.to_string())?;
    match reply.status {
        404 => Ok(StatedStart::Unstated),
        _ => read_list(&reply).map(|list| list_start(&list, incarnation)),
    }
}

fn list_start(list: &CacheList, incarnation: u64) -> StatedStart {
    match list.born {
        None => StatedStart::Unstated,
        Some(born) if born == incarnation => StatedStart::Registered,
        Some(_) => StatedStart::Another,
    }
}

async fn request_list(address: SocketAddr) -> Result<CallReply, CallError> {
    let call = async {
        let mut connection = TargetConnection::open(address, CONNECT_TIMEOUT).await?;
        get(&mut connection, address, CACHE_LIST_PATH).await
    };
    timeout(LIST_TIMEOUT, call).await.unwrap_or(Err(CallError::Timeout))
}

fn read_list(reply: &CallReply) -> Result<CacheList, String> {
    match reply.status {
        200 => parse_cache_list(&reply.body).map_err(|e| e.to_string()),
        status => Err(format!("status {status}")),
    }
}

impl FrontState {
    /// Whether a target has a prefix cache. Others do not know the request for its list.
    pub fn is_engine(&self, record: &TargetRecord) -> bool {
        let config = self.route_config();
        let service = config.as_ref().and_then(|config| config.service(&record.service));
        service.is_some_and(|service| service.engine.is_some())
    }

    fn record_list(
        &self,
        key: TargetKey,
        hash: u32,
        parts: &[CachedTokens],
        requested_at: MonoTime,
    ) {
        let now = mono_now();
        let mut pool = self.pool.borrow_mut();
        parts.iter().for_each(|part| pool.record_listed_prefix(key, part.prefix, now));
        self.listings.borrow_mut().record(hash, parts, requested_at);
    }
}
