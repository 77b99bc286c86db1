//! Token stream of a request: generated once, sent on any number of connections.

use std::sync::Arc;
use std::sync::Mutex;

use bytes::Bytes;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::platform::sleep_millis;
use crate::server::lock;
use ggt_core::ident::stable_hash;

/// Events generated so far.
#[derive(Debug, Default)]
struct StreamText {
    bytes: Vec<u8>,
    is_done: bool,
    is_cancelled: bool,
}

/// Token stream of one request.
#[derive(Debug)]
pub(super) struct TokenStream {
    /// Hash of the prompt; each event contains it.
    hash: u64,
    text: Mutex<StreamText>,
    changed: watch::Sender<()>,
    /// Gets a permit to continue a paused stream.
    release_permits: Semaphore,
}

impl TokenStream {
    pub(super) fn new(prompt: &[u8]) -> Arc<Self> {
        Arc::new(Self {
            hash: stable_hash(prompt),
            text: Mutex::default(),
            changed: watch::Sender::new(()),
            release_permits: Semaphore::new(0),
        })
    }

    /// Generates the tokens; pauses after `pause_after` of them until it is released or cancelled.
    pub(super) async fn generate(&self, tokens: u64, gap_ms: u64, pause_after: Option<u64>) {
        for number in 0..tokens {
            if pause_after == Some(number) {
                // Cannot fail: the semaphore is never closed.
                let _ = self.release_permits.acquire().await;
            }
            if lock(&self.text).is_cancelled {
                break;
            }
            let line = format!("data: {:016x} {number}\n\n", self.hash);
            lock(&self.text).bytes.extend_from_slice(line.as_bytes());
            self.changed.send_replace(());
            sleep_millis(gap_ms).await;
        }
        lock(&self.text).is_done = true;
        self.changed.send_replace(());
    }

    /// Sends the bytes from `from` on as they are generated, until the stream ends or the
    /// receiver is dropped.
    pub(super) async fn send_from(self: Arc<Self>, from: usize, chunks: mpsc::Sender<Bytes>) {
        let mut changed = self.changed.subscribe();
        let mut position = from;
        loop {
            changed.mark_unchanged();
            let (chunk, is_done) = {
                let text = lock(&self.text);
                let chunk = Bytes::copy_from_slice(text.bytes.get(position..).unwrap_or_default());
                (chunk, text.is_done)
            };
            position += chunk.len();
            if !chunk.is_empty() && chunks.send(chunk).await.is_err() {
                return;
            }
            if is_done || changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Stops the generation; returns whether it was still running.
    pub(super) fn cancel(&self) -> bool {
        let mut text = lock(&self.text);
        let was_running = !text.is_done && !text.is_cancelled;
        text.is_cancelled = true;
        drop(text);
        self.release_permits.add_permits(1);
        was_running
    }

    /// Lets a paused stream continue.
    pub(super) fn release(&self) {
        self.release_permits.add_permits(1);
    }
}
