//! HTTP server for readiness checks, metrics and requests of other daemons.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use crate::edge::EdgeHandle;
use crate::edge::accept_connections;
use crate::front::peers::PeerReply;
use crate::front::peers::peer_reply;
use crate::front::state::FrontState;
use ggt_platform::READY_PATH;

/// Path of the metrics in Prometheus text format.
const METRICS_PATH: &str = "/metrics";

/// Serves internal requests on one listener until the task is dropped.
pub async fn serve_internal(state: Rc<FrontState>, listener: TcpListener) {
    let serve = |stream, _| {
        spawn_local(serve_connection(state.clone(), stream));
    };
    accept_connections(&EdgeHandle::default(), listener, serve).await;
}

async fn serve_connection(state: Rc<FrontState>, stream: TcpStream) {
    let service = service_fn(|request| {
        let response = respond(&state, &request).map(Full::new);
        async move { Ok::<_, Infallible>(response) }
    });
    if let Err(e) = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await {
        log::debug!("event=question cause=\"{e}\"");
    }
}

/// Response to a readiness check, a request for the metrics or a peer's own request.
pub fn respond(state: &FrontState, request: &Request<Incoming>) -> Response<Bytes> {
    let path = request.uri().path();
    let (status, body) = match path {
        READY_PATH if state.is_ready() => (StatusCode::OK, Bytes::from_static(b"ready\n")),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"not ready\n")),
        METRICS_PATH => (StatusCode::OK, state.metrics.text().into()),
        _ => match peer_reply(state, path) {
            PeerReply::Body(body) => (StatusCode::OK, body),
            PeerReply::Busy => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
            PeerReply::Unknown => (StatusCode::NOT_FOUND, Bytes::new()),
        },
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}
