//! Cases of the review that are no days: `review-case N FOLDER TROUBLE` plays case N and writes its record there.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. If `TROUBLE` is 0, the
//! case does the same without the disruption.

mod cases;
mod fleet;
mod http;
mod link;
mod record;
mod server;
mod store;

use std::path::Path;
use std::process::ExitCode;

use crate::record::Record;

/// Exit code if the case could not run.
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().skip(1).map(String::as_str).collect();
    match args.as_slice() {
        ["server", address, id, version] => match server::run(address, id, version) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => fail(&e),
        },
        [number, folder, trouble] => play(number, Path::new(folder), *trouble != "0"),
        _ => fail(&"usage: review-case N FOLDER TROUBLE"),
    }
}

fn play(number: &str, folder: &Path, has_trouble: bool) -> ExitCode {
    let record = match Record::create(folder) {
        Ok(record) => record,
        Err(e) => return fail(&e),
    };
    record.add(&format!("case {number}, disruption: {has_trouble}"));
    match cases::run(number, &record, has_trouble) {
        Ok(0) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(faults) => {
            record.say(&format!("the rule was broken: {faults} times"));
            ExitCode::FAILURE
        }
        Err(e) => {
            record.say(&format!("the case could not run: {e}"));
            ExitCode::from(NOT_RUN)
        }
    }
}

fn fail(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("review-case: {error}");
    ExitCode::from(NOT_RUN)
}
