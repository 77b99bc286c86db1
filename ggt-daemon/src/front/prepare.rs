//! Routes, authenticates and validates a caller's request.

use std::cell::Cell;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http::header;
use http::request::Parts;

use crate::front::forward::Handover;
use crate::front::job::FrontJob;
use crate::front::job::PendingJob;
use crate::front::response::FrontRefusal;
use crate::front::state::FrontState;
use ggt_core::clock::MonoTime;
use ggt_core::crashes::RequestSuspects;
use ggt_core::crashes::SuspectKey;
use ggt_core::prompts::PrefixChain;
use ggt_core::routes::AllowedRegions;
use ggt_core::routes::CustomerEntry;
use ggt_core::routes::RouteConfig;
use ggt_core::routes::RouteEntry;
use ggt_core::routes::split_hash;
use ggt_platform::RequestHeaders;
use ggt_wire::forward::ForwardedRequest;

/// `retry-after` in milliseconds while the daemon has no configuration yet.
const STARTING_RETRY_MS: u64 = 500;
/// `retry-after` in milliseconds when the route has no service.
const NO_SERVICE_RETRY_MS: u64 = 1_000;

/// Builds the job of a request whose head has been decoded, apart from its body.
///
/// # Errors
/// [`FrontRefusal`] holds the response for an invalid request.
pub fn prepare_job(
    state: &FrontState,
    parts: &Parts,
    headers: RequestHeaders,
    received_at: MonoTime,
) -> Result<PendingJob, FrontRefusal> {
    let Some(config) = state.route_config() else {
        return Err(FrontRefusal::not_run("no-configuration", STARTING_RETRY_MS));
    };
    let host = parts.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let path = parts.uri.path();
    let route =
        config.find(host, path).ok_or(FrontRefusal::new(StatusCode::NOT_FOUND, "no-route"))?;
    let customer = find_customer(&config, route, &headers)?;
    let Some(attempt_id) = headers.attempt_id.clone() else {
        return Err(FrontRefusal::new(StatusCode::BAD_REQUEST, "no-attempt-id"));
    };
    // A stream that is taken up goes to the service that began it, if the route still has that.
    let first_attempt = headers.first_attempt.as_ref().filter(|_| headers.last_event.is_some());
    let service = route
        .service_for(split_hash(first_attempt.unwrap_or(&attempt_id)))
        .ok_or(FrontRefusal::not_run("no-service", NO_SERVICE_RETRY_MS))?;
    let wait_ms = headers.wait_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
    let chain = route.is_sticky.then(|| prefix_chain(&headers));
    let target_path =
        parts.uri.path_and_query().map_or(path, |path_and_query| path_and_query.as_str());
    let customer_name = customer.map(|customer| customer.name.clone());
    Ok(PendingJob::new(FrontJob {
        id: attempt_id,
        route: route.clone(),
        version: config.version(),
        service: service.to_owned(),
        priority: customer.and_then(|customer| customer.priority).unwrap_or(route.priority),
        allowed_centres: state.allowed_centres(route, customer),
        customer: customer_name,
        chain,
        method: parts.method.clone(),
        path: target_path.to_owned(),
        raw_headers: HeaderMap::new(),
        body: Bytes::new(),
        suspects: RequestSuspects::new(SuspectKey::default()),
        handover: None,
        received_at,
        deadline: received_at + wait_ms,
        has_begun_send: Cell::new(false),
        headers,
    }))
}

/// Builds the job of a request that a peer forwarded, apart from its body. If this daemon has a newer configuration than the
/// peer, that decides; otherwise what the peer has decided holds.
///
/// # Errors
/// [`FrontRefusal`] holds the response for a request that the newer configuration does not allow.
pub fn prepare_forwarded(
    state: &FrontState,
    parts: &Parts,
    headers: RequestHeaders,
    received_at: MonoTime,
    forwarded: ForwardedRequest,
) -> Result<PendingJob, FrontRefusal> {
    let Some(config) = state.route_config() else {
        return Err(FrontRefusal::not_run("no-configuration", STARTING_RETRY_MS));
    };
    let ForwardedRequest { last_event, attempts, remaining_ms, .. } = forwarded;
    let first_attempt = forwarded.first_attempt.clone();
    let headers = RequestHeaders { last_event, first_attempt, ..headers };
    let handover = Handover {
        sender: forwarded.sender,
        version: forwarded.version,
        may_have_run: forwarded.may_have_run,
        served_version: Cell::default(),
    };
    let mut job = match config.version() > forwarded.config_version {
        true => prepare_job(state, parts, headers, received_at)?,
        false => decided_job(parts, headers, received_at, &forwarded)?,
    };
    job.hand_over(handover, attempts, received_at + remaining_ms);
    Ok(job)
}

/// The job of a forwarded request as the peer has decided it.
fn decided_job(
    parts: &Parts,
    headers: RequestHeaders,
    received_at: MonoTime,
    forwarded: &ForwardedRequest,
) -> Result<PendingJob, FrontRefusal> {
    let Some(id) = headers.attempt_id.clone() else {
        return Err(FrontRefusal::new(StatusCode::BAD_REQUEST, "no-attempt-id"));
    };
    let route = RouteEntry {
        name: forwarded.route.name.clone(),
        host: String::new(),
        path_prefix: String::new(),
        is_stream: forwarded.route.is_stream,
        is_idempotent: forwarded.route.is_idempotent,
        timeout_ms: forwarded.remaining_ms,
        goal_ms: forwarded.route.goal_ms,
        max_gap_ms: forwarded.route.max_gap_ms,
        priority: forwarded.priority,
        max_attempts: forwarded.attempts,
        is_public: true,
        is_sticky: forwarded.route.is_sticky,
        services: Vec::new(),
        allowed_regions: AllowedRegions::default(),
    };
    let path = parts.uri.path_and_query().map_or(parts.uri.path(), |path| path.as_str());
    let chain = route.is_sticky.then(|| prefix_chain(&headers));
    Ok(PendingJob::new(FrontJob {
        id,
        route,
        version: forwarded.config_version,
        service: forwarded.service.clone(),
        customer: forwarded.customer.clone(),
        priority: forwarded.priority,
        allowed_centres: forwarded.allowed_centres.clone(),
        chain,
        method: parts.method.clone(),
        path: path.to_owned(),
        raw_headers: HeaderMap::new(),
        body: Bytes::new(),
        suspects: RequestSuspects::new(SuspectKey::default()),
        handover: None,
        received_at,
        deadline: received_at + forwarded.remaining_ms,
        has_begun_send: Cell::new(false),
        headers,
    }))
}

fn find_customer<'a>(
    config: &'a RouteConfig,
    route: &RouteEntry,
    headers: &RequestHeaders,
) -> Result<Option<&'a CustomerEntry>, FrontRefusal> {
    let customer = headers.key.as_deref().and_then(|key| config.customer(key));
    if customer.is_none() && config.requires_key() && !route.is_public {
        return Err(FrontRefusal::new(StatusCode::UNAUTHORIZED, "unknown-key"));
    }
    Ok(customer)
}

fn prefix_chain(headers: &RequestHeaders) -> PrefixChain {
    PrefixChain::new(headers.model.as_deref().unwrap_or_default(), &headers.parts)
}
