//! Waits on conditions.

use std::thread;
use std::time::Duration;
use std::time::Instant;

/// After so long a condition is taken to be hopeless; nothing is measured by it.
const HOPELESS_AFTER: Duration = Duration::from_secs(90);
const STEP: Duration = Duration::from_millis(20);

/// Waits until `condition` gives a value.
///
/// # Panics
/// When it still gives none long after it should have.
pub fn wait_for<T, F>(what: &str, mut condition: F) -> T
where
    F: FnMut() -> Option<T>,
{
    let hopeless_at = Instant::now() + HOPELESS_AFTER;
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(Instant::now() < hopeless_at, "never happened: {what}");
        thread::sleep(STEP);
    }
}

/// Waits until `condition` holds.
///
/// # Panics
/// When it still does not hold long after it should have.
pub fn wait_until<F>(what: &str, mut condition: F)
where
    F: FnMut() -> bool,
{
    wait_for(what, || condition().then_some(()));
}
