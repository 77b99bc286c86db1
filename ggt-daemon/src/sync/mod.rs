//! Keeps the published folders up to date from the platform and from peers.

mod fetch;
mod offer;
mod watch;

pub use fetch::run_fetching;
pub use offer::apply_folder;
pub use watch::run_watching;
