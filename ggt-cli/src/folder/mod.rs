//! Configuration folders on disk.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;

use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

use ggt_core::config::AcceptError;
use ggt_core::config::MergeError;
use ggt_core::config::MergedFolder;
use ggt_core::config::accept_files;
use ggt_core::config::merge_files;

/// Why a folder is refused.
#[derive(Debug, Snafu)]
pub enum FolderError {
    /// It cannot be read.
    #[snafu(display("{}: cannot be read: {source}", path.display()))]
    Read {
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// It holds no JSON file.
    #[snafu(display("{}: holds no file that ends in .json", path.display()))]
    Empty {
        /// The folder.
        path: PathBuf,
    },
    /// It cannot be merged.
    #[snafu(display("{source}"), context(false))]
    Merge {
        /// The cause.
        source: MergeError,
    },
    /// Its content is rejected.
    #[snafu(display("{source}"), context(false))]
    Accept {
        /// The cause.
        source: AcceptError,
    },
}

/// What a folder amounts to.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CheckOutcome {
    /// Files read.
    pub files: usize,
    /// Daemons of the roster.
    pub daemons: usize,
    /// Customers.
    pub customers: usize,
    /// Workloads.
    pub workloads: usize,
    /// Rules.
    pub rules: usize,
}

/// Reads the JSON files of a folder.
///
/// # Errors
/// [`FolderError`] when the folder or a file cannot be read, or there is no file.
pub fn read_files(folder: &Path) -> Result<BTreeMap<String, String>, FolderError> {
    let mut files = BTreeMap::new();
    for entry in std::fs::read_dir(folder).context(ReadSnafu { path: folder })? {
        let path = entry.context(ReadSnafu { path: folder })?.path();
        let is_json = path.extension().is_some_and(|extension| extension == "json");
        if let Some(name) = path.file_name().and_then(|name| name.to_str()).filter(|_| is_json) {
            let text = std::fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
            files.insert(name.to_owned(), text);
        }
    }
    if files.is_empty() { EmptySnafu { path: folder }.fail() } else { Ok(files) }
}

/// Checks a folder as a daemon would.
///
/// # Errors
/// [`FolderError`] names the file, the path in the JSON and the cause.
pub fn check_folder(folder: &Path) -> Result<CheckOutcome, FolderError> {
    let files = read_files(folder)?;
    let accepted = accept_files(files.iter().map(|(name, text)| (name.as_str(), text.as_str())))?;
    let model = &accepted.model;
    Ok(CheckOutcome {
        files: files.len(),
        daemons: model.roster.daemons.len(),
        customers: model.customers.len(),
        workloads: model.workloads.len(),
        rules: model.rules.len(),
    })
}

/// Merges a folder.
///
/// # Errors
/// [`FolderError`] when it cannot be read or merged.
pub fn effective_folder(folder: &Path) -> Result<MergedFolder, FolderError> {
    let files = read_files(folder)?;
    Ok(merge_files(files.iter().map(|(name, text)| (name.as_str(), text.as_str())))?)
}
