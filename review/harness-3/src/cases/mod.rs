//! The cases.

mod descriptors;
mod memory;
mod same_id;

use crate::Stage;
use crate::Verdict;

/// The case with this name.
pub fn find(name: &str) -> Option<fn(&Stage) -> Verdict> {
    match name {
        "descriptors" => Some(descriptors::play),
        "memory" => Some(memory::play),
        "same-id" => Some(same_id::play),
        _ => None,
    }
}
