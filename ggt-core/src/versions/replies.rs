//! What other daemons say about a stream that this one does not know.

use serde::Deserialize;
use serde::Serialize;

use crate::versions::SoftwareVersion;
use crate::versions::VersionState;

/// Reply of a daemon that is asked which version began a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReply {
    /// The version, if the daemon knows the stream.
    pub version: Option<SoftwareVersion>,
    /// The only version that the service has had for as long as a stream can last, if there is one.
    pub only_version: Option<SoftwareVersion>,
}

/// What the replies show together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginVerdict {
    /// A daemon knows that this version began the stream.
    Known(SoftwareVersion),
    /// There has been this version only, as far as those that were asked have seen.
    Only(SoftwareVersion),
    /// They contradict each other, or what this daemon knows.
    Conflict,
    /// They do not show it.
    Unknown,
}

/// Judges the replies of `asked` daemons that have arrived so far.
///
/// A daemon that has seen one version only may be out of step with the fleet: without hearing the platform or
/// its peers, it does not notice that targets of another version have joined, nor streams that began there.
/// So most of the daemons that are told of streams have to confirm that there has been no other version. A
/// daemon whose view does not reach back far enough, since it has just started, takes the word of one of them.
pub fn judge_replies(replies: &[OriginReply], asked: usize, view: VersionState) -> OriginVerdict {
    let mut known = replies.iter().filter_map(|reply| reply.version);
    if let Some(version) = known.next() {
        return match known.all(|other| other == version) {
            true => OriginVerdict::Known(version),
            false => OriginVerdict::Conflict,
        };
    }
    let (listed, needed) = match view {
        VersionState::Single(version) => (Some(version), asked / 2 + 1),
        VersionState::Open { listed } => (listed, 1),
    };
    let only = || replies.iter().filter_map(|reply| reply.only_version);
    let confirmations = only().filter(|version| Some(*version) == listed).count();
    match listed {
        Some(version) if confirmations >= needed => OriginVerdict::Only(version),
        Some(version) if only().any(|other| other != version) => OriginVerdict::Conflict,
        _ => OriginVerdict::Unknown,
    }
}
