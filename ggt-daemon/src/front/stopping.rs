//! Requests at a daemon that shuts down: which ones it still takes, and how those end that outlast it.

use std::rc::Rc;

use http::Response;
use http::StatusCode;

use crate::front::buffered::serve_buffered;
use crate::front::job::FrontJob;
use crate::front::job::JobGuard;
use crate::front::response::FrontRefusal;
use crate::front::response::ResponseBody;
use crate::front::state::FrontState;
use crate::front::stream::serve_stream;
use ggt_core::clock::MonoTime;

/// `retry-after` in milliseconds of a daemon that drains.
const DRAINING_RETRY_MS: u64 = 200;
/// Cause in logs and responses of what a shutdown refuses or ends.
pub const DRAINING_CAUSE: &str = "draining";

impl FrontState {
    /// Starts the shutdown: the daemon reports that it is not ready, and responses close their connections.
    /// Requests that are still in flight at `ends_at` are ended.
    pub fn start_draining(&self, ends_at: MonoTime) {
        self.drain_ends_at.set(Some(ends_at));
    }

    /// Whether the daemon is shutting down.
    pub fn is_draining(&self) -> bool {
        self.drain_ends_at.get().is_some()
    }

    /// Refusal of any request while the daemon drains.
    pub fn draining_refusal(&self) -> Option<FrontRefusal> {
        self.is_draining().then(|| FrontRefusal::not_run(DRAINING_CAUSE, DRAINING_RETRY_MS))
    }

    /// Refusal of a request whose deadline lies after the end of the shutdown, if it can run only once, or
    /// callers have had the time to notice the shutdown. Callers may repeat the others if they are cut.
    fn refuse_outlasting(&self, job: &FrontJob) -> Option<FrontRefusal> {
        let ends_at = self.drain_ends_at.get()?;
        let is_one_time = !job.route.is_idempotent && !job.route.is_stream;
        let is_refused = job.deadline > ends_at && (is_one_time || self.edge.is_ending());
        if is_refused { self.draining_refusal() } else { None }
    }
}

/// Serves a request, or refuses it if it would outlast the shutdown. One that is still in flight when the
/// daemon ends gets a final response that says whether it may have run.
pub async fn serve_job(
    state: &Rc<FrontState>,
    job: Rc<FrontJob>,
    guard: JobGuard,
) -> Response<ResponseBody> {
    let guard = Rc::new(guard);
    let refusal = match state.refuse_outlasting(&job) {
        Some(refusal) => refusal,
        None => tokio::select! {
            biased;
            response = serve_to_end(state, &job, &guard) => return response,
            () = state.edge.wait_for_cut() => cut_refusal(&job),
        },
    };
    guard.end("refused", refusal.status.as_u16(), refusal.cause);
    refusal.into_response(Some(&job.id))
}

async fn serve_to_end(
    state: &Rc<FrontState>,
    job: &Rc<FrontJob>,
    guard: &Rc<JobGuard>,
) -> Response<ResponseBody> {
    match job.route.is_stream {
        true => serve_stream(state, job.clone(), guard.clone()).await,
        false => serve_buffered(state, job.clone(), guard).await,
    }
}

fn cut_refusal(job: &FrontJob) -> FrontRefusal {
    match job.may_have_been_sent() {
        true => FrontRefusal::new(StatusCode::BAD_GATEWAY, DRAINING_CAUSE),
        false => FrontRefusal::not_run(DRAINING_CAUSE, DRAINING_RETRY_MS),
    }
}
