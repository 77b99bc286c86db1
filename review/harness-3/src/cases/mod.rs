//! The cases.

mod descriptors;
mod memory;
mod one_part;
mod regained;
mod repeated;
mod same_id;

use crate::Stage;
use crate::Verdict;

/// The case with this name.
pub fn find(name: &str) -> Option<fn(&Stage) -> Verdict> {
    match name {
        "descriptors" => Some(descriptors::play),
        "memory" => Some(memory::play),
        "one-part" => Some(one_part::play),
        "regained" => Some(regained::play),
        "repeated" => Some(repeated::play),
        "same-id" => Some(same_id::play),
        _ => None,
    }
}
