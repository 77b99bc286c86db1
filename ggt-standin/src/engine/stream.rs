//! The tokens of one request, written once and read by any number of connections.

use std::sync::Arc;
use std::sync::Mutex;

use bytes::Bytes;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::platform::pause;
use crate::server::lock;
use ggt_core::ident::stable_hash;

#[derive(Debug, Default)]
struct StreamText {
    bytes: Vec<u8>,
    is_done: bool,
    is_cancelled: bool,
}

/// The tokens of one request.
#[derive(Debug)]
pub(super) struct TokenStream {
    hash: u64,
    text: Mutex<StreamText>,
    changed: watch::Sender<()>,
    released: Semaphore,
}

impl TokenStream {
    pub(super) fn new(prompt: &[u8]) -> Arc<Self> {
        Arc::new(Self {
            hash: stable_hash(prompt),
            text: Mutex::default(),
            changed: watch::Sender::new(()),
            released: Semaphore::new(0),
        })
    }

    /// Writes the tokens; after `holds_after` of them it waits to be released.
    pub(super) async fn write(&self, tokens: u64, gap_ms: u64, holds_after: Option<u64>) {
        for number in 0..tokens {
            if holds_after == Some(number) {
                // Never closed, so it can only be released.
                let _ = self.released.acquire().await;
            }
            if lock(&self.text).is_cancelled {
                break;
            }
            let line = format!("data: {:016x} {number}\n\n", self.hash);
            lock(&self.text).bytes.extend_from_slice(line.as_bytes());
            self.changed.send_replace(());
            pause(gap_ms).await;
        }
        lock(&self.text).is_done = true;
        self.changed.send_replace(());
    }

    /// Sends the bytes from `from` on as they come, until they end or the reader leaves.
    pub(super) async fn read(self: Arc<Self>, from: usize, reader: mpsc::Sender<Bytes>) {
        let mut changed = self.changed.subscribe();
        let mut at = from;
        loop {
            changed.mark_unchanged();
            let (chunk, is_done) = {
                let text = lock(&self.text);
                let chunk = Bytes::copy_from_slice(text.bytes.get(at..).unwrap_or_default());
                (chunk, text.is_done)
            };
            at += chunk.len();
            if !chunk.is_empty() && reader.send(chunk).await.is_err() {
                return;
            }
            if is_done || changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Stops writing; returns whether there was anything left to write.
    pub(super) fn cancel(&self) -> bool {
        let mut text = lock(&self.text);
        let was_running = !text.is_done && !text.is_cancelled;
        text.is_cancelled = true;
        drop(text);
        self.released.add_permits(1);
        was_running
    }

    /// Lets a held stream go on.
    pub(super) fn release(&self) {
        self.released.add_permits(1);
    }
}
