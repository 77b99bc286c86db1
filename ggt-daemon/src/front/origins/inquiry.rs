//! Asks other daemons which version began a stream.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::front::peers::fetch_origin;
use crate::logging::quoted;
use ggt_core::versions::OriginReply;
use ggt_core::versions::OriginVerdict;
use ggt_core::versions::ServiceKey;
use ggt_core::versions::StreamKey;
use ggt_core::versions::VersionState;
use ggt_core::versions::judge_replies;

/// Questions to other daemons about one stream, and the replies that have arrived.
pub(super) struct OriginInquiry {
    key: StreamKey,
    service: ServiceKey,
    /// Each daemon's reply, or `None` if it could not be asked.
    sender: UnboundedSender<Option<OriginReply>>,
    receiver: UnboundedReceiver<Option<OriginReply>>,
    asked: usize,
    /// Daemons that are still expected to reply.
    pending: usize,
    replies: Vec<OriginReply>,
}

impl OriginInquiry {
    pub(super) fn new(key: StreamKey, service: ServiceKey) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        Self { key, service, sender, receiver, asked: 0, pending: 0, replies: Vec::new() }
    }

    /// Number of daemons that were asked.
    pub(super) fn asked(&self) -> usize {
        self.asked
    }

    /// Number of daemons that have replied.
    pub(super) fn replied(&self) -> usize {
        self.replies.len()
    }

    /// What the replies up to now show, to a daemon with this view of the service's versions.
    pub(super) fn verdict(&self, view: VersionState) -> OriginVerdict {
        judge_replies(&self.replies, self.asked, view)
    }

    /// Asks these daemons too, and waits until one that has been asked knows the stream, all have replied, or this
    /// time has passed.
    pub(super) async fn ask(&mut self, peers: &[SocketAddr], wait: Duration) {
        peers.iter().for_each(|peer| self.send_question(*peer));
        // A daemon that does not reply in time knows as little as one that has ended.
        let _ = timeout(wait, self.collect()).await;
    }

    fn send_question(&mut self, peer: SocketAddr) {
        self.asked += 1;
        self.pending += 1;
        let (key, service, sender) = (self.key, self.service, self.sender.clone());
        spawn_local(async move {
            let reply = match fetch_origin(peer, key, service).await {
                Ok(reply) => Some(reply),
                Err(e) => {
                    log::info!("event=origin peer={peer} cause={}", quoted(&e.to_string()));
                    None
                }
            };
            // The receiver may have stopped waiting.
            let _ = sender.send(reply);
        });
    }

    async fn collect(&mut self) {
        while self.pending > 0
            && let Some(reply) = self.receiver.recv().await
        {
            self.pending -= 1;
            self.replies.extend(reply);
            if reply.is_some_and(|reply| reply.version.is_some()) {
                return;
            }
        }
    }
}
