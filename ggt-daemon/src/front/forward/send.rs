//! Sends a request to a peer.

use std::net::SocketAddr;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::sleep;

use crate::clock::time_until;
use crate::dispatch::is_hop_by_hop;
use crate::front::job::FrontJob;
use crate::front::response::FrontRefusal;
use crate::front::response::known_cause;
use crate::front::state::CONNECT_TIMEOUT;
use crate::front::state::FrontState;
use crate::upstream::SendFailure;
use crate::upstream::TargetConnection;
use ggt_core::versions::SoftwareVersion;
use ggt_wire::forward::ForwardedReply;
use ggt_wire::forward::ForwardedRequest;
use ggt_wire::forward::REPLY_HEADER;
use ggt_wire::forward::REQUEST_HEADER;
use ggt_wire::forward::decode_reply;
use ggt_wire::forward::encode_request;

/// Milliseconds past the deadline for which a peer's own response is awaited.
const REPLY_GRACE_MS: u64 = 60;
/// Causes of refusals that say nothing about other peers.
const PASSING_CAUSES: [&str; 4] = ["draining", "no-configuration", "no-service", "no-target"];

/// What became of a request that was offered to a peer.
pub enum PeerOutcome {
    /// The head of a target's reply has arrived.
    Served {
        response: Response<Incoming>,
        connection: TargetConnection,
        /// Version of the target, if it has sent events of a stream.
        version: Option<SoftwareVersion>,
    },
    /// The peer has not run the request, and another one may take it.
    NotTaken { cause: String },
    /// The peer refuses the request, which the caller is told.
    Refused(FrontRefusal),
    /// The request may have run, and there is no reply.
    Lost { cause: String },
    /// The deadline passed; the request may have run.
    Deadline,
}

/// Offers a request to a peer and waits for the head of its response.
pub async fn send_to_peer(
    state: &FrontState,
    peer: SocketAddr,
    job: &FrontJob,
    forwarded: &ForwardedRequest,
) -> PeerOutcome {
    let request = match build_request(job, forwarded) {
        Ok(request) => request,
        Err(cause) => return PeerOutcome::NotTaken { cause },
    };
    // As with targets, only requests that may run twice use a connection again.
    let kept = job.route.is_idempotent.then(|| state.peer_connections.take(peer)).flatten();
    let mut connection = match kept {
        Some(connection) => connection,
        None => match TargetConnection::open(peer, CONNECT_TIMEOUT).await {
            Ok(connection) => connection,
            Err(e) => {
                state.hold_peer(peer);
                return PeerOutcome::NotTaken { cause: e.to_string() };
            }
        },
    };
    let sent = tokio::select! {
        biased;
        sent = connection.send(request, job.deadline) => sent,
        () = sleep(time_until(job.deadline + REPLY_GRACE_MS)) => return PeerOutcome::Deadline,
    };
    match sent {
        Ok(response) => judge_response(response, connection),
        Err(SendFailure::NotSent { cause }) => PeerOutcome::NotTaken { cause },
        Err(
            SendFailure::Lost { cause }
            | SendFailure::TooLong { cause }
            | SendFailure::Invalid { cause },
        ) => PeerOutcome::Lost { cause },
    }
}

/// The caller's request as it is, without headers that concern the caller's connection, and with what
/// this daemon knows of it.
fn build_request(
    job: &FrontJob,
    forwarded: &ForwardedRequest,
) -> Result<Request<Full<Bytes>>, String> {
    let value = encode_request(forwarded).map_err(|e| e.to_string())?;
    let value = HeaderValue::from_str(&value).map_err(|e| e.to_string())?;
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.path.parse().map_err(|_| "malformed path".to_owned())?;
    let kept = job.raw_headers.iter().filter(|(name, _)| {
        !is_hop_by_hop(name) && !["content-length", "expect"].contains(&name.as_str())
    });
    for (name, value) in kept {
        request.headers_mut().append(name.clone(), value.clone());
    }
    request.headers_mut().insert(REQUEST_HEADER, value);
    Ok(request)
}

/// Tells a target's reply from the peer's own refusal, by the peer's header.
fn judge_response(mut response: Response<Incoming>, connection: TargetConnection) -> PeerOutcome {
    let value = response.headers_mut().remove(REPLY_HEADER);
    let reply = value.and_then(|value| decode_reply(value.to_str().ok()?).ok());
    match reply {
        Some(ForwardedReply::Served { version }) => {
            PeerOutcome::Served { response, connection, version }
        }
        Some(ForwardedReply::Refused { cause, retry_after_ms }) => {
            judge_refusal(response.status(), &cause, retry_after_ms)
        }
        // A daemon that does not know forwarded requests has no such path.
        None if response.status() == StatusCode::NOT_FOUND => {
            PeerOutcome::NotTaken { cause: "unknown to the peer".to_owned() }
        }
        None => PeerOutcome::Lost { cause: "response of the peer without its header".to_owned() },
    }
}

fn judge_refusal(status: StatusCode, cause: &str, retry_after_ms: Option<u64>) -> PeerOutcome {
    if status == StatusCode::GATEWAY_TIMEOUT {
        return PeerOutcome::Deadline;
    }
    if status == StatusCode::BAD_GATEWAY {
        return PeerOutcome::Lost { cause: cause.to_owned() };
    }
    if PASSING_CAUSES.contains(&cause) {
        return PeerOutcome::NotTaken { cause: cause.to_owned() };
    }
    PeerOutcome::Refused(FrontRefusal { status, cause: known_cause(cause), retry_after_ms })
}
