//! One line of key=value pairs for each event.

mod queue;

use std::path::Path;

use log::LevelFilter;
use snafu::ResultExt;
use snafu::Snafu;

use crate::clock::wall_now;

/// Why logging cannot start.
#[derive(Debug, Snafu)]
pub enum LoggingError {
    /// The file cannot be opened.
    #[snafu(display("log file {file}: {source}"))]
    Open {
        /// The file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// Another logger is installed.
    #[snafu(display("{source}"))]
    Install {
        /// The cause.
        source: log::SetLoggerError,
    },
}

/// Starts logging to a file or to standard error.
///
/// # Errors
/// [`LoggingError`] says what could not be opened.
pub fn start_logging(
    name: &str,
    level: LevelFilter,
    file: Option<&Path>,
) -> Result<(), LoggingError> {
    let dispatch = new_dispatch(name, level)
        .level_for("jsonrpsee_server", LevelFilter::Error)
        .level_for("jsonrpsee_client", LevelFilter::Error)
        .level_for("ureq", LevelFilter::Error);
    let dispatch = match file {
        Some(path) => {
            let context = OpenSnafu { file: path.display().to_string() };
            dispatch.chain(fern::log_file(path).context(context)?)
        }
        None => dispatch.chain(std::io::stderr()),
    };
    dispatch.apply().context(InstallSnafu)
}

/// The form of a line, and which lines are logged.
fn new_dispatch(name: &str, level: LevelFilter) -> fern::Dispatch {
    let name = name.to_owned();
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let at = wall_now().as_millis();
            let level = record.level().as_str().to_ascii_lowercase();
            out.finish(format_args!("at_ms={at} level={level} daemon={name} {message}"));
        })
        .level(LevelFilter::Warn)
        .level_for("ggt_daemon", level)
}

/// Starts logging to standard output through a bounded queue, so that a slow reader of the output
/// never holds up the daemon; lines that do not fit are counted and the count is logged.
///
/// # Errors
/// [`LoggingError::Install`] when another logger is installed.
pub fn start_output_logging(name: &str, level: LevelFilter) -> Result<(), LoggingError> {
    let queue = queue::start_line_queue();
    let output = fern::Output::call(move |record| queue.push(format!("{}\n", record.args())));
    let dispatch = new_dispatch(name, level).chain(output);
    dispatch.apply().context(InstallSnafu)
}

/// Quotes a value that holds spaces or quotes, so that a line stays a list of key=value pairs.
pub fn quoted(value: &str) -> String {
    let is_plain =
        !value.is_empty() && value.chars().all(|c| c.is_ascii_graphic() && c != '"' && c != '=');
    if is_plain { value.to_owned() } else { format!("{value:?}") }
}
