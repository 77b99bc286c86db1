//! Whether a caller's connection has a request in progress.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Counts the requests in progress on one connection.
#[derive(Clone, Debug, Default)]
pub struct ConnectionActivity {
    requests: Arc<AtomicUsize>,
}

/// Counts a request as in progress until it is dropped, with the end of its response.
#[derive(Debug)]
pub struct BusyGuard(Arc<AtomicUsize>);

impl ConnectionActivity {
    /// Counts a request that has arrived.
    pub fn begin_request(&self) -> BusyGuard {
        self.requests.fetch_add(1, Ordering::SeqCst);
        BusyGuard(self.requests.clone())
    }

    /// Whether a request is in progress.
    pub fn is_busy(&self) -> bool {
        self.requests.load(Ordering::SeqCst) > 0
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
