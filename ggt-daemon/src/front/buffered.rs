//! Requests whose reply is buffered and forwarded once it is complete.

use std::rc::Rc;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use tokio::time::timeout;

use crate::clock::time_until;
use crate::front::attempt::FailureKind;
use crate::front::attempt::ReplyFailure;
use crate::front::attempt::TargetReply;
use crate::front::attempt::UpstreamAttempts;
use crate::front::buffers::ReadError;
use crate::front::buffers::read_body;
use crate::front::job::FrontJob;
use crate::front::job::JobGuard;
use crate::front::response::FrontRefusal;
use crate::front::response::ResponseBody;
use crate::front::response::forwarded_response;
use crate::front::state::FrontState;
use ggt_core::targets::SendOutcome;

/// Serves a request whose reply is buffered and forwarded once it is complete.
pub async fn serve_buffered(
    state: &Rc<FrontState>,
    job: Rc<FrontJob>,
    guard: &JobGuard,
) -> Response<ResponseBody> {
    let mut attempts = UpstreamAttempts::new(state.clone(), job.clone());
    // Error reply of a target, forwarded if no other target succeeds.
    let mut error_reply = None;
    loop {
        let reply = match attempts.next_reply(None).await {
            Ok(reply) => reply,
            Err(refusal) => return final_response(&job, error_reply, refusal, guard),
        };
        let (key, status, is_framed) = (reply.key(), reply.status, reply.headers.is_framed);
        let is_forwarded = reply.peer.is_some();
        let mut complete = read_complete(state, &job, reply).await;
        if complete.is_ok() && !is_framed && !attempts.has_outlived_reply().await {
            complete = Err(ReplyFailure::new(FailureKind::Reset, "target ended with its reply"));
        }
        match complete {
            Ok((raw_headers, body)) if is_retryable(&job, status) && attempts.try_next_send() => {
                error_reply = Some(ErrorReply { status, raw_headers, body });
                continue;
            }
            Ok((raw_headers, body)) => {
                if is_framed && !is_forwarded && !status.is_server_error() {
                    state.record_completion(&job, status);
                }
                guard.end("answered", status.as_u16(), "whole");
                return forwarded_response(
                    status,
                    &raw_headers,
                    ResponseBody::Complete(Some(body)),
                );
            }
            Err(failure) => attempts.record_interruption(key, &failure).await,
        }
        if !attempts.try_next_send() {
            return final_response(&job, error_reply, attempts.send_failure_refusal(), guard);
        }
    }
}

/// Error reply (5xx) of a target.
struct ErrorReply {
    status: StatusCode,
    raw_headers: HeaderMap,
    body: Bytes,
}

/// Final response when no target succeeded: the last target's error reply if there is one,
/// otherwise the daemon's own refusal.
fn final_response(
    job: &FrontJob,
    error_reply: Option<ErrorReply>,
    refusal: FrontRefusal,
    guard: &JobGuard,
) -> Response<ResponseBody> {
    match error_reply {
        Some(ErrorReply { status, raw_headers, body }) => {
            guard.end("answered", status.as_u16(), refusal.cause);
            forwarded_response(status, &raw_headers, ResponseBody::Complete(Some(body)))
        }
        None => {
            guard.end("refused", refusal.status.as_u16(), refusal.cause);
            refusal.into_response(Some(&job.id))
        }
    }
}

fn is_retryable(job: &FrontJob, status: StatusCode) -> bool {
    status.is_server_error() && job.route.is_idempotent
}

/// Reads a reply to its end and keeps its connection for reuse if the target allows it.
async fn read_complete(
    state: &FrontState,
    job: &FrontJob,
    reply: TargetReply,
) -> Result<(HeaderMap, Bytes), ReplyFailure> {
    let key = reply.key();
    let TargetReply { peer, status, raw_headers, headers, body, connection, guard, .. } = reply;
    let body = timeout(time_until(job.deadline), read_body(&state.buffers, body)).await;
    let body = body.unwrap_or(Err(ReadError::Deadline));
    let body = body.map_err(|e| e.into_failure().with_bytes(connection.received_bytes()))?;
    let outcome = if status.is_server_error() { SendOutcome::Bad } else { SendOutcome::Good };
    state.record_outcome(key, outcome);
    if !headers.closes_connection && job.route.is_idempotent {
        state.keep_connection(key, peer, connection, headers.keep_alive_seconds);
    }
    drop(guard);
    Ok((raw_headers, body))
}
