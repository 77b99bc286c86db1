//! The platform's lagging list of live and leaving hosts.

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
    /// The text is not a host list.
    #[snafu(display("host list: {file}: {path}: {cause}"))]
    Syntax {
        /// The file's name.
        file: String,
        /// Path in the JSON.
        path: String,
        /// What is wrong.
        cause: String,
    },
    /// Two targets bear the same name.
    #[snafu(display("host list: target {name} stands twice"))]
    Doubled {
        /// The name.
        name: TargetName,
    },
}

/// Whether a listed target takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The target takes new work.
    #[default]
    Live,
    /// The target finishes what it has and takes nothing new.
    Leaving,
}

/// One target of the host list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostEntry {
    /// The target's name.
    pub name: TargetName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: CentreName,
    /// The workload that it serves.
    pub workload: WorkloadName,
    /// Rises each time the target starts anew.
    pub incarnation: u64,
    /// Requests that it can run at once.
    pub capacity: u32,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: HostState,
}

/// One file of the published host list: the targets of one data centre, say.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostFile {
    /// The targets.
    pub targets: Vec<HostEntry>,
}

/// The host list at one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostList {
    /// Rises with each change.
    pub version: u64,
    /// The targets.
    pub targets: Vec<HostEntry>,
}

/// Parses and checks the files of one version of the host list.
///
/// # Errors
/// [`HostListError`] names the place and the cause.
pub fn accept_hosts<'a, I>(version: u64, files: I) -> Result<HostList, HostListError>
where
    I: IntoIterator<Item = (&'a str, &'a str)>,
{
    let mut list = HostList { version, targets: Vec::new() };
    for (file, text) in files {
        let mut reader = serde_json::Deserializer::from_str(text);
        let part: HostFile = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
            let path = e.path().to_string();
            HostListError::Syntax { file: file.to_owned(), path, cause: e.inner().to_string() }
        })?;
        list.targets.extend(part.targets);
    }
    let mut names = BTreeSet::new();
    match list.targets.iter().find(|entry| !names.insert(&entry.name)) {
        Some(entry) => Err(HostListError::Doubled { name: entry.name.clone() }),
        None => Ok(list),
    }
}
