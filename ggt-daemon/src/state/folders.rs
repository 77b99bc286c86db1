//! Published folders of the daemon and the checks that their revisions only increase.

use ggt_core::config::RevisionGate;
use ggt_wire::platform::FolderKind;
use ggt_wire::platform::PublishedFolder;

/// State of one published folder.
#[derive(Clone, Debug, Default)]
pub struct FolderSlot {
    /// Admits increasing revisions only.
    pub gate: RevisionGate,
    /// Active folder; empty before the first activation.
    pub folder: PublishedFolder,
    /// Last rejected revision with the error; `None` after the next activation.
    pub rejection: Option<String>,
}

/// Both published folders: configuration and host list.
#[derive(Clone, Debug, Default)]
pub struct FolderStore {
    config: FolderSlot,
    hosts: FolderSlot,
}

impl FolderStore {
    /// Shared access to one folder.
    pub fn slot(&self, kind: FolderKind) -> &FolderSlot {
        match kind {
            FolderKind::Config => &self.config,
            FolderKind::Hosts => &self.hosts,
        }
    }

    /// Mutable access to one folder.
    pub fn slot_mut(&mut self, kind: FolderKind) -> &mut FolderSlot {
        match kind {
            FolderKind::Config => &mut self.config,
            FolderKind::Hosts => &mut self.hosts,
        }
    }

    /// Active revision of a folder; zero if there is none.
    pub fn revision(&self, kind: FolderKind) -> u64 {
        self.slot(kind).gate.active().unwrap_or_default()
    }
}
