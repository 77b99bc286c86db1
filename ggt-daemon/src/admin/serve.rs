//! HTTP server of the admin API.
//!
//! Uses `hyper`: `astra` 0.4.0 left a quarter of single requests unanswered, as it registers a
//! connection for events before it can handle them (`docs/design/edge.md`).

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel::Sender;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::header::HeaderValue;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use serde::Serialize;
use serde_json::json;
use tokio::net::TcpListener;

use crate::admin::build_report;
use crate::admin::explain::explain;
use crate::state::SharedState;

/// Maximum time for receiving the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const JSON_TYPE: &str = "application/json";
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Serves the admin API on `listener` until the runtime shuts down.
///
/// `POST /drain` sends a message to `drain_requests`.
pub async fn serve_admin(
    state: Arc<SharedState>,
    listener: TcpListener,
    drain_requests: Sender<()>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let (state, drain_requests) = (state.clone(), drain_requests.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let response = handle_request(&state, &drain_requests, &request);
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

fn handle_request(
    state: &SharedState,
    drain_requests: &Sender<()>,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let value = request.headers().get(header::AUTHORIZATION).and_then(|x| x.to_str().ok());
    let key = value.and_then(|text| text.strip_prefix("Bearer "));
    if !key.is_some_and(|key| is_same_key(key, &state.settings.admin_key)) {
        return error_response(401, "the operators' key is missing or wrong");
    }
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/status") => json_response(200, &build_report(state)),
        (&Method::GET, "/metrics") => text_response(200, METRICS_TYPE, state.metrics.render()),
        (&Method::GET, "/explain") => handle_explain(state, request),
        (&Method::POST, "/drain") => {
            log::info!("event=drain cause=operator");
            // A full channel means that a drain was already requested.
            let _ = drain_requests.try_send(());
            json_response(202, &json!({ "draining": true }))
        }
        _ => error_response(
            404,
            "no such call; there are /status, /metrics, /explain and POST /drain",
        ),
    }
}

/// Compares digests, so that the timing reveals nothing about the key.
fn is_same_key(given: &str, expected: &str) -> bool {
    ggt_wire::auth::key_digest(given) == ggt_wire::auth::key_digest(expected)
}

fn handle_explain(state: &SharedState, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let query = request.uri().query().unwrap_or_default();
    let value = |name: &str| {
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| decode_percent(value))
    };
    let (Some(customer), Some(path)) = (value("customer"), value("path")) else {
        return error_response(400, "customer and path are needed; method and chat may be given");
    };
    let method = value("method").unwrap_or_else(|| "POST".to_owned());
    let chat = value("chat").unwrap_or_default();
    match explain(state, &customer, &method, &path, &chat) {
        Ok(report) => json_response(200, &report),
        Err(e) => error_response(404, &e.to_string()),
    }
}

/// Decodes `%XX` in a query value; malformed escapes are kept unchanged.
fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, after)) = rest.split_first() {
        let code = (first == b'%').then(|| after.get(..2)).flatten();
        let byte = code
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        bytes.push(byte.unwrap_or(first));
        rest = if byte.is_some() { &after[2..] } else { after };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn json_response<T>(status: u16, body: &T) -> Response<Full<Bytes>>
where
    T: Serialize,
{
    match serde_json::to_string(body) {
        Ok(text) => text_response(status, JSON_TYPE, text),
        Err(e) => error_response(500, &e.to_string()),
    }
}

fn error_response(status: u16, detail: &str) -> Response<Full<Bytes>> {
    text_response(status, JSON_TYPE, json!({ "error": detail }).to_string())
}

fn text_response(status: u16, content_type: &'static str, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
