//! Name types of the fleet's entities, and hash functions that are the same on all daemons.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// Name of a daemon in the roster.
    DaemonName
}
name_type! {
    /// Name of a target: a model engine or a plain service.
    TargetName
}
name_type! {
    /// Name of a customer.
    CustomerName
}
name_type! {
    /// Name of a workload.
    WorkloadName
}
name_type! {
    /// Name of a data centre.
    CentreName
}

/// Hashes bytes with XXH3. Daemons exchange the results, so they must stay the same in every
/// version.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}

/// Mixes two 64-bit values into one. Daemons exchange the results, so they must stay the same in
/// every version.
pub fn mix_hash(left: u64, right: u64) -> u64 {
    // The finalizer of SplitMix64.
    let mut mixed = left ^ right.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}

/// Short hash of a service's name, as daemons exchange it.
pub fn service_hash(service: &str) -> u32 {
    stable_hash(service.as_bytes()) as u32
}
