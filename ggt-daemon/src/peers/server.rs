//! JSON-RPC server for other daemons.

use std::collections::BTreeMap;
use std::sync::Arc;

use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::serve_with_graceful_shutdown;
use jsonrpsee::server::stop_channel;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::Params;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;

use crate::clock::wall_now;
use crate::lock::lock;
use crate::metrics::TrafficKind;
use crate::peers::links::MAX_MESSAGE_BYTES;
use crate::peers::stream::CountedStream;
use crate::state::SharedState;
use ggt_core::claims::AbstainReason;
use ggt_core::claims::ClaimReply;
use ggt_core::claims::ClaimRequest;
use ggt_core::claims::SettleRequest;
use ggt_wire::platform::FileDigest;
use ggt_wire::platform::FolderKind;
use ggt_wire::rpc;
use ggt_wire::rpc::FetchParams;
use ggt_wire::rpc::FetchResult;
use ggt_wire::rpc::SignedCall;
use ggt_wire::rpc::SignedReply;

/// JSON-RPC error code of a call that fails verification or whose reply cannot be signed.
const REFUSED_CODE: i32 = -32_001;
/// Maximum concurrent connections from other daemons.
const MAX_CONNECTIONS: u32 = 2_048;

/// Serves calls of other daemons on `listener` until the runtime shuts down.
///
/// # Errors
/// [`RegisterMethodError`] if two methods have the same name.
pub async fn serve_peers(
    state: Arc<SharedState>,
    listener: TcpListener,
) -> Result<(), RegisterMethodError> {
    let methods = build_methods(state.clone())?;
    let config = ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .build();
    let builder = Server::builder().set_config(config).to_service_builder();
    let (stop_handle, _server_handle) = stop_channel();
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        // Otherwise Nagle's algorithm holds small replies until the peer's delayed ACK.
        let _ = stream.set_nodelay(true);
        let stream = CountedStream::new(stream, state.metrics.traffic(TrafficKind::Call));
        let service = builder.clone().build(methods.clone(), stop_handle.clone());
        tokio::spawn(serve_with_graceful_shutdown(stream, service, stop_handle.clone().shutdown()));
    }
}

fn build_methods(
    state: Arc<SharedState>,
) -> Result<RpcModule<Arc<SharedState>>, RegisterMethodError> {
    let mut module = RpcModule::new(state);
    module.register_method(rpc::CLAIM, |params, state, _| {
        handle_call(state, rpc::CLAIM, &params, |request| handle_claim(state, &request))
    })?;
    module.register_method(rpc::SEAL, |params, state, _| {
        handle_call(state, rpc::SEAL, &params, |request| handle_seal(state, &request))
    })?;
    module.register_method(rpc::SETTLE, |params, state, _| {
        handle_call(state, rpc::SETTLE, &params, |request| handle_settle(state, request))
    })?;
    module.register_method(rpc::FETCH, |params, state, _| {
        handle_call(state, rpc::FETCH, &params, |request| handle_fetch(state, &request))
    })?;
    Ok(module)
}

fn handle_call<P, R, F>(
    state: &SharedState,
    method: &str,
    params: &Params<'_>,
    handle: F,
) -> Result<SignedReply, ErrorObjectOwned>
where
    P: DeserializeOwned,
    R: Serialize,
    F: FnOnce(P) -> R,
{
    let refused = |cause: String| ErrorObjectOwned::owned(REFUSED_CODE, cause, None::<()>);
    let call: SignedCall = params.one()?;
    let request = rpc::verify_call(&state.keys, method, &call, wall_now()).map_err(|e| {
        state.metrics.record_dropped("call");
        log::warn!("event=call-refused method={method} from={} cause=\"{e}\"", call.from);
        refused(e.to_string())
    })?;
    rpc::sign_reply(&state.keys, &call, &handle(request)).map_err(|e| refused(e.to_string()))
}

fn abstain_behind() -> ClaimReply {
    ClaimReply::Abstain { reason: AbstainReason::Behind, epoch: 0 }
}

/// Handles a claim from another daemon or from this daemon itself.
pub(crate) fn handle_claim(state: &SharedState, request: &ClaimRequest) -> ClaimReply {
    let Some(config) = state.active_config() else { return abstain_behind() };
    let roster = &config.accepted.model.roster;
    let reply = lock(&state.claim_holder).claim(request, roster, &config.holder, wall_now());
    log::info!(
        "event=claim key={} attempt={} epoch={} reply={}",
        request.key.text,
        request.attempt,
        request.epoch,
        reply_label(&reply),
    );
    reply
}

/// Handles a seal from another daemon or from this daemon itself.
pub(crate) fn handle_seal(state: &SharedState, request: &ClaimRequest) -> ClaimReply {
    let Some(config) = state.active_config() else { return abstain_behind() };
    let roster = &config.accepted.model.roster;
    let reply = lock(&state.claim_holder).seal(request, roster, &config.holder, wall_now());
    log::info!(
        "event=seal key={} attempt={} epoch={} reply={}",
        request.key.text,
        request.attempt,
        request.epoch,
        reply_label(&reply),
    );
    reply
}

/// Records the outcome of an attempt of another daemon or of this daemon itself; `false` without an
/// active configuration.
pub(crate) fn handle_settle(state: &SharedState, request: SettleRequest) -> bool {
    let Some(config) = state.active_config() else { return false };
    lock(&state.claim_holder).settle(request, &config.holder);
    true
}

fn reply_label(reply: &ClaimReply) -> &'static str {
    match reply {
        ClaimReply::Granted => "granted",
        ClaimReply::Held { .. } => "held",
        ClaimReply::Sealed => "sealed",
        ClaimReply::Conflict => "conflict",
        ClaimReply::Abstain { reason, .. } => match reason {
            AbstainReason::Recovering => "abstain-recovering",
            AbstainReason::Behind => "abstain-behind",
            AbstainReason::OtherRoster => "abstain-other-roster",
            AbstainReason::Expired => "abstain-expired",
            AbstainReason::TableFull => "abstain-table-full",
        },
    }
}

fn handle_fetch(state: &SharedState, request: &FetchParams) -> FetchResult {
    let leaving = match request.folder {
        FolderKind::Config => Vec::new(),
        FolderKind::Hosts => lock(&state.routing)
            .leaving()
            .map(|(name, incarnation)| (name.clone(), incarnation))
            .collect(),
    };
    let folders = lock(&state.folders);
    let slot = folders.slot(request.folder);
    if slot.gate.active().is_none_or(|revision| revision <= request.above) {
        return FetchResult { manifest: None, texts: BTreeMap::new(), leaving };
    }
    let is_missing = |digest: &FileDigest| !request.have.contains(digest);
    let mut texts = slot.folder.by_digest();
    texts.retain(|digest, _| is_missing(digest));
    FetchResult { manifest: Some(slot.folder.manifest()), texts, leaving }
}
