//! Applies what a target states about itself in the head of a reply.

use crate::clock::mono_now;
use crate::front::attempt::UpstreamAttempts;
use crate::logging::quoted;
use ggt_core::clock::MonoTime;
use ggt_core::targets::ColdStartStatement;
use ggt_core::targets::TargetKey;
use ggt_platform::ReplyHeaders;

impl UpstreamAttempts {
    /// Applies what a target states in its reply to this request, which was sent at `sent_at`. A statement of
    /// another instance says nothing about the target.
    pub(super) fn apply_statements(
        &self,
        key: TargetKey,
        sent_at: MonoTime,
        headers: &ReplyHeaders,
    ) {
        if headers.is_misdirected {
            return;
        }
        self.state.apply_rate_header(key, headers.rate_limit, sent_at);
        self.state.apply_fragility_header(key, headers);
        self.apply_cold_start_header(key, headers.cold_start);
        if headers.is_leaving {
            self.state.record_target_leaving(key);
        }
        if headers.is_retry_after_malformed {
            log::debug!("event=closed request_id={} outcome=malformed", quoted(&self.job.id));
        }
        if let Some(delay_ms) = headers.retry_after_ms {
            self.close_target(key, delay_ms);
        }
    }

    fn apply_cold_start_header(&self, key: TargetKey, statement: ColdStartStatement) {
        if statement == ColdStartStatement::Absent {
            return;
        }
        let id = self.state.pool.borrow().target(key).map(|target| target.record.id.clone());
        if id.is_some_and(|id| self.state.apply_cold_start(&id, statement, "reply")) {
            self.state.update_rate_shares();
        }
    }

    /// Leaves a target out until it takes requests again.
    fn close_target(&self, key: TargetKey, delay_ms: u64) {
        let now = mono_now();
        let Some(opens_at) = self.state.pool.borrow_mut().close_target(key, delay_ms, now) else {
            return;
        };
        let pool = self.state.pool.borrow();
        let Some(target) = pool.target(key) else { return };
        log::info!(
            "event=closed target={} for_ms={} own={}",
            target.record.id,
            opens_at.millis_since(now),
            target.own.requests,
        );
    }
}
