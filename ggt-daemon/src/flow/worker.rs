//! Threads that serve requests.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::unbounded;
use tokio::runtime::Handle;

use crate::flow::ReplySink;
use crate::flow::RequestJob;
use crate::flow::action::run_action;
use crate::flow::repeatable::run_repeatable;
use crate::peers::PeerLinks;
use crate::state::SharedState;

/// Stack of a serving thread: it blocks on sockets and recurses nowhere.
const STACK_BYTES: usize = 256 * 1024;
/// A serving thread ends after so long without work.
const IDLE_WAIT: Duration = Duration::from_secs(10);

/// One request with the way back to its caller.
type WorkItem = (RequestJob, ReplySink);

/// What a serving thread works with.
pub struct WorkContext {
    /// The daemon's state.
    pub state: Arc<SharedState>,
    /// Links to other daemons.
    pub links: Arc<PeerLinks>,
    /// Runs the calls to other daemons.
    pub runtime: Handle,
}

/// Threads that serve requests, as many as are needed up to a bound.
pub struct WorkerPool {
    context: Arc<WorkContext>,
    sender: Sender<WorkItem>,
    receiver: Receiver<WorkItem>,
    open: Arc<AtomicUsize>,
    idle: Arc<AtomicUsize>,
    max_concurrent: usize,
}

impl WorkerPool {
    /// A pool that serves at most `max_concurrent` requests at once.
    pub fn new(
        state: Arc<SharedState>,
        links: Arc<PeerLinks>,
        runtime: Handle,
        max_concurrent: usize,
    ) -> Self {
        let (sender, receiver) = unbounded();
        let context = Arc::new(WorkContext { state, links, runtime });
        let (open, idle) = Default::default();
        Self { context, sender, receiver, open, idle, max_concurrent }
    }

    /// Serves a request on one of the threads; `false` when all of them are taken.
    pub fn submit(&self, job: RequestJob, sink: ReplySink) -> bool {
        if self.open.fetch_add(1, Ordering::SeqCst) >= self.max_concurrent {
            self.open.fetch_sub(1, Ordering::SeqCst);
            return false;
        }
        let has_idle = self
            .idle
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |idle| idle.checked_sub(1))
            .is_ok();
        if !has_idle && !self.spawn() {
            self.open.fetch_sub(1, Ordering::SeqCst);
            return false;
        }
        self.sender.send((job, sink)).is_ok()
    }

    fn spawn(&self) -> bool {
        let (context, receiver) = (self.context.clone(), self.receiver.clone());
        let (open, idle) = (self.open.clone(), self.idle.clone());
        let builder = thread::Builder::new().name("serve".to_owned()).stack_size(STACK_BYTES);
        builder.spawn(move || serve(&context, &receiver, &open, &idle)).is_ok()
    }
}

/// One of the requests that may be served at once; given back also when its thread panics.
struct OpenPlace<'a>(&'a AtomicUsize);

impl Drop for OpenPlace<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn serve(
    context: &WorkContext,
    receiver: &Receiver<WorkItem>,
    open: &AtomicUsize,
    idle: &AtomicUsize,
) {
    loop {
        let item = receiver.recv_timeout(IDLE_WAIT);
        let Ok((job, sink)) = item else {
            // Ends only if its idle place has not been given to a request that is on its way.
            let is_spare = idle
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |idle| idle.checked_sub(1))
                .is_ok();
            if is_spare {
                return;
            }
            continue;
        };
        let place = OpenPlace(open);
        run_job(context, job, sink);
        drop(place);
        idle.fetch_add(1, Ordering::SeqCst);
    }
}

/// Serves one request to its end.
pub fn run_job(context: &WorkContext, job: RequestJob, sink: ReplySink) {
    let state = context.state.clone();
    let _flight = state.drain.enter(job.number, &job.request_id);
    match job.key.clone() {
        Some(key) => run_action(context, &job, &key, sink),
        None => run_repeatable(context, &job, sink),
    }
}
