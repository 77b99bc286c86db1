//! Spawns one task per request.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use crate::dispatch::EndGuard;
use crate::dispatch::RequestContext;
use crate::dispatch::RequestJob;
use crate::dispatch::ResponseSink;
use crate::dispatch::idempotent::serve_idempotent;
use crate::dispatch::non_idempotent::serve_non_idempotent;
use crate::peers::PeerLinks;
use crate::state::SharedState;

/// Spawns one task per request, up to a maximum number of concurrent requests.
pub struct RequestSpawner {
    context: RequestContext,
    running: Arc<AtomicUsize>,
    max_concurrent: usize,
}

impl RequestSpawner {
    /// Creates a spawner that serves at most `max_concurrent` requests at once.
    pub fn new(state: Arc<SharedState>, links: Arc<PeerLinks>, max_concurrent: usize) -> Self {
        Self { context: RequestContext { state, links }, running: Arc::default(), max_concurrent }
    }

    /// Serves a request in a new task; `false` if the maximum is reached.
    ///
    /// The task continues when its caller disconnects, so that the claim of a non-idempotent
    /// request is settled.
    pub fn submit(&self, job: RequestJob, sink: ResponseSink) -> bool {
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.max_concurrent {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return false;
        }
        let permit = ConcurrencyPermit(self.running.clone());
        let context = self.context.clone();
        tokio::spawn(async move {
            serve_job(&context, job, sink).await;
            drop(permit);
        });
        true
    }
}

/// One unit of `max_concurrent`; released on drop, also when the task panics.
struct ConcurrencyPermit(Arc<AtomicUsize>);

impl Drop for ConcurrencyPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Serves one request; returns when its response and, where needed, its claim are finished.
pub async fn serve_job(context: &RequestContext, job: RequestJob, sink: ResponseSink) {
    let state = context.state.clone();
    let _end_guard = EndGuard::new(&job.request_id, &job.end);
    let _in_flight_guard = state.drain.register(job.number, &job.request_id);
    match job.key.clone() {
        Some(key) => serve_non_idempotent(context, &job, &key, sink).await,
        None => serve_idempotent(context, &job, sink).await,
    }
}
