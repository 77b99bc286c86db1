//! Loops that have to run for as long as the process does.

use std::future::Future;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::logging::quoted;

/// Pause before a loop that has failed runs again.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Runs a loop on the current `LocalSet`, and again if it panics or ends, so that one input on which it fails does
/// not stop it for good.
pub fn spawn_loop<L, F>(name: &'static str, make_loop: L)
where
    L: Fn() -> F + 'static,
    F: Future<Output = ()> + 'static,
{
    spawn_local(async move {
        loop {
            let ended = spawn_local(make_loop()).await;
            let cause = ended.err().map_or("ended".to_owned(), |e| e.to_string());
            log::error!("event=failed task={name} cause={} outcome=restarted", quoted(&cause));
            sleep(RESTART_DELAY).await;
        }
    });
}
