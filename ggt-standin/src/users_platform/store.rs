//! Stand-in for the users' key-value store, limited to range reads and watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;

use crate::server::lock;
use crate::users_platform::request::WireRequest;
use crate::users_platform::request::read_request;

/// An item after a change.
#[derive(Clone, Debug)]
struct StoredItem {
    /// Revision at which the item was created.
    created: u64,
    /// Revision of its last change.
    revision: u64,
    value: Vec<u8>,
}

#[derive(Default)]
struct StoreState {
    /// Items by key.
    items: BTreeMap<String, StoredItem>,
    /// Changes as revision, key and item, which is `None` after a removal.
    log: Vec<(u64, String, Option<StoredItem>)>,
    revision: u64,
    /// Last revision whose changes are no longer in the log.
    compacted_revision: u64,
    /// Number of times that the store came back from a copy; named in all responses.
    era: u64,
    /// Watches from an earlier revision than this one wait while it is set.
    held_revision: Option<u64>,
    /// Status of all responses while it is set.
    failure_status: Option<u16>,
    /// Number of calls of `stop_responding`; connections opened before the last one get no response.
    silence_count: u64,
    /// Whether connections that are used now get no response, then or later.
    is_silent: bool,
    request_count: u64,
    continuation_pages: u64,
    linearizable_pages: u64,
    /// Prefix and `After` revision of each watch request received.
    watches: Vec<(String, u64)>,
}

/// Copy of a store's data.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    items: BTreeMap<String, StoredItem>,
    log: Vec<(u64, String, Option<StoredItem>)>,
    revision: u64,
}

/// Maximum number of items on a page.
const PAGE_ITEMS: usize = 500;
/// Number of bytes of values from which on a page takes no further item.
const PAGE_BYTES: usize = 1_000_000;

/// Key-value store that a test writes to and daemons read.
#[derive(Clone)]
pub struct StoreStandin {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Condvar>,
}

impl StoreStandin {
    /// Starts an empty store.
    ///
    /// # Errors
    /// Returns the I/O error if the address cannot be bound.
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self { address, state: Arc::default(), changed: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        self.apply_change(key, Some(value.as_bytes().to_vec()));
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.apply_change(key, None);
    }

    /// Keys of the items that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = lock(&self.state);
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Responds to all requests with a status; `None` ends this.
    pub fn set_failure(&self, status: Option<u16>) {
        lock(&self.state).failure_status = status;
        self.changed.notify_all();
    }

    /// Stops responding on the connections that are open now.
    pub fn stop_responding(&self) {
        lock(&self.state).silence_count += 1;
    }

    /// Falls silent: no connection that is open or used until `resume` gets a response, then or later.
    pub fn fall_silent(&self) {
        let mut state = lock(&self.state);
        state.silence_count += 1;
        state.is_silent = true;
    }

    /// Ends the silence for connections that are opened from now on.
    pub fn resume(&self) {
        let mut state = lock(&self.state);
        state.silence_count += 1;
        state.is_silent = false;
    }

    /// Drops the history of changes; a watch from an earlier revision then gets status 410.
    pub fn compact(&self) {
        let mut state = lock(&self.state);
        state.compacted_revision = state.revision;
        state.log.clear();
    }

    /// Holds back what changed before now, until it is released.
    pub fn hold_history(&self) {
        let mut state = lock(&self.state);
        state.held_revision = Some(state.revision);
    }

    /// Ends [`Self::hold_history`].
    pub fn release_history(&self) {
        lock(&self.state).held_revision = None;
        self.changed.notify_all();
    }

    /// A copy of the present data.
    pub fn copy(&self) -> StoreCopy {
        let state = lock(&self.state);
        StoreCopy { items: state.items.clone(), log: state.log.clone(), revision: state.revision }
    }

