//! Front end for the users' platform: a reverse proxy with one task per request, on one thread.
//!
//! A request's task waits at the same time for the caller's disconnect, the target's reply, the
//! deadline and the shutdown signal. `ggt-platform` decodes the platform's names and formats; this
//! module and `ggt-core` use the project's own types.

mod attempt;
mod bodies;
mod buffered;
mod buffers;
mod cache_lists;
mod call;
mod callers;
mod changes;
mod cold_starts;
mod connections;
mod crashes;
mod digests;
mod evacuations;
mod forward;
mod fragile;
mod health;
mod internal;
mod job;
mod leaving;
mod lifetimes;
mod loads;
mod metrics;
mod origins;
mod pack;
mod peers;
mod prepare;
mod rates;
mod reach;
mod regions;
mod replacements;
mod response;
mod retries;
mod run;
mod settings;
mod settings_change;
mod state;
mod stopping;
mod store;
mod stream;
mod warmup;
mod work_times;

pub use run::FrontError;
pub use run::run_front;
pub use settings::FrontSettings;
pub use settings::RetrySettings;
pub use settings::is_front_settings;
pub use settings::parse_front_settings;
pub use settings_change::SettingsChange;
pub use settings_change::settings_digest;
