//! Cases of the third review: `review-cases-3 CASE FOLDER` plays a case and writes `record.txt` into its folder.
//!
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. `TROUBLE=0` in the environment leaves
//! out the disruption.

mod cases;
mod client;
mod crowd;
mod daemon;
mod desk;
mod engine;
mod http;
mod record;
mod server;
mod store;
mod streams;

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::record::Record;

/// How a case ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    Unplayed,
}

/// What a case gets.
pub struct Stage {
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    pub record: Record,
    /// For settings and logs; removed afterwards.
    pub folder: PathBuf,
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("engine") => return engine::run(&arguments[1..]),
        Some("crowd") => return crowd::run(&arguments[1..]),
        _ => {}
    }
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-cases-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let temporary = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    let record = Record::begin(&Path::new(folder).join("record.txt"));
    let record = match std::fs::create_dir_all(&temporary).and(record) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("review-cases-3: {e}");
            return ExitCode::from(2);
        }
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let stage = Stage { has_trouble, record, folder: temporary.clone() };
    let verdict = match cases::find(case) {
        Some(play) => play(&stage),
        None => {
            eprintln!("review-cases-3: no case {case}");
            Verdict::Unplayed
        }
    };
    stage.record.say(&format!("result: {verdict:?}"));
    match std::env::var_os("KEEP_LOGS") {
        Some(_) => println!("logs: {}", temporary.display()),
        None => drop(std::fs::remove_dir_all(&temporary)),
    }
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::Unplayed => ExitCode::from(2),
    }
}
