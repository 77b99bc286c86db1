//! Measurements with real processes.

mod availability;
mod capacity;
mod design;
mod usage;

pub use availability::AvailabilityOutcome;
pub use availability::measure_availability;
pub use capacity::CapacityOptions;
pub use capacity::CapacityOutcome;
pub use capacity::measure_capacity;
