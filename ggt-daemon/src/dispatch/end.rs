//! One log line on the end of each request.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Whether the log has the line on the end of a request.
#[derive(Debug, Default)]
pub struct RequestEnd {
    is_logged: AtomicBool,
}

impl RequestEnd {
    /// Records that the line is written.
    pub fn mark_logged(&self) {
        self.is_logged.store(true, Ordering::SeqCst);
    }

    /// Whether the line is written.
    pub fn is_logged(&self) -> bool {
        self.is_logged.load(Ordering::SeqCst)
    }
}

/// Held by a request's task; logs the end of the request if the task panics before it has done so.
/// Tasks that are aborted at the end of a shutdown are named by `event=cut-by-drain`.
#[derive(Debug)]
pub struct EndGuard<'a> {
    request_id: &'a str,
    end: &'a RequestEnd,
}

impl<'a> EndGuard<'a> {
    /// Creates the guard of the request with this id.
    pub fn new(request_id: &'a str, end: &'a RequestEnd) -> Self {
        Self { request_id, end }
    }
}

impl Drop for EndGuard<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() && !self.end.is_logged() {
            log::warn!(
                "event=cut request_id={} target=- bytes=- caller_left=false cause=panic",
                self.request_id,
            );
        }
    }
}
