//! Spawns one task per request.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use crate::flow::ReplySink;
use crate::flow::RequestJob;
use crate::flow::WorkContext;
use crate::flow::action::run_action;
use crate::flow::repeatable::run_repeatable;
use crate::peers::PeerLinks;
use crate::state::SharedState;

/// Spawns one task per request, up to a maximum number of concurrent requests.
pub struct WorkerPool {
    context: WorkContext,
    open: Arc<AtomicUsize>,
    max_concurrent: usize,
}

impl WorkerPool {
    /// Creates a pool that serves at most `max_concurrent` requests at once.
    pub fn new(state: Arc<SharedState>, links: Arc<PeerLinks>, max_concurrent: usize) -> Self {
        Self { context: WorkContext { state, links }, open: Arc::default(), max_concurrent }
    }

    /// Serves a request in a new task; `false` if the maximum is reached.
    ///
    /// The task continues when its caller disconnects, so that the claim of a non-idempotent
    /// request is settled.
    pub fn submit(&self, job: RequestJob, sink: ReplySink) -> bool {
        if self.open.fetch_add(1, Ordering::SeqCst) >= self.max_concurrent {
            self.open.fetch_sub(1, Ordering::SeqCst);
            return false;
        }
        let place = OpenPlace(self.open.clone());
        let context = self.context.clone();
        tokio::spawn(async move {
            run_job(&context, job, sink).await;
            drop(place);
        });
        true
    }
}

/// One unit of `max_concurrent`; released on drop, also when the task panics.
struct OpenPlace(Arc<AtomicUsize>);

impl Drop for OpenPlace {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Serves one request; returns when its reply and, where needed, its claim are finished.
pub async fn run_job(context: &WorkContext, job: RequestJob, sink: ReplySink) {
    let state = context.state.clone();
    let _flight = state.drain.enter(job.number, &job.request_id);
    match job.key.clone() {
        Some(key) => run_action(context, &job, &key, sink).await,
        None => run_repeatable(context, &job, sink).await,
    }
}
