//! A store that a case writes to and daemons read: ranges and watches.

use std::collections::BTreeMap;
use std::io;
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

use crate::http::Head;
use crate::http::read_head;
use crate::http::read_request_body;
use crate::record::lock;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, Item>,
    /// Changes in order; `None` after a removal.
    log: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    /// Revision up to which the history has been discarded.
    discarded: u64,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Condvar>,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
            changed: Arc::default(),
        };
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
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision, created };
        state.items.insert(key.to_owned(), item.clone());
        state.log.push((revision, key.to_owned(), Some(item)));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            read_request_body(&mut reader, &head)?;
            let (status, body) = self.respond(&head);
            let length = body.len();
            let answer = format!(
                "HTTP/1.1 {status} Store\r\nStore-Era: 1\r\nContent-Type: application/json\r\n\
                 Content-Length: {length}\r\n\r\n{body}"
            );
            writer.write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    fn respond(&self, head: &Head) -> (u16, String) {
        let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
        let parameter = |name: &str| {
            let fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.filter(|(key, _)| *key == name).map(|(_, value)| decode(value)).next()
        };
        let prefix = parameter("PathPrefix").unwrap_or_default();
        let after = parameter("After").unwrap_or_default();
        match path {
            "/v1/kv-range" => (200, self.range(&prefix, &after)),
            "/v1/kv-watch" => {
                let wait_ms = parameter("WaitMs").and_then(|text| text.parse().ok());
                self.watch(&prefix, after.parse().unwrap_or_default(), wait_ms.unwrap_or_default())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = lock(&self.state);
        let listed = state.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let items: Vec<_> = listed.map(|(key, item)| item_json(key, item)).collect();
        let items = items.join(",");
        format!(r#"{{"Items":[{items}],"HasMore":false,"StoreRevision":{}}}"#, state.revision)
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let is_unchanged = |state: &mut StoreState| {
            after >= state.discarded
                && !state.log.iter().any(|(at, key, _)| *at > after && key.starts_with(prefix))
        };
        let wait = Duration::from_millis(wait_ms);
        let waited = self.changed.wait_timeout_while(lock(&self.state), wait, is_unchanged);
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        if after < state.discarded {
            return (410, "{}".to_owned());
        }
        let later = state.log.iter().filter(|(at, key, _)| *at > after && key.starts_with(prefix));
        let events: Vec<_> = later
            .map(|(at, key, item)| match item {
                Some(item) => item_json(key, item),
                None => format!(r#"{{"Key":"{key}","Rev":{at},"Deleted":true}}"#),
            })
            .collect();
        let events = events.join(",");
        (200, format!(r#"{{"events":[{events}],"StoreRevision":{}}}"#, state.revision))
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, created } = item;
    let value = base64(value.as_bytes());
    format!(r#"{{"Key":"{key}","Value":"{value}","Rev":{revision},"Created":{created},"Lease":0}}"#)
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        let code = (*first == b'%').then(|| text_of(others.get(..2))).flatten();
        match code {
            Some(byte) => {
                bytes.push(byte);
                rest = &others[2..];
            }
            None => {
                bytes.push(*first);
                rest = others;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn text_of(digits: Option<&[u8]>) -> Option<u8> {
    u8::from_str_radix(std::str::from_utf8(digits?).ok()?, 16).ok()
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(*group.get(index).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let is_padding = digit > group.len();
            let index = (bits >> (18 - 6 * digit)) & 63;
            text.push(if is_padding { '=' } else { char::from(DIGITS[index as usize]) });
        }
    }
    text
}
