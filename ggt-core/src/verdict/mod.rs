//! Whether a request ran on a target, which decides after a failure whether it may be retried.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether a request ran on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunVerdict {
    /// The request ran and its reply is known.
    Ran,
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run, may be running or may still run.
    Unknown,
}

impl RunVerdict {
    /// The verdict as written in headers, logs and JSON.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for RunVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
