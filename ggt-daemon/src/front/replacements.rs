//! Targets at whose address another instance replied, to this daemon or to a peer.

use crate::clock::mono_now;
use crate::front::state::FrontState;
use ggt_core::fleet::PeerDigest;
use ggt_core::targets::TargetKey;

impl FrontState {
    /// Records that another instance replied at a target's address, and has peers told at once if that is news.
    pub fn record_replacement(&self, key: TargetKey) {
        if self.apply_replacement(key, true, "reply") {
            self.digest_requested.notify_one();
        }
    }

    /// Applies what a peer was told by other instances.
    pub fn apply_peer_replacements(&self, digest: &PeerDigest) {
        for target in &digest.replaced {
            let key = self.pool.borrow().by_short_hash(*target);
            if let Some(key) = key {
                self.apply_replacement(key, false, "peer");
            }
        }
    }

    fn apply_replacement(&self, key: TargetKey, is_own: bool, source: &str) -> bool {
        let is_news = self.pool.borrow_mut().record_replacement(key, is_own, mono_now());
        if !is_news {
            return false;
        }
        self.connections.close_idle(key);
        let pool = self.pool.borrow();
        let Some(target) = pool.target(key) else { return false };
        log::info!(
            "event=target target={} status=replaced data_centre={} source={source} in_flight={}",
            target.record.id,
            target.record.data_centre,
            target.own.requests,
        );
        true
    }
}
