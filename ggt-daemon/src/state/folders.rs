//! The published folders that the daemon has, and the gates that keep them rising.

use ggt_core::config::RevisionGate;
use ggt_wire::platform::FolderKind;
use ggt_wire::platform::PublishedFolder;

/// One published folder.
#[derive(Clone, Debug, Default)]
pub struct FolderSlot {
    /// Admits rising revisions only.
    pub gate: RevisionGate,
    /// The folder in force.
    pub folder: PublishedFolder,
    /// Why the highest rejected revision was rejected.
    pub rejection: Option<String>,
}

/// Both published folders.
#[derive(Clone, Debug, Default)]
pub struct FolderStore {
    config: FolderSlot,
    hosts: FolderSlot,
}

impl FolderStore {
    /// One folder.
    pub fn slot(&self, kind: FolderKind) -> &FolderSlot {
        match kind {
            FolderKind::Config => &self.config,
            FolderKind::Hosts => &self.hosts,
        }
    }

    /// One folder, to be changed.
    pub fn slot_mut(&mut self, kind: FolderKind) -> &mut FolderSlot {
        match kind {
            FolderKind::Config => &mut self.config,
            FolderKind::Hosts => &mut self.hosts,
        }
    }

    /// The revision in force, zero while there is none.
    pub fn revision(&self, kind: FolderKind) -> u64 {
        self.slot(kind).gate.in_force().unwrap_or_default()
    }
}
