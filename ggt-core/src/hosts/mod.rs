//! The platform's published list of targets, which may lag behind their actual state.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::ident::CentreName;
use crate::ident::TargetName;
use crate::ident::WorkloadName;

/// Why a host list is rejected.
#[derive(Debug, Snafu)]
pub enum HostListError {
    /// A file does not parse as a host list.
    #[snafu(display("host list: {file}: {path}: {cause}"))]
    Syntax {
        /// The file's name.
        file: String,
        /// Path to the faulty value in the JSON.
        path: String,
        /// Cause reported by the parser.
        cause: String,
    },
    /// Two entries have the same target name.
    #[snafu(display("host list: target {name} stands twice"))]
    DuplicateTarget {
        /// The duplicate name.
        name: TargetName,
    },
}

/// Whether a listed target accepts new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The target accepts new requests.
    #[default]
    Live,
    /// The target completes its requests and accepts no new ones.
    Leaving,
}

/// Entry of the host list: one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostEntry {
    /// Unique name of the target.
    pub name: TargetName,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: CentreName,
    /// Workload that it serves.
    pub workload: WorkloadName,
    /// Increases with each start of the target.
    pub incarnation: u64,
    /// Number of requests that it can run concurrently.
    pub capacity: u32,
    /// Whether it accepts new requests.
    #[serde(default)]
    pub state: HostState,
}

/// One file of the published host list, for example with the targets of one data centre.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostFile {
    /// Targets in the order of the file.
    pub targets: Vec<HostEntry>,
}

/// One version of the host list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostList {
    /// Version number, which increases with each change.
    pub version: u64,
    /// Targets of all files; their names are unique.
    pub targets: Vec<HostEntry>,
}

/// Parses and checks the files of one version of the host list.
///
/// # Errors
/// [`HostListError`] with the location and the cause.
pub fn accept_hosts<'a, I>(version: u64, files: I) -> Result<HostList, HostListError>
where
    I: IntoIterator<Item = (&'a str, &'a str)>,
{
    let mut list = HostList { version, targets: Vec::new() };
    for (file, text) in files {
        let mut reader = serde_json::Deserializer::from_str(text);
        let host_file: HostFile = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
            let path = e.path().to_string();
            HostListError::Syntax { file: file.to_owned(), path, cause: e.inner().to_string() }
        })?;
        list.targets.extend(host_file.targets);
    }
    let mut names = BTreeSet::new();
    match list.targets.iter().find(|entry| !names.insert(&entry.name)) {
        Some(entry) => Err(HostListError::DuplicateTarget { name: entry.name.clone() }),
        None => Ok(list),
    }
}
