//! Cases of an independent review: each starts the daemon as `deploy/system.toml` says, with stand-ins for clients,
//! servers and the platform, and checks one rule by what these have seen.
//!
//! Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.

#![forbid(unsafe_code)]

mod cases;
mod client;
mod engine;
mod fleet;
mod record;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use crate::record::Record;

/// Exit code of a case that could not run.
const EXIT_NOT_RUN: u8 = 2;

/// How a case ended.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// What a case is started with.
pub struct CaseOptions {
    /// Whether the disruption happens.
    pub has_trouble: bool,
    /// Variant of the case; empty for the usual one.
    pub variant: String,
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (args.next(), args.next().map(PathBuf::from)) else {
        eprintln!("usage: review-case NAME FOLDER");
        return ExitCode::from(EXIT_NOT_RUN);
    };
    let options = CaseOptions {
        has_trouble: std::env::var("TROUBLE").map_or(true, |text| text != "0"),
        variant: std::env::var("VARIANT").unwrap_or_default(),
    };
    // A panic means that something could not be started, so that nothing was shown.
    let run = std::panic::catch_unwind(|| {
        let record = Arc::new(Record::create(&folder.join("record.txt")));
        cases::run(&name, &options, &record)
    });
    match run {
        Ok(Some(Verdict::Held)) => ExitCode::SUCCESS,
        Ok(Some(Verdict::Broken)) => ExitCode::from(1),
        Ok(None) | Err(_) => ExitCode::from(EXIT_NOT_RUN),
    }
}