    /// Comes back from an older copy: later changes are lost, and their revisions are given out again.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = lock(&self.state);
        let StoreCopy { items, log, revision } = copy.clone();
        (state.items, state.log, state.revision) = (items, log, revision);
        state.era += 1;
        self.changed.notify_all();
    }

    /// Number of requests received.
    pub fn request_count(&self) -> u64 {
        lock(&self.state).request_count
    }

    /// Number of pages read beyond the first one of a range.
    pub fn continuation_pages(&self) -> u64 {
        lock(&self.state).continuation_pages
    }

    /// Number of pages read without `Serializable`, which must include all changes up to the read.
    pub fn linearizable_pages(&self) -> u64 {
        lock(&self.state).linearizable_pages
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        lock(&self.state).revision
    }

    /// Number of watches that cover a key and whose `After` parameter is `revision` or later.
    pub fn watch_count_after(&self, key: &str, revision: u64) -> usize {
        let state = lock(&self.state);
        let is_match = |(watched, after): &&(String, u64)| {
            key.starts_with(watched.as_str()) && *after >= revision
        };
        state.watches.iter().filter(is_match).count()
    }

    fn apply_change(&self, key: &str, value: Option<Vec<u8>>) {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let item = value.map(|value| StoredItem { created, revision, value });
        match &item {
            Some(item) => state.items.insert(key.to_owned(), item.clone()),
            None => state.items.remove(key),
        };
        state.log.push((revision, key.to_owned(), item));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let silence_count_at_open = lock(&self.state).silence_count;
        while let Some(request) = read_request(&mut reader) {
            let (status, body) = self.respond(&request);
            let is_unanswered = {
                let state = lock(&self.state);
                state.is_silent || state.silence_count > silence_count_at_open
            };
            if is_unanswered {
                continue;
            }
            let (body, era) = (body.to_string(), lock(&self.state).era);
            let text = format!(
                "HTTP/1.1 {status} Store\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &WireRequest) -> (u16, Value) {
        lock(&self.state).request_count += 1;
        if let Some(status) = lock(&self.state).failure_status {
            return (status, json!({}));
        }
        let prefix = request.decoded_query("PathPrefix");
        let prefix = prefix.as_str();
        match request.path.split('?').next().unwrap_or_default() {
            "/v1/kv-range" => (200, self.range(prefix, request)),
            "/v1/kv-watch" => self.watch(prefix, request.number("After"), request.number("WaitMs")),
            _ => (404, json!({})),
        }
    }

    fn range(&self, prefix: &str, request: &WireRequest) -> Value {
        let mut state = lock(&self.state);
        let after = request.decoded_query("After");
        state.continuation_pages += u64::from(!after.is_empty());
        state.linearizable_pages += u64::from(request.query("Serializable").is_none());
        let matching = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let mut rest = matching.filter(|(key, _)| key.as_str() > after.as_str()).peekable();
        let (mut page, mut bytes) = (Vec::new(), 0);
        while let Some((key, item)) =
            rest.next_if(|_| page.len() < PAGE_ITEMS && bytes < PAGE_BYTES)
        {
            bytes += item.value.len();
            page.push(item_json(key, item.revision, Some(item)));
        }
        let has_more = rest.peek().is_some();
        json!({ "Items": page, "HasMore": has_more, "StoreRevision": state.revision })
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, Value) {
        let era = {
            let mut state = lock(&self.state);
            state.watches.push((prefix.to_owned(), after));
            state.era
        };
        let is_held =
            |state: &mut StoreState| state.held_revision.is_some_and(|revision| after < revision);
        let released = self.changed.wait_while(lock(&self.state), is_held);
        drop(released.unwrap_or_else(PoisonError::into_inner));
        let is_unchanged = |state: &mut StoreState| {
            let is_new = |(revision, key, _): &(u64, String, Option<StoredItem>)| {
                *revision > after && key.starts_with(prefix)
            };
            state.failure_status.is_none()
                && state.era == era
                && after <= state.revision
                && !state.log.iter().any(is_new)
        };
        let wait = Duration::from_millis(wait_ms);
        let waited = self.changed.wait_timeout_while(lock(&self.state), wait, is_unchanged);
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        if let Some(status) = state.failure_status {
            return (status, json!({}));
        }
        if after < state.compacted_revision || after > state.revision {
            return (410, json!({}));
        }
        let changes = state
            .log
            .iter()
            .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
        let events: Vec<_> =
            changes.map(|(revision, key, item)| item_json(key, *revision, item.as_ref())).collect();
        (200, json!({ "events": events, "StoreRevision": state.revision }))
    }
}

fn item_json(key: &str, revision: u64, item: Option<&StoredItem>) -> Value {
    match item {
        Some(item) => json!({
            "Key": key, "Value": STANDARD.encode(&item.value), "Rev": revision,
            "Created": item.created, "Lease": 0,
        }),
        None => json!({ "Key": key, "Rev": revision, "Deleted": true }),
    }
}
