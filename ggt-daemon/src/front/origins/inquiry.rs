//! Asks other daemons which version began a stream, by datagrams: a daemon that is at its limit accepts connections
//! late, and is asked for many streams at once after others were lost.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::front::origins::inquiries::OpenInquiry;
use crate::front::peers::fetch_origin;
use crate::front::state::FrontState;
use crate::logging::quoted;
use ggt_core::fleet::OriginCandidate;
use ggt_core::versions::BUSY_GRACE_MS;
use ggt_core::versions::OriginReply;
use ggt_core::versions::OriginVerdict;
use ggt_core::versions::ServiceKey;
use ggt_core::versions::StreamKey;
use ggt_core::versions::VersionState;
use ggt_core::versions::judge_replies;
use ggt_wire::origins::OriginQuestion;
use ggt_wire::origins::encode_question;

/// Time in which replies that have arrived are read.
const BUSY_GRACE: Duration = Duration::from_millis(BUSY_GRACE_MS);

/// Questions to other daemons about one stream, and the replies that have arrived.
pub(super) struct OriginInquiry {
    state: Rc<FrontState>,
    /// Its replies are `None` of daemons that could not be asked.
    open: OpenInquiry<Option<OriginReply>>,
    key: StreamKey,
    service: ServiceKey,
    asked: usize,
    /// Daemons that are still expected to reply.
    pending: BTreeMap<SocketAddr, OriginCandidate>,
    replies: Vec<OriginReply>,
}

impl OriginInquiry {
    pub(super) fn new(state: &Rc<FrontState>, key: StreamKey, service: ServiceKey) -> Self {
        Self {
            state: state.clone(),
            open: state.inquiries.open(),
            key,
            service,
            asked: 0,
            pending: BTreeMap::new(),
            replies: Vec::new(),
        }
    }

    /// Number of daemons that were asked.
    pub(super) const fn asked(&self) -> usize {
        self.asked
    }

    /// Number of daemons that have replied.
    pub(super) const fn replied(&self) -> usize {
        self.replies.len()
    }

    /// What the replies up to now show, to a daemon with this view of the service's versions.
    pub(super) fn verdict(&self, view: VersionState) -> OriginVerdict {
        judge_replies(&self.replies, self.asked, view)
    }

    /// Asks these daemons, and once more those that have been asked and have not replied. Waits until one of them
    /// knows the stream, all have replied, or this time has passed.
    pub(super) async fn ask(&mut self, candidates: &[OriginCandidate], wait: Duration) {
        let silent: Vec<_> = self.pending.values().copied().collect();
        let again = silent.iter().filter(|candidate| candidate.takes_datagrams);
        for candidate in again.chain(candidates) {
            self.send_question(*candidate).await;
        }
        self.asked += candidates.len();
        self.pending.extend(candidates.iter().map(|candidate| (candidate.address, *candidate)));
        if timeout(wait, self.collect()).await.is_err() {
            // Replies may have arrived while this daemon was busy. Beyond that, a daemon that does not reply in time
            // knows as little as one that has ended.
            let _ = timeout(BUSY_GRACE, self.collect()).await;
        }
    }

    async fn send_question(&self, candidate: OriginCandidate) {
        let peer = candidate.address;
        if !candidate.takes_datagrams {
            self.send_request(peer);
            return;
        }
        let question =
            OriginQuestion { number: self.open.number(), key: self.key, service: self.service };
        self.state.send_encoded(encode_question(&question), peer, "origin").await;
    }

    /// Asks a daemon of an earlier build.
    fn send_request(&self, peer: SocketAddr) {
        let (key, service, sender) = (self.key, self.service, self.open.sender.clone());
        spawn_local(async move {
            let reply = match fetch_origin(peer, key, service).await {
                Ok(reply) => Some(reply),
                Err(e) => {
                    log::info!("event=origin peer={peer} cause={}", quoted(&e.to_string()));
                    None
                }
            };
            // The inquiry may have ended.
            let _ = sender.send((peer, reply));
        });
    }

    async fn collect(&mut self) {
        while !self.pending.is_empty()
            && let Some((peer, reply)) = self.open.receiver.recv().await
        {
            if self.pending.remove(&peer).is_none() {
                continue;
            }
            self.replies.extend(reply);
            if reply.is_some_and(|reply| reply.version.is_some()) {
                return;
            }
        }
    }
}
