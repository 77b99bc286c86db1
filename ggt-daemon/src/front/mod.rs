//! The data plane that serves the users' platform: one task for each request, on one thread.
//!
//! A request's task watches at once its caller, its target's reply, its deadline and the order to
//! stop. All names of the platform are decoded by `ggt-platform`; what is decided here and in
//! `ggt-core` uses the product's own.

mod answer;
mod attempt;
mod call;
mod callers;
mod intake;
mod job;
mod metrics;
mod pack;
mod peers;
mod plain;
mod ready;
mod run;
mod settings;
mod state;
mod store;
mod stream;
mod warmup;

pub use run::FrontError;
pub use run::run_front;
pub use settings::FrontSettings;
pub use settings::RetrySettings;
pub use settings::is_front_settings;
pub use settings::parse_front_settings;
pub use store::LONGEST_SILENCE_MS;
