//! Polls conditions until they hold.

use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Bound on every wait; only a hanging test reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `condition` until it returns a value; `what` names it in the error.
///
/// # Panics
/// When it has returned none after 90 seconds.
pub fn wait_for<T, F>(what: &str, mut condition: F) -> T
where
    F: FnMut() -> Option<T>,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting until: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Polls `condition` until it is true; `what` names it in the error.
///
/// # Panics
/// When it is still false after 90 seconds.
pub fn wait_until<F>(what: &str, mut condition: F)
where
    F: FnMut() -> bool,
{
    wait_for(what, || condition().then_some(()));
}
