//! Reads, validates and merges configuration folders on disk.

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

/// Why a configuration folder is rejected.
#[derive(Debug, Snafu)]
pub enum FolderError {
    /// The folder or one of its files cannot be read.
    #[snafu(display("{}: cannot be read: {source}", path.display()))]
    Read {
        /// Path of the file or folder.
        path: PathBuf,
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// The folder has no JSON file.
    #[snafu(display("{}: contains no .json file", path.display()))]
    Empty {
        /// Path of the folder.
        path: PathBuf,
    },
    /// The files cannot be merged.
    #[snafu(display("{source}"), context(false))]
    Merge {
        /// Underlying merge error.
        source: MergeError,
    },
    /// The merged configuration is invalid.
    #[snafu(display("{source}"), context(false))]
    Accept {
        /// Underlying validation error.
        source: AcceptError,
    },
}

/// Number of entries of each kind in a valid folder.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CheckOutcome {
    /// JSON files.
    pub files: usize,
    /// Daemons in the roster, including removed ones.
    pub daemons: usize,
    /// Customers.
    pub customers: usize,
    /// Workloads.
    pub workloads: usize,
    /// Routing rules.
    pub rules: usize,
}

/// Reads the JSON files of a folder; returns their texts by file name.
///
/// # Errors
/// [`FolderError`] if the folder or a file cannot be read, or there is no JSON file.
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

/// Validates a folder with the same checks as the daemons.
///
/// # Errors
/// [`FolderError`] with the file, the JSON pointer and the cause.
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

/// Merges the files of a folder without validating the result.
///
/// # Errors
/// [`FolderError`] if the folder cannot be read or merged.
pub fn merge_folder(folder: &Path) -> Result<MergedFolder, FolderError> {
    let files = read_files(folder)?;
    Ok(merge_files(files.iter().map(|(name, text)| (name.as_str(), text.as_str())))?)
}
