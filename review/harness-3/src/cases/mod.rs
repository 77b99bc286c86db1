//! The cases.

mod crowd;

use crate::Stage;
use crate::Verdict;

/// The case with this name.
pub fn find(name: &str) -> Option<fn(&Stage) -> Verdict> {
    match name {
        "crowd" => Some(crowd::play),
        _ => None,
    }
}
