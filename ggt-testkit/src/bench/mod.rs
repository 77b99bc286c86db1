//! Benchmarks of real processes on this machine.

mod availability;
mod capacity;
mod changes;
mod endless;
mod latency;
mod reference_config;
mod state;
mod usage;

pub use availability::AvailabilityOutcome;
pub use availability::measure_availability;
pub use capacity::CapacityOptions;
pub use capacity::CapacityOutcome;
pub use capacity::measure_capacity;
pub use changes::ChangeOutcome;
pub use changes::StoreFault;
pub use changes::measure_changes;
pub use endless::EndlessOptions;
pub use endless::EndlessOutcome;
pub use endless::measure_endless;
pub use latency::LatencyOutcome;
pub use latency::measure_latency;
pub use state::StateOutcome;
pub use state::measure_state;
pub use usage::allocated_bytes_of;
