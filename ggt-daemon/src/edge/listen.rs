//! HTTP server for callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel::Sender;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::clock::mono_now;
use crate::dispatch::CancelRequest;
use crate::dispatch::IncompleteResponse;
use crate::dispatch::Refusal;
use crate::dispatch::RequestSpawner;
use crate::dispatch::ResponseBody;
use crate::dispatch::response_channel;
use crate::dispatch::set_header;
use crate::edge::BusyGuard;
use crate::edge::ConnectionActivity;
use crate::edge::ConnectionGuard;
use crate::edge::EdgeHandle;
use crate::edge::RequestError;
use crate::edge::accept_connections;
use crate::edge::prepare::caller_request_id;
use crate::edge::prepare::find_customer;
use crate::edge::prepare::prepare_job;
use crate::lifecycle::RunningTimer;
use crate::logging::quoted;
use crate::state::SharedState;
use ggt_core::verdict::RunVerdict;
use ggt_wire::headers;

/// Maximum time for receiving the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a connection with a request at the end of a shutdown checks whether it is idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Path of the load balancer's readiness check.
const READY_PATH: &str = "/healthz";
/// Cause of what a shutdown refuses or ends.
const DRAINING_CAUSE: &str = "draining";
/// `retry-after` in milliseconds of a daemon that drains; other daemons take the request at once.
const DRAINING_RETRY_MS: u64 = 200;
/// Cause of the refusal of a request whose task panicked, which the task has logged.
const INTERNAL_CAUSE: &str = "internal";

/// Dependencies of the callers' HTTP server.
pub struct EdgeContext {
    /// State shared with the daemon's threads.
    pub state: Arc<SharedState>,
    /// Spawns a task per request.
    pub spawner: RequestSpawner,
    /// Queue of requests to cancel at their targets because their callers disconnected.
    pub cancels: Sender<CancelRequest>,
    /// Shutdown control and count of connections.
    pub handle: EdgeHandle,
}

/// Body of a response to a caller: complete in memory, or streamed from a target. The connection is
/// busy until a streamed one is dropped.
enum EdgeBody {
    Full(Option<Bytes>),
    Streamed(ResponseBody, #[expect(dead_code, reason = "held until it is dropped")] BusyGuard),
}

impl Body for EdgeBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed(body, _) => Pin::new(body).poll_frame(context),
        }
    }
}

/// Serves callers' connections until the edge is closed.
pub async fn serve_callers(context: Arc<EdgeContext>, listener: TcpListener) {
    let handle = context.handle.clone();
    let serve = |stream, peer| {
        let guard = context.handle.track_connection();
        tokio::spawn(serve_connection(context.clone(), stream, peer, guard));
    };
    accept_connections(&handle, listener, serve).await;
}

