//! Targets that state in their replies that they leave.

use crate::clock::mono_now;
use crate::front::state::FrontState;
use ggt_core::targets::TargetKey;

impl FrontState {
    /// Applies a target's statement that it leaves: it gets no new requests from now on, whatever its
    /// registration says, and its idle connections are closed.
    pub fn record_target_leaving(&self, key: TargetKey) {
        if !self.pool.borrow_mut().record_leaving(key, mono_now()) {
            return;
        }
        self.connections.close_idle(key);
        let pool = self.pool.borrow();
        let Some(target) = pool.target(key) else { return };
        log::info!(
            "event=target target={} status=leaving software={} source=reply in_flight={}",
            target.record.id,
            target.record.version,
            target.own.requests,
        );
    }

    /// Whether a target leaves, or is gone.
    pub fn is_leaving(&self, key: TargetKey) -> bool {
        self.pool.borrow().target(key).is_none_or(|target| target.record.is_leaving)
    }
}
