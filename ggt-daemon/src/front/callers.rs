//! HTTP server for callers: connections, request bodies and dispatch.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use crate::clock::mono_now;
use crate::edge::ConnectionGuard;
use crate::edge::accept_connections;
use crate::front::bodies::BodyLimit;
use crate::front::bodies::discard_body;
use crate::front::bodies::read_body;
use crate::front::job::JobGuard;
use crate::front::prepare::prepare_job;
use crate::front::response::FrontRefusal;
use crate::front::response::ResponseBody;
use crate::front::state::FrontState;
use crate::front::stopping::serve_job;
use crate::logging::quoted;
use ggt_core::routes::CallerLimits;
use ggt_platform::ATTEMPT_HEADER;
use ggt_platform::parse_request_headers;

/// Multiple of the configured timeouts after which an idle connection is closed. The timeout is
/// fixed when the connection opens; the margin lets a longer timeout of a later configuration apply
/// too.
const IDLE_FACTOR: u64 = 4;
/// Minimum size in bytes of the buffer for a request's head that the HTTP layer accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Serves callers' connections until the edge is closed.
pub async fn serve_callers(state: Rc<FrontState>, listener: TcpListener) {
    let serve = |stream, caller| {
        let guard = state.edge.track_connection();
        spawn_local(serve_connection(state.clone(), stream, caller, guard));
    };
    accept_connections(&state.edge, listener, serve).await;
}

async fn serve_connection(
    state: Rc<FrontState>,
    stream: TcpStream,
    caller: SocketAddr,
    _guard: ConnectionGuard,
) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("event=caller address={caller} cause=\"{e}\"");
    }
    let limits = state.route_config().map_or_else(CallerLimits::default, |config| *config.limits());
    let service = service_fn(|request| {
        let state = state.clone();
        async move { Ok::<_, Infallible>(serve_request(state, request).await) }
    });
    let idle =
        Duration::from_millis(limits.idle_timeout_ms.max(limits.head_timeout_ms) * IDLE_FACTOR);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES) * 2)
        .serve_connection(TokioIo::new(stream), service);
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
        log_broken_connection(caller, &e);
    }
}

/// Logs a connection that broke; one that was idle until its timeout only at debug level.
fn log_broken_connection(caller: SocketAddr, error: &hyper::Error) {
    let level = if error.is_timeout() { log::Level::Debug } else { log::Level::Info };
    log::log!(level, "event=caller address={caller} cause={}", quoted(&error.to_string()));
}

async fn serve_request(
    state: Rc<FrontState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let mut response = handle_request(state.clone(), request).await;
    if state.is_draining() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn handle_request(
    state: Rc<FrontState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let received_at = mono_now();
    let (parts, body) = request.into_parts();
    let attempt_id = parts.headers.get(ATTEMPT_HEADER).and_then(|value| value.to_str().ok());
    let id = attempt_id.unwrap_or("-").to_owned();
    let guard = JobGuard::new(state.clone(), &id, received_at);
    let limits = state.route_config().map_or_else(CallerLimits::default, |config| *config.limits());
    let checked = parse_request_headers(&parts.headers)
        .map_err(|_| FrontRefusal::new(StatusCode::BAD_REQUEST, "malformed-header"))
        .and_then(|headers| prepare_job(&state, &parts, headers, received_at));
    let checked = match checked {
        Ok(job) => {
            let limit = BodyLimit {
                max_bytes: limits.max_body_bytes,
                max_pause: Duration::from_millis(limits.idle_timeout_ms),
            };
            let body = read_body(&state.bodies, body, limit, job.owner(), &parts.headers).await;
            body.map(|body| job.with_body(body))
        }
        Err(refusal) => {
            discard_body(body, &parts.headers).await;
            Err(refusal)
        }
    };
    let job = match checked {
        Ok(job) => Rc::new(job),
        Err(refusal) => {
            guard.end("refused", refusal.status.as_u16(), refusal.cause);
            return refusal.into_response(attempt_id);
        }
    };
    state.record_request(&job.service);
    serve_job(&state, job, guard).await
}
