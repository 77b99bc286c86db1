//! The entry daemon of the greengageturn router fleet.

#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use ggt_daemon::daemon::run_daemon;
use ggt_daemon::logging::start_logging;
use ggt_daemon::settings::read_settings;

/// Exit code when settings or addresses are refused.
const EXIT_REFUSED: u8 = 2;
/// Exit code when requests were cut by the deadline of a shutdown.
const EXIT_CUT: u8 = 3;

/// Entry daemon of the greengageturn router fleet.
///
/// Exit codes: 0 stopped and nothing was cut; 2 settings or addresses were refused; 3 stopped at
/// the deadline with requests still in flight, which the log names.
#[derive(FromArgs)]
struct DaemonArgs {
    /// JSON file with the daemon's settings
    #[argh(option)]
    settings: PathBuf,
    /// only check the settings
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: DaemonArgs = argh::from_env();
    let settings = match read_settings(&args.settings) {
        Ok(settings) => settings,
        Err(e) => return refuse(&e),
    };
    if args.check {
        println!("{}: ok", args.settings.display());
        return ExitCode::SUCCESS;
    }
    let level = settings.log_level.parse().unwrap_or(log::LevelFilter::Info);
    let file = settings.log_file.clone();
    if let Err(e) = start_logging(settings.name.as_str(), level, file.as_deref()) {
        return refuse(&e);
    }
    match run_daemon(settings) {
        Ok(outcome) if outcome.cut.is_empty() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_CUT),
        Err(e) => refuse(&e),
    }
}

fn refuse(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("greengageturnd: {error}");
    ExitCode::from(EXIT_REFUSED)
}
