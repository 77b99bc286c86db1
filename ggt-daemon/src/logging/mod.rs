//! Logging in lines of `key=value` pairs, one line per event.

mod queue;

pub use queue::LineQueue;

use std::path::Path;

use log::LevelFilter;
use snafu::ResultExt;
use snafu::Snafu;

use crate::clock::wall_now;

/// Why logging cannot be set up.
#[derive(Debug, Snafu)]
pub enum LoggingError {
    /// The log file cannot be opened.
    #[snafu(display("log file {file}: {source}"))]
    Open {
        /// Path of the log file.
        file: String,
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// Another logger is already installed.
    #[snafu(display("{source}"))]
    Install {
        /// Underlying error of the `log` crate.
        source: log::SetLoggerError,
    },
}

/// Starts logging to a file or to standard error.
///
/// # Errors
/// [`LoggingError`] if the file cannot be opened or another logger is installed.
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

/// Line format and level filters, without an output.
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
/// never blocks the daemon. Lines dropped by a full queue are counted, and the count is logged. Returns
/// the queue, to be flushed before the process ends.
///
/// # Errors
/// [`LoggingError::Install`] if another logger is installed.
pub fn start_output_logging(name: &str, level: LevelFilter) -> Result<LineQueue, LoggingError> {
    let queue = queue::start_line_queue();
    let sender = queue.clone();
    let output = fern::Output::call(move |record| sender.push(format!("{}\n", record.args())));
    let dispatch = new_dispatch(name, level).chain(output);
    dispatch.apply().context(InstallSnafu)?;
    Ok(queue)
}

/// Longest value in bytes that is logged; what others sent is cut there.
const MAX_VALUE_BYTES: usize = 1_024;

/// Quotes a value if it is empty or contains a space, quote, `=` or character outside printable
/// ASCII, so that a line can be split into `key=value` pairs, and cuts a long one.
pub fn quoted(value: &str) -> String {
    let value = match value.len() {
        0..=MAX_VALUE_BYTES => value,
        _ => &value[..value.floor_char_boundary(MAX_VALUE_BYTES)],
    };
    let is_plain =
        !value.is_empty() && value.chars().all(|c| c.is_ascii_graphic() && c != '"' && c != '=');
    if is_plain { value.to_owned() } else { format!("{value:?}") }
}
