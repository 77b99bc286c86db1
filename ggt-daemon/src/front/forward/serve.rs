//! Serves the port for peers: requests that they forward, and their own.

use std::convert::Infallible;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::request::Parts;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use crate::clock::mono_now;
use crate::edge::ConnectionGuard;
use crate::edge::accept_connections;
use crate::front::bodies::BodyLimit;
use crate::front::bodies::BodyReader;
use crate::front::internal::respond;
use crate::front::job::FrontJob;
use crate::front::job::JobGuard;
use crate::front::prepare::prepare_forwarded;
use crate::front::response::FrontRefusal;
use crate::front::response::RefusalNote;
use crate::front::response::ResponseBody;
use crate::front::state::FrontState;
use crate::front::stopping::serve_job;
use crate::logging::quoted;
use ggt_core::clock::MonoTime;
use ggt_platform::parse_request_headers;
use ggt_wire::forward::ForwardedReply;
use ggt_wire::forward::ForwardedRequest;
use ggt_wire::forward::REPLY_HEADER;
use ggt_wire::forward::REQUEST_HEADER;
use ggt_wire::forward::decode_request;
use ggt_wire::forward::encode_reply;

/// Maximum size in bytes of a forwarded request's body; the forwarding daemon has applied the configured
/// limit.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Longest pause between two pieces of it.
const MAX_BODY_PAUSE: Duration = Duration::from_millis(2_000);

/// Serves the port for peers until the edge is closed.
pub async fn serve_peers(state: Rc<FrontState>, listener: TcpListener) {
    let serve = |stream, peer| {
        let guard = state.edge.track_connection();
        spawn_local(serve_connection(state.clone(), stream, peer, guard));
    };
    accept_connections(&state.edge, listener, serve).await;
}

async fn serve_connection(
    state: Rc<FrontState>,
    stream: TcpStream,
    peer: SocketAddr,
    _guard: ConnectionGuard,
) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("event=peer-connection address={peer} cause=\"{e}\"");
    }
    let service = service_fn(|request| {
        let state = state.clone();
        async move { Ok::<_, Infallible>(serve_request(state, request).await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let result = tokio::select! {
        // A request that has already arrived is read before the connection can be closed as idle.
        biased;
        result = connection.as_mut() => result,
        () = state.edge.wait_for_end() => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    if let Err(e) = result {
        log::debug!("event=peer-connection address={peer} cause={}", quoted(&e.to_string()));
    }
}

async fn serve_request(
    state: Rc<FrontState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    if !request.headers().contains_key(REQUEST_HEADER) {
        return respond(&state, &request).map(|body| ResponseBody::Complete(Some(body)));
    }
    let mut response = serve_forwarded(&state, request).await;
    if state.is_draining() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Serves a forwarded request like one of a caller of this daemon, and says in a header of the response
/// whether that is a target's.
async fn serve_forwarded(
    state: &Rc<FrontState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let received_at = mono_now();
    let (mut parts, body) = request.into_parts();
    let job = match read_job(state, &mut parts, body, received_at).await {
        Ok(job) => Rc::new(job),
        Err(refusal) => {
            log::info!("event=taken outcome=refused cause={}", refusal.cause);
            return add_reply_header(refusal.into_response(None), None);
        }
    };
    let guard = JobGuard::forwarded(state.clone(), &job.id, received_at);
    log::info!(
        "event=take request_id={} sender={} service={} version={} left_ms={}",
        quoted(&job.id),
        job.handover.as_ref().map_or("-".to_owned(), |handover| handover.sender.to_string()),
        job.service,
        job.version,
        job.remaining_ms(),
    );
    let response = serve_job(state, job.clone(), guard).await;
    add_reply_header(response, Some(&job))
}

async fn read_job(
    state: &FrontState,
    parts: &mut Parts,
    body: Incoming,
    received_at: MonoTime,
) -> Result<FrontJob, FrontRefusal> {
    if let Some(refusal) = state.draining_refusal() {
        return Err(refusal);
    }
    let forwarded = take_envelope(parts)
        .ok_or(FrontRefusal::new(StatusCode::BAD_REQUEST, "malformed-header"))?;
    let headers = parse_request_headers(&parts.headers)
        .map_err(|_| FrontRefusal::new(StatusCode::BAD_REQUEST, "malformed-header"))?;
    let job = prepare_forwarded(state, parts, headers, received_at, forwarded)?;
    let limit = BodyLimit { max_bytes: MAX_BODY_BYTES, max_pause: MAX_BODY_PAUSE };
    let reader = BodyReader { budget: &state.bodies, limit, owner: job.owner() };
    let body = reader.read(body, &parts.headers, pending::<()>()).await?;
    Ok(job.with_body(std::mem::take(&mut parts.headers), body))
}

/// Takes what the forwarding daemon says out of the headers, which then are the caller's.
fn take_envelope(parts: &mut Parts) -> Option<ForwardedRequest> {
    let value = parts.headers.remove(REQUEST_HEADER)?;
    decode_request(value.to_str().ok()?).ok()
}

fn add_reply_header(
    mut response: Response<ResponseBody>,
    job: Option<&FrontJob>,
) -> Response<ResponseBody> {
    let reply = match response.extensions().get::<RefusalNote>() {
        Some(RefusalNote { cause, retry_after_ms }) => {
            ForwardedReply::Refused { cause: (*cause).to_owned(), retry_after_ms: *retry_after_ms }
        }
        None => {
            let handover = job.and_then(|job| job.handover.as_ref());
            let version = handover.and_then(|handover| handover.served_version.get());
            ForwardedReply::Served { version }
        }
    };
    let value = encode_reply(&reply).ok().and_then(|value| HeaderValue::from_str(&value).ok());
    // Without the header the forwarding daemon takes the request as possibly run.
    if let Some(value) = value {
        response.headers_mut().insert(REPLY_HEADER, value);
    }
    response
}
