//! Servers of two versions side by side, and the check that no stream holds events of both.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;

use ggt_standin::server::lock;

use crate::soak::disruption::DisruptionState;

/// The versions that servers may run.
pub(super) const VERSIONS: [&str; 2] = ["v1", "v1.1"];
/// End of an event.
const EVENT_END: &str = "\n\n";
/// Beginning of the second data line of an event, which names the version that wrote it.
pub(super) const VERSION_LINE: &str = "\ndata: version ";
/// Number of servers of a version from which on a stream of it should go on.
const MIN_SERVERS: usize = 2;

/// The versions of the servers that are registered as ready.
#[derive(Debug, Default)]
pub(super) struct ServingVersions {
    versions: Mutex<Vec<Option<String>>>,
}

impl ServingVersions {
    /// Sets the version of a server; `None` if it is not ready.
    pub(super) fn set(&self, server: usize, version: Option<String>) {
        let mut versions = lock(&self.versions);
        let count = versions.len().max(server + 1);
        versions.resize(count, None);
        versions[server] = version;
    }

    /// Whether enough undisrupted servers of a version serve that its streams should go on.
    pub(super) fn can_go_on(&self, version: &str, servers: &[Arc<DisruptionState>]) -> bool {
        let versions = lock(&self.versions);
        let serving = versions.iter().zip(servers).filter(|(serving, server)| {
            serving.as_deref() == Some(version) && server.stable_version().is_some()
        });
        serving.count() >= MIN_SERVERS
    }
}

/// Line that names the version in an event.
pub(super) fn version_line(version: &str) -> String {
    format!("{VERSION_LINE}{version}")
}

/// The complete events of a part of a stream without the lines that name versions, and the versions.
pub(super) fn split_versions(body: &str) -> (String, BTreeSet<String>) {
    let complete = body.rfind(EVENT_END).map_or("", |end| &body[..end + EVENT_END.len()]);
    let mut versions = BTreeSet::new();
    let without_version = |event: &str| match event.split_once(VERSION_LINE) {
        Some((event, version)) => {
            versions.insert(version.to_owned());
            format!("{event}{EVENT_END}")
        }
        None => format!("{event}{EVENT_END}"),
    };
    let events = complete.split_terminator(EVENT_END).map(without_version).collect();
    (events, versions)
}

/// What a caller holds of a stream after one or several tries.
#[derive(Debug, Default)]
pub(super) struct HeldStream {
    /// Attempt id of the try that brought the first event.
    pub(super) first_id: Option<String>,
    /// Number of events held.
    pub(super) events: u64,
    pub(super) versions: BTreeSet<String>,
    /// Attempt ids of all tries.
    pub(super) ids: Vec<String>,
}

impl HeldStream {
    /// Adds what a try brought; returns the number of its events.
    pub(super) fn add(&mut self, id: &str, body: &str) -> u64 {
        let (events, versions) = split_versions(body);
        let count = events.matches(EVENT_END).count() as u64;
        self.ids.push(id.to_owned());
        if count > 0 {
            self.first_id.get_or_insert_with(|| id.to_owned());
        }
        self.events += count;
        self.versions.extend(versions);
        count
    }
}
