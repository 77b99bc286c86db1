//! Requests with one whole reply.

use std::rc::Rc;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Limited;
use tokio::time::timeout;

use crate::clock::mono_now;
use crate::clock::until;
use crate::front::answer::AnswerBody;
use crate::front::answer::passed_on;
use crate::front::attempt::AttemptRun;
use crate::front::attempt::TargetReply;
use crate::front::job::FrontJob;
use crate::front::job::JobGuard;
use crate::front::state::FrontState;
use ggt_core::targets::SendOutcome;

/// Largest reply in bytes that is held before it is passed on.
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// Serves a request whose reply is passed on when it is whole.
pub async fn run_plain(
    state: &Rc<FrontState>,
    job: Rc<FrontJob>,
    guard: &JobGuard,
) -> Response<AnswerBody> {
    let mut run = AttemptRun::new(state.clone(), job.clone());
    loop {
        let reply = match run.next_reply(None).await {
            Ok(reply) => reply,
            Err(refusal) => {
                guard.end("refused", refusal.status.as_u16(), refusal.cause);
                return refusal.into_response(Some(&job.id));
            }
        };
        let key = reply.key;
        let status = reply.status;
        match read_whole(state, &job, reply).await {
            Ok((_, _)) if status.is_server_error() && may_repeat(&job) && run.may_go_on() => {
                continue;
            }
            Ok((head, body)) => {
                if status.is_success() {
                    state.blame.borrow_mut().clear(job.print());
                }
                guard.end("answered", status.as_u16(), "whole");
                return passed_on(status, &head, AnswerBody::Whole(Some(body)));
            }
            Err(cause) => run.note_broken(key, &cause, true).await,
        }
        if !run.may_go_on() {
            let refusal = run.lost();
            guard.end("failed", refusal.status.as_u16(), refusal.cause);
            return refusal.into_response(Some(&job.id));
        }
    }
}

fn may_repeat(job: &FrontJob) -> bool {
    job.route.is_idempotent
}

/// Reads a reply to its end and keeps its connection.
async fn read_whole(
    state: &FrontState,
    job: &FrontJob,
    reply: TargetReply,
) -> Result<(http::HeaderMap, Bytes), String> {
    let TargetReply { key, status, head, facts, body, channel, guard } = reply;
    let body = timeout(until(job.deadline), Limited::new(body, MAX_REPLY_BYTES).collect()).await;
    let body = match body {
        Err(_) => return Err("deadline".to_owned()),
        Ok(Err(e)) => return Err(e.to_string()),
        Ok(Ok(body)) => body.to_bytes(),
    };
    let outcome = if status.is_server_error() { SendOutcome::Bad } else { SendOutcome::Good };
    state.pool.borrow_mut().note_outcome(key, outcome, mono_now());
    if !facts.closes && job.route.is_idempotent {
        state.channels.keep(key, channel, facts.keep_alive_seconds);
    }
    drop(guard);
    Ok((head, body))
}
