//! Requests whose reply is buffered and forwarded whole.

use std::rc::Rc;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use tokio::time::timeout;

use crate::clock::mono_now;
use crate::clock::until;
use crate::front::answer::AnswerBody;
use crate::front::answer::FrontRefusal;
use crate::front::answer::passed_on;
use crate::front::attempt::AttemptRun;
use crate::front::attempt::LossKind;
use crate::front::attempt::TargetReply;
use crate::front::job::FrontJob;
use crate::front::job::JobGuard;
use crate::front::state::FrontState;
use ggt_core::targets::SendOutcome;

/// Largest reply body in bytes that is buffered.
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// Serves a request whose reply is buffered and forwarded whole.
pub async fn run_plain(
    state: &Rc<FrontState>,
    job: Rc<FrontJob>,
    guard: &JobGuard,
) -> Response<AnswerBody> {
    let mut run = AttemptRun::new(state.clone(), job.clone());
    // Error response of a target, forwarded if no other target succeeds.
    let mut failure = None;
    loop {
        let reply = match run.next_reply(None).await {
            Ok(reply) => reply,
            Err(refusal) => return give_up(&job, failure, refusal, guard),
        };
        let key = reply.key;
        let status = reply.status;
        match read_whole(state, &job, reply).await {
            Ok((head, body)) if may_repeat(&job, status) && run.may_go_on() => {
                failure = Some(TargetFailure { status, head, body });
                continue;
            }
            Ok((head, body)) => {
                if status.is_success() {
                    state.blame.borrow_mut().clear(job.print());
                }
                guard.end("answered", status.as_u16(), "whole");
                return passed_on(status, &head, AnswerBody::Whole(Some(body)));
            }
            Err(cause) => run.note_broken(key, &cause, LossKind::Reset).await,
        }
        if !run.may_go_on() {
            return give_up(&job, failure, run.lost(), guard);
        }
    }
}

/// Error response (5xx) of a target.
struct TargetFailure {
    status: StatusCode,
    head: HeaderMap,
    body: Bytes,
}

/// Final response when no target succeeded: the last target's error response if there is one,
/// otherwise the daemon's own refusal.
fn give_up(
    job: &FrontJob,
    failure: Option<TargetFailure>,
    refusal: FrontRefusal,
    guard: &JobGuard,
) -> Response<AnswerBody> {
    match failure {
        Some(TargetFailure { status, head, body }) => {
            guard.end("answered", status.as_u16(), refusal.cause);
            passed_on(status, &head, AnswerBody::Whole(Some(body)))
        }
        None => {
            guard.end("refused", refusal.status.as_u16(), refusal.cause);
            refusal.into_response(Some(&job.id))
        }
    }
}

fn may_repeat(job: &FrontJob, status: StatusCode) -> bool {
    status.is_server_error() && job.route.is_idempotent
}

/// Reads a reply to its end and keeps its connection for reuse if the target allows it.
async fn read_whole(
    state: &FrontState,
    job: &FrontJob,
    reply: TargetReply,
) -> Result<(HeaderMap, Bytes), String> {
    let TargetReply { key, status, head, headers, body, channel, guard } = reply;
    let body = timeout(until(job.deadline), Limited::new(body, MAX_REPLY_BYTES).collect()).await;
    let body = match body {
        Err(_) => return Err("deadline".to_owned()),
        Ok(Err(e)) => return Err(e.to_string()),
        Ok(Ok(body)) => body.to_bytes(),
    };
    let outcome = if status.is_server_error() { SendOutcome::Bad } else { SendOutcome::Good };
    state.pool.borrow_mut().note_outcome(key, outcome, mono_now());
    if !headers.closes && job.route.is_idempotent {
        state.channels.keep(key, channel, headers.keep_alive_seconds);
    }
    drop(guard);
    Ok((head, body))
}
