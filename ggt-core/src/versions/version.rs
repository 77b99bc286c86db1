//! Versions of targets' software.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ident::mix_hash;
use crate::ident::stable_hash;

/// Hash of the version of a target's software. Versions have no order; only targets of equal ones may
/// go on with each other's streams.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SoftwareVersion(u64);

impl SoftwareVersion {
    /// The version with this name.
    pub fn named(name: &str) -> Self {
        Self(stable_hash(name.as_bytes()))
    }

    /// The version of a target that names none: equal only to that of the same incarnation.
    pub fn unnamed(target_id: &str, incarnation: u64) -> Self {
        Self(mix_hash(stable_hash(target_id.as_bytes()), !incarnation))
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
