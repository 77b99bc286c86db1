//! Stand-in for the platform's metadata store: reads and watches.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http::Head;
use crate::http::Reader;
use crate::http::read_body;
use crate::http::read_head;

#[derive(Clone)]
struct Item {
    created: u64,
    revision: u64,
    value: String,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    log: Vec<(u64, String, Option<Item>)>,
    revision: u64,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("store: bind");
        let address = listener.local_addr().expect("store: address");
        let store = Self { address, state: Arc::default(), changed: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().expect("store");
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let item = Item { created, revision, value: value.to_owned() };
        state.items.insert(key.to_owned(), item.clone());
        state.log.push((revision, key.to_owned(), Some(item)));
        self.changed.notify_all();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().expect("store");
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state.log.push((revision, key.to_owned(), None));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Some(head) = read_head(&mut reader) {
            read_body(&mut reader, &head);
            let (status, body) = self.respond(&head);
            let text = format!(
                "HTTP/1.1 {status} Store\r\nContent-Type: application/json\r\nStore-Era: 0\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, head: &Head) -> (u16, String) {
        let prefix = decoded(head.query("PathPrefix").unwrap_or_default());
        match head.path().split('?').next().unwrap_or_default() {
            "/v1/kv-range" => (200, self.range(&prefix)),
            "/v1/kv-watch" => self.watch(&prefix, number(head, "After"), number(head, "WaitMs")),
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str) -> String {
        let state = self.state.lock().expect("store");
        let matching = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<_> = matching.map(|(key, item)| item_json(key, item)).collect();
        let revision = state.revision;
        format!(
            "{{\"Items\":[{}],\"HasMore\":false,\"StoreRevision\":{revision}}}",
            items.join(",")
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let is_unchanged = |state: &mut State| {
            !state.log.iter().any(|(revision, key, _)| *revision > after && key.starts_with(prefix))
        };
        let state = self.state.lock().expect("store");
        let wait = Duration::from_millis(wait_ms);
        let waited = self.changed.wait_timeout_while(state, wait, is_unchanged);
        let (state, _) = waited.expect("store");
        if after > state.revision {
            return (410, "{}".to_owned());
        }
        let changes = state.log.iter();
        let changes =
            changes.filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
        let events: Vec<_> = changes
            .map(|(revision, key, item)| match item {
                Some(item) => item_json(key, item),
                None => format!("{{\"Key\":\"{key}\",\"Rev\":{revision},\"Deleted\":true}}"),
            })
            .collect();
        let revision = state.revision;
        (200, format!("{{\"events\":[{}],\"StoreRevision\":{revision}}}", events.join(",")))
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Rev\":{},\"Created\":{},\"Lease\":0}}",
        base64(item.value.as_bytes()),
        item.revision,
        item.created
    )
}

fn number(head: &Head, name: &str) -> u64 {
    head.query(name).and_then(|text| text.parse().ok()).unwrap_or_default()
}

fn decoded(text: &str) -> String {
    text.replace("%2F", "/")
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or_default());
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let is_padding = digit > group.len();
            let index = (bits >> (18 - 6 * digit)) & 63;
            text.push(if is_padding { '=' } else { char::from(DIGITS[index as usize]) });
        }
    }
    text
}
