//! The entry daemon of the greengageturn router fleet.

#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use ggt_daemon::daemon::run_daemon;
use ggt_daemon::front::is_front_settings;
use ggt_daemon::front::parse_front_settings;
use ggt_daemon::front::run_front;
use ggt_daemon::logging::start_logging;
use ggt_daemon::logging::start_output_logging;
use ggt_daemon::settings::SettingsError;
use ggt_daemon::settings::parse_settings;
use ggt_platform::SETTINGS_VARIABLE;

/// Exit code if the daemon cannot start, for example with invalid settings.
const EXIT_NOT_STARTED: u8 = 2;
/// Exit code if requests were aborted at the drain deadline.
const EXIT_REQUESTS_ABORTED: u8 = 3;

/// Entry daemon of the greengageturn router fleet.
///
/// Exit codes: 0 stopped, no request aborted; 2 cannot start, for example with invalid settings or
/// an address in use; 3 stopped at the drain deadline, and requests in flight were aborted (their
/// ids are in the log).
#[derive(FromArgs)]
struct DaemonArgs {
    /// JSON settings file; on the users' platform its path may be given by the environment instead
    #[argh(option)]
    settings: Option<PathBuf>,
    /// only validate the settings
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: DaemonArgs = argh::from_env();
    let file_from_environment = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let Some(file) = args.settings.or(file_from_environment) else {
        eprintln!("greengageturnd: no settings file: give --settings FILE");
        return ExitCode::from(EXIT_NOT_STARTED);
    };
    let text = match std::fs::read_to_string(&file) {
        Ok(text) => text,
        Err(source) => return fail(&SettingsError::Read { file, source }),
    };
    match is_front_settings(&text) {
        true => run_front_end(&file, &text, args.check),
        false => run_native(&file, &text, args.check),
    }
}

/// Runs the daemon with the interface of the users' platform.
fn run_front_end(file: &Path, text: &str, is_check: bool) -> ExitCode {
    let settings = match parse_front_settings(file, text) {
        Ok(settings) => settings,
        Err(e) => return fail(&e),
    };
    if is_check {
        return report_valid(file);
    }
    let level = parse_log_level(&settings.log_level);
    let queue = match start_output_logging(&settings.name, level) {
        Ok(queue) => queue,
        Err(e) => return fail(&e),
    };
    let result = run_front(file, settings);
    queue.flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&e),
    }
}

/// Runs the daemon with its own interface.
fn run_native(file: &Path, text: &str, is_check: bool) -> ExitCode {
    let settings = match parse_settings(file, text) {
        Ok(settings) => settings,
        Err(e) => return fail(&e),
    };
    if is_check {
        return report_valid(file);
    }
    let level = parse_log_level(&settings.log_level);
    let log_file = settings.log_file.clone();
    if let Err(e) = start_logging(settings.name.as_str(), level, log_file.as_deref()) {
        return fail(&e);
    }
    match run_daemon(settings) {
        Ok(outcome) if outcome.aborted.is_empty() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_REQUESTS_ABORTED),
        Err(e) => fail(&e),
    }
}

fn report_valid(file: &Path) -> ExitCode {
    println!("{}: ok", file.display());
    ExitCode::SUCCESS
}

/// Parses a log level; validated settings contain valid names only.
fn parse_log_level(name: &str) -> log::LevelFilter {
    name.parse().unwrap_or(log::LevelFilter::Info)
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("greengageturnd: {error}");
    ExitCode::from(EXIT_NOT_STARTED)
}
