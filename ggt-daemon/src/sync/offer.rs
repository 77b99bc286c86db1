//! Activates a published folder if it is valid and newer than the active one.

use std::sync::Arc;

use crate::clock::mono_now;
use crate::clock::wall_now;
use crate::lock::lock;
use crate::logging::quoted;
use crate::state::ActiveConfig;
use crate::state::SharedState;
use ggt_core::config::AcceptedConfig;
use ggt_core::config::OfferOutcome;
use ggt_core::config::accept_files;
use ggt_core::hosts::HostList;
use ggt_core::hosts::accept_hosts;
use ggt_core::membership::GossipItem;
use ggt_core::membership::short_hash;
use ggt_core::routing::HostChange;
use ggt_core::routing::RoutingOptions;
use ggt_wire::platform::FolderKind;
use ggt_wire::platform::PublishedFolder;

enum FolderContent {
    Config(Box<AcceptedConfig>),
    Hosts(HostList),
}

/// Validates a folder and activates it if its revision is above the active one. `source` (platform
/// or peer) is logged.
///
/// Activation holds the lock on the folders, so revisions become active one at a time and in
/// ascending order.
pub fn apply_folder(
    state: &SharedState,
    kind: FolderKind,
    folder: PublishedFolder,
    source: &str,
) -> OfferOutcome {
    let revision = folder.revision;
    let content = parse_folder(kind, &folder);
    let mut folders = lock(&state.folders);
    let slot = folders.slot_mut(kind);
    let outcome = slot.gate.offer(revision, content.is_ok());
    let active_revision = slot.gate.active().unwrap_or_default();
    match (&outcome, content) {
        (OfferOutcome::Activated, Ok(content)) => {
            slot.folder = folder;
            slot.rejection = None;
            activate(state, revision, content);
            log::info!(
                "event=revision folder={} revision={revision} outcome=in-force source={source}",
                kind.as_str(),
            );
        }
        (OfferOutcome::Rejected, Err(cause)) => {
            log::warn!(
                "event=revision folder={} revision={revision} outcome=rejected \
                 in_force={active_revision} source={source} cause={}",
                kind.as_str(),
                quoted(&cause),
            );
            slot.rejection = Some(format!("revision {revision}: {cause}"));
        }
        (_, _) if revision < active_revision => log::info!(
            "event=revision folder={} revision={revision} outcome=stale \
             in_force={active_revision} source={source}",
            kind.as_str(),
        ),
        (_, _) => (),
    }
    outcome
}

fn parse_folder(kind: FolderKind, folder: &PublishedFolder) -> Result<FolderContent, String> {
    match kind {
        FolderKind::Config => accept_files(folder.texts())
            .map(|accepted| FolderContent::Config(Box::new(accepted)))
            .map_err(|e| e.to_string()),
        FolderKind::Hosts => accept_hosts(folder.revision, folder.texts())
            .map(FolderContent::Hosts)
            .map_err(|e| e.to_string()),
    }
}

fn activate(state: &SharedState, revision: u64, content: FolderContent) {
    match content {
        FolderContent::Config(accepted) => {
            let roster = &accepted.model.roster;
            lock(&state.gossip).peers.set_roster(roster);
            lock(&state.claim_holder).record_epoch(&state.settings.name, roster.epoch, wall_now());
            lock(&state.crashes).set_limit(accepted.model.routing.crash_limit);
            let config = ActiveConfig::new(revision, *accepted, &state.settings.limits);
            state.set_active_config(Arc::new(config));
        }
        FolderContent::Hosts(list) => {
            let options = state.active_config().map_or_else(RoutingOptions::default, |x| x.routing);
            let changes = lock(&state.routing).apply_hosts(&list, &options, mono_now());
            changes.iter().for_each(|change| record_host_change(state, &list, change));
        }
    }
}

fn record_host_change(state: &SharedState, list: &HostList, change: &HostChange) {
    let (name, status) = match change {
        HostChange::Joined(name) => (name, "joined"),
        HostChange::Restarted(name) => (name, "returned"),
        HostChange::Leaving(name) => (name, "leaving"),
        HostChange::Removed(name) => (name, "gone"),
    };
    log::info!("event=target target={name} status={status}");
    if !matches!(change, HostChange::Leaving(_)) {
        return;
    }
    // Spread by gossip for peers whose host list is older.
    let entry = list.targets.iter().find(|entry| entry.name == *name);
    if let Some(incarnation) = entry.map(|entry| entry.incarnation) {
        let target = short_hash(name.as_str());
        lock(&state.gossip).add_item(GossipItem::Leaving { target, incarnation });
    }
}
