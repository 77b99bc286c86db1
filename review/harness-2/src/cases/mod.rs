//! The cases by name.

mod lost_history;
mod many_bodies;
mod same_id;
mod short_error;
mod taken_up;

use std::sync::Arc;

use crate::CaseOptions;
use crate::Verdict;
use crate::record::Record;

/// Runs a case; `None` if there is none of this name.
pub fn run(name: &str, options: &CaseOptions, record: &Arc<Record>) -> Option<Verdict> {
    let case = match name {
        "lost-history" => lost_history::run,
        "many-bodies" => many_bodies::run,
        "taken-up" => taken_up::run,
        "same-id" => same_id::run,
        "short-error" => short_error::run,
        _ => return None,
    };
    Some(case(options, record))
}
