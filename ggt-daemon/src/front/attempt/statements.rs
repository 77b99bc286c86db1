//! Applies what a target states about itself in the head of a reply.

use crate::front::attempt::UpstreamAttempts;
use ggt_core::clock::MonoTime;
use ggt_core::targets::TargetKey;
use ggt_platform::ReplyHeaders;

impl UpstreamAttempts {
    /// Applies what a target states in its reply to a request that was sent at `sent_at`. A statement of
    /// another instance, or in a reply to another request, says nothing about the target.
    pub(super) fn apply_statements(
        &self,
        key: TargetKey,
        sent_at: MonoTime,
        headers: &ReplyHeaders,
    ) {
        let id = headers.attempt_id.as_ref();
        if headers.is_misdirected || id.is_some_and(|id| *id != self.job.id) {
            return;
        }
        if id.is_some() {
            self.state.apply_rate_header(key, headers.rate_limit, sent_at);
        }
        if headers.is_leaving {
            self.state.record_target_leaving(key);
        }
    }
}
