//! Full reads of folders.

use crate::front::call::CallError;
use crate::front::peers::fetch_snapshot;
use crate::front::state::FrontState;
use crate::front::state::StoreFolder;
use crate::front::store::FolderBatches;
use crate::front::store::client::StoreClient;
use crate::front::store::into_store_change;
use ggt_core::store_cache::StoreBatch;
use ggt_platform::ReadMode;
use ggt_platform::StoreItem;
use ggt_platform::is_same_history;
use ggt_platform::parse_era;
use ggt_platform::parse_range;
use ggt_platform::range_path;

/// Reads these folders one after the other.
pub(super) async fn read_folders(
    state: &FrontState,
    client: &mut StoreClient,
    folders: &[StoreFolder],
    mode: ReadMode,
    timeout_ms: u64,
) -> Result<FolderBatches, CallError> {
    let mut batches = FolderBatches::default();
    for folder in folders {
        let snapshot = read_pages(state, client, *folder, mode, timeout_ms).await?;
        batches[*folder as usize] = Some(snapshot);
    }
    Ok(batches)
}

/// Reads a folder page by page. If it has more than one page, a relaxed read first tries to fetch
/// the whole folder from a seed, so that hosts that start at the same moment do not all read it
/// from the store.
async fn read_pages(
    state: &FrontState,
    client: &mut StoreClient,
    folder: StoreFolder,
    mode: ReadMode,
    timeout_ms: u64,
) -> Result<StoreBatch, CallError> {
    let mut snapshot = StoreBatch { revision: u64::MAX, is_snapshot: true, changes: Vec::new() };
    let mut after: Option<String> = None;
    loop {
        let is_first = after.is_none();
        let path = range_path(folder.prefix(), after.as_deref(), mode);
        let reply = client.call(&path, timeout_ms).await?;
        let page = parse_range(&reply.body, parse_era(&reply.headers))?;
        if !is_first && !is_same_history(page.revision, snapshot.revision) {
            return Err(CallError::StoreRestored);
        }
        let is_last = !page.has_more || page.changes.is_empty();
        // Pages may have different revisions: the result is valid at the oldest one, and the watch
        // returns the changes after it.
        snapshot.revision = snapshot.revision.min(page.revision);
        // Keys of other folders may share the prefix, and fill whole pages.
        after = page.changes.last().map(|last| last.key.clone());
        let of_folder = |item: &StoreItem| StoreFolder::of_key(&item.key) == Some(folder);
        let items = page.changes.into_iter().filter(of_folder);
        snapshot.changes.extend(items.map(into_store_change));
        if is_last {
            return Ok(snapshot);
        }
        if is_first
            && mode == ReadMode::Relaxed
            && let Some(peer_snapshot) = fetch_snapshot(state, folder).await
        {
            return Ok(peer_snapshot);
        }
    }
}