async fn serve_connection(
    context: Arc<EdgeContext>,
    stream: TcpStream,
    peer: SocketAddr,
    _guard: ConnectionGuard,
) {
    // Streams consist of small chunks, which Nagle's algorithm would delay.
    let _ = stream.set_nodelay(true);
    let activity = ConnectionActivity::default();
    let service = service_fn(|request| {
        let (context, busy_guard) = (context.clone(), activity.begin_request());
        async move { Ok::<_, Infallible>(serve_request(&context, request, busy_guard).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(context.state.settings.limits.max_head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let outcome = tokio::select! {
        // Polled first, so that a request that has arrived is read before the shutdown.
        biased;
        outcome = connection.as_mut() => outcome,
        () = wait_for_close(&context, &activity) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = outcome {
        log::debug!("event=connection peer={peer} cause={}", quoted(&e.to_string()));
    }
}

/// Waits until a connection may be closed: at the end of a shutdown, and if a request is then in
/// progress, once the connection has been idle for the time of the announcement after it. The head of
/// its response may have been sent before the shutdown, without `connection: close`.
async fn wait_for_close(context: &EdgeContext, activity: &ConnectionActivity) {
    context.handle.wait_for_end().await;
    if !activity.is_busy() {
        return;
    }
    let announce_ms = context.state.settings.timing.drain_announce_ms;
    let mut idle_timer = RunningTimer::new(announce_ms, mono_now());
    while activity.is_busy() || !idle_timer.has_ended(mono_now()) {
        if activity.is_busy() {
            idle_timer = RunningTimer::new(announce_ms, mono_now());
        }
        sleep(IDLE_CHECK_INTERVAL).await;
    }
}

async fn serve_request(
    context: &EdgeContext,
    request: Request<Incoming>,
    busy_guard: BusyGuard,
) -> Response<EdgeBody> {
    let state = &context.state;
    if request.uri().path() == READY_PATH {
        return readiness_response(state);
    }
    let number = state.next_number();
    // Targets get an id of the daemon, as they use it to resume replies and to cancel requests, and
    // two callers may send the same id.
    let own_id = format!("{}-{:x}-{number:x}", state.settings.name, state.incarnation);
    let caller_id = caller_request_id(request.headers()).unwrap_or(&own_id).to_owned();
    let (parts, body) = request.into_parts();
    let started = tokio::select! {
        biased;
        started = start_request(context, number, [&own_id, &caller_id], &parts, body) => started,
        () = context.handle.wait_for_cut() => {
            let detail = "the daemon ends before the request has a response";
            Err(Refusal::unknown(502, DRAINING_CAUSE, detail))
        }
    };
    match started {
        Ok(response) => {
            let response = response.map(|body| match body {
                Some(body) => EdgeBody::Streamed(body, busy_guard),
                None => EdgeBody::Full(None),
            });
            close_if_draining(state, response)
        }
        Err(refusal) => {
            let refusal = adjust_verdict(&parts, refusal);
            close_if_draining(state, refuse(state, &caller_id, &parts, &refusal))
        }
    }
}

/// Sets the verdict of a request refused before its claim. An earlier request with the same
/// idempotency key may have run, which only the key's claim holders know, so the verdict becomes
/// `unknown` unless the request is invalid in itself.
fn adjust_verdict(parts: &Parts, refusal: Refusal) -> Refusal {
    let is_keyed = parts.headers.contains_key(headers::IDEMPOTENCY_KEY);
    // A retry of a request that ran would pass these checks.
    let is_bad_input = matches!(refusal.status, 401 | 404 | 413)
        || matches!(refusal.cause, "malformed-key" | "missing-key");
    match is_keyed && !is_bad_input {
        true => Refusal { verdict: RunVerdict::Unknown, ..refusal },
        false => refusal,
    }
}

async fn start_request(
    context: &EdgeContext,
    number: u64,
    [own_id, caller_id]: [&str; 2],
    parts: &Parts,
    body: Incoming,
) -> Result<Response<Option<ResponseBody>>, Refusal> {
    let state = &context.state;
    let config =
        state.active_config().filter(|_| state.bootstrapped.get().is_some()).ok_or_else(|| {
            Refusal::not_run(503, "not-ready", "no configuration is in force").retry_after(1_000)
        })?;
    // Checked before the body is read, so that unauthenticated requests cost little.
    find_customer(&config, &parts.headers)?;
    let limit = state.settings.limits.max_body_bytes;
    let body = Limited::new(body, limit).collect().await.map_err(|e| {
        match e.downcast_ref::<LengthLimitError>() {
            Some(_) => Refusal::from(RequestError::TooLarge { limit }),
            None => Refusal::not_run(400, "cut-request", "the request's body ended early"),
        }
    })?;
    let job = prepare_job(state, &config, number, own_id, caller_id, parts, body.to_bytes())?;
    // A one-time action must not be cut; other requests can be repeated.
    if job.key.is_some() && state.drain.ends_before(job.deadline) {
        let detail = "the daemon ends before the request's deadline";
        return Err(Refusal::not_run(503, DRAINING_CAUSE, detail).retry_after(DRAINING_RETRY_MS));
    }
    let (sink, head, body) = response_channel(context.cancels.clone());
    if !context.spawner.submit(job, sink) {
        let detail = "the daemon serves as many requests as it may";
        return Err(Refusal::not_run(503, "too-many-requests", detail).retry_after(1_000));
    }
    let head = head.await.map_err(|_| {
        Refusal::unknown(500, INTERNAL_CAUSE, "the request's task ended without an answer")
    })?;
    let mut response = Response::new(match parts.method {
        Method::HEAD => None,
        _ => Some(body),
    });
    *response.status_mut() = status_of(head.status);
    *response.headers_mut() = head.headers;
    Ok(response)
}

fn status_of(code: u16) -> http::StatusCode {
    http::StatusCode::from_u16(code).unwrap_or(http::StatusCode::BAD_GATEWAY)
}

fn refuse(
    state: &SharedState,
    caller_id: &str,
    parts: &Parts,
    refusal: &Refusal,
) -> Response<EdgeBody> {
    if refusal.cause != INTERNAL_CAUSE {
        log::info!(
            "event=refuse caller_id={} method={} path={} status={} cause={} verdict={} detail={}",
            quoted(caller_id),
            parts.method,
            quoted(parts.uri.path()),
            refusal.status,
            refusal.cause,
            refusal.verdict,
            quoted(&refusal.detail),
        );
    }
    state.metrics.record_refusal("-", refusal.cause);
    let mut response =
        full_response(refusal.status, "application/json", refusal.to_json(caller_id));
    let head = response.headers_mut();
    set_header(head, headers::REQUEST_ID, caller_id);
    set_header(head, headers::RUN_VERDICT, refusal.verdict.as_str());
    if let Some(seconds) = refusal.retry_after_seconds() {
        set_header(head, "retry-after", &seconds.to_string());
    }
    response
}

fn readiness_response(state: &SharedState) -> Response<EdgeBody> {
    let is_ready = state.is_ready() && state.bootstrapped.get().is_some();
    let (status, text) = if is_ready { (200, "ready\n") } else { (503, "not ready\n") };
    close_if_draining(state, full_response(status, "text/plain", text.to_owned()))
}

fn full_response(status: u16, content_type: &'static str, text: String) -> Response<EdgeBody> {
    let mut head = HeaderMap::new();
    set_header(&mut head, "content-type", content_type);
    set_header(&mut head, "content-length", &text.len().to_string());
    let mut response = Response::new(EdgeBody::Full(Some(text.into())));
    *response.status_mut() = status_of(status);
    *response.headers_mut() = head;
    response
}

/// Adds `connection: close` while the daemon drains, so that the caller reconnects to another one.
fn close_if_draining(state: &SharedState, mut response: Response<EdgeBody>) -> Response<EdgeBody> {
    if state.drain.is_draining() {
        set_header(response.headers_mut(), "connection", "close");
    }
    response
}
