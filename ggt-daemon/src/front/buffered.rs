//! Requests whose reply is buffered and forwarded once it is complete.

use std::rc::Rc;

use http::Response;
use http::StatusCode;

use crate::front::attempt::UpstreamAttempts;
use crate::front::attempt::WholeReply;
use crate::front::job::FrontJob;
use crate::front::job::JobGuard;
use crate::front::response::FrontRefusal;
use crate::front::response::ResponseBody;
use crate::front::state::FrontState;

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
        let key = reply.key();
        match attempts.read_whole(reply).await {
            Ok(whole) if is_retryable(&job, whole.status) && attempts.try_next_send() => {
                error_reply = Some(whole);
                continue;
            }
            Ok(whole) => {
                guard.end("answered", whole.status.as_u16(), "whole");
                return whole.into_response();
            }
            Err(failure) => attempts.record_interruption(key, &failure).await,
        }
        if !attempts.try_next_send() {
            return final_response(&job, error_reply, attempts.send_failure_refusal(), guard);
        }
    }
}

/// Final response when no target succeeded: the last target's error reply (5xx) if there is one,
/// otherwise the daemon's own refusal.
fn final_response(
    job: &FrontJob,
    error_reply: Option<WholeReply>,
    refusal: FrontRefusal,
    guard: &JobGuard,
) -> Response<ResponseBody> {
    match error_reply {
        Some(whole) => {
            guard.end("answered", whole.status.as_u16(), refusal.cause);
            whole.into_response()
        }
        None => {
            guard.end("refused", refusal.status.as_u16(), refusal.cause);
            refusal.into_response(Some(&job.id))
        }
    }
}

/// Whether a request with this reply may be sent to another target.
pub fn is_retryable(job: &FrontJob, status: StatusCode) -> bool {
    status.is_server_error() && job.route.is_idempotent
}
