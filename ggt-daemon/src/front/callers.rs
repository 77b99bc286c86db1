//! HTTP server for callers: connections, request bodies and dispatch.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderName;
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
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::clock::mono_now;
use crate::edge::ConnectionGuard;
use crate::edge::accept_with_room;
use crate::front::bodies::BodyLimit;
use crate::front::bodies::BodyReader;
use crate::front::bodies::discard_body;
use crate::front::connections::CallerBody;
use crate::front::connections::CallerConnection;
use crate::front::connections::CallerStream;
use crate::front::job::JobGuard;
use crate::front::prepare::prepare_job;
use crate::front::response::FrontRefusal;
use crate::front::response::ResponseBody;
use crate::front::state::FrontState;
use crate::front::stopping::serve_job;
use crate::logging::quoted;
use ggt_core::connections::RevokedState;
use ggt_core::routes::CallerLimits;
use ggt_platform::ATTEMPT_HEADER;
use ggt_platform::parse_request_headers;

/// Multiple of the configured timeouts after which an idle connection is closed. The timeout is
/// fixed when the connection opens; the margin lets a longer timeout of a later configuration apply
/// too.
const IDLE_FACTOR: u64 = 4;
/// Minimum size in bytes of the buffer for a request's head that the HTTP layer accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Longest time for which a connection that has to end takes to send the refusal of its request.
const REVOKED_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves callers' connections until the edge is closed.
pub async fn serve_callers(state: Rc<FrontState>, listener: TcpListener) {
    let connections = &state.caller_connections;
    let serve = |stream, caller| {
        let guard = state.edge.track_connection();
        let stream = CallerStream::new(stream, connections.accept());
        spawn_local(serve_connection(state.clone(), stream, caller, guard));
    };
    let wait_for_room = async || connections.wait_for_room().await;
    accept_with_room(&state.edge, listener, serve, wait_for_room).await;
}

async fn serve_connection(
    state: Rc<FrontState>,
    stream: CallerStream,
    caller: SocketAddr,
    _guard: ConnectionGuard,
) {
    if let Err(e) = stream.set_nodelay() {
        log::debug!("event=caller address={caller} cause=\"{e}\"");
    }
    let counted = stream.connection();
    let limits = state.route_config().map_or_else(CallerLimits::default, |config| *config.limits());
    let service = service_fn(|request| {
        let (state, counted) = (state.clone(), counted.clone());
        async move { Ok::<_, Infallible>(serve_request(state, request, counted).await) }
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
        revoked = counted.revoked() => match revoked {
            // No request has been read.
            RevokedState::Idle | RevokedState::Head => return,
            RevokedState::Body => {
                connection.as_mut().graceful_shutdown();
                let refused = timeout(REVOKED_TIMEOUT, connection.as_mut()).await;
                // Its caller does not take the response.
                refused.unwrap_or(Ok(()))
            }
        },
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
    counted: CallerConnection,
) -> Response<CallerBody> {
    let guard = counted.begin_request();
    let mut response = handle_request(state.clone(), request, &counted).await;
    if state.is_draining() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| CallerBody::new(body, guard))
}

/// Length of the head of a request, without what separates its lines.
fn head_length(parts: &Parts) -> usize {
    let line = |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len();
    let target = parts.uri.path_and_query().map_or(0, |target| target.as_str().len());
    target + parts.headers.iter().map(line).sum::<usize>()
}

async fn handle_request(
    state: Rc<FrontState>,
    request: Request<Incoming>,
    counted: &CallerConnection,
) -> Response<ResponseBody> {
    let received_at = mono_now();
    let (parts, body) = request.into_parts();
    counted.finish_head(head_length(&parts));
    let attempt_id = parts.headers.get(ATTEMPT_HEADER).and_then(|value| value.to_str().ok());
    let attempt_id = attempt_id.map(str::to_owned);
    let id = attempt_id.as_deref().unwrap_or("-").to_owned();
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
            let reader = BodyReader { budget: &state.bodies, limit, owner: job.owner() };
            let body = reader.read(body, &parts.headers, counted.revoked()).await;
            body.map(|body| job.with_body(parts.headers, body))
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
            return refusal.into_response(attempt_id.as_deref());
        }
    };
    counted.begin_service();
    state.record_request(&job.service);
    serve_job(&state, job, guard).await
}
