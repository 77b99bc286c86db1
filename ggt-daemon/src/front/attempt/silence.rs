//! When a request leaves a silent target for another one.

use std::time::Duration;

use tokio::time::sleep;

use crate::clock::mono_now;
use crate::front::attempt::RetryDenial;
use crate::front::attempt::UpstreamAttempts;
use crate::logging::quoted;
use ggt_core::clock::MonoTime;
use ggt_core::silence::ReplyStage;
use ggt_core::silence::SilenceLimit;
use ggt_core::targets::ChoiceQuery;

/// Interval between checks for a silent target.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Milliseconds between probes of a silent target while no other can take its request.
const PROBE_INTERVAL_MS: u64 = 500;

impl UpstreamAttempts {
    /// Returns once the target of the last send has been silent for so long that the request should
    /// go on at another one, and another one can take it; a retry is then reserved. If none can, the
    /// reply is only given up when the target turns out to have ended, since it may be sound. Never
    /// returns if the request must not run twice.
    pub async fn wait_for_move(&self, stage: ReplyStage) {
        let route = &self.job.route;
        if !route.is_idempotent {
            return std::future::pending().await;
        }
        let silent_since = mono_now();
        let limit = SilenceLimit::new(stage, route.goal_ms, route.max_gap_ms);
        let (mut logged_denial, mut probe_at) = (None, silent_since);
        loop {
            sleep(CHECK_INTERVAL).await;
            if !self.is_silent_for_too_long(stage, limit, silent_since) {
                continue;
            }
            let denial = self.reserve_move(silent_since).err();
            if denial != logged_denial || denial.is_none() {
                self.log_silence(silent_since, denial);
                logged_denial = denial;
            }
            if denial.is_none() || self.has_target_ended() {
                return;
            }
            if mono_now() >= probe_at {
                self.probe_target().await;
                probe_at = mono_now() + PROBE_INTERVAL_MS;
            }
        }
    }

    fn is_silent_for_too_long(
        &self,
        stage: ReplyStage,
        limit: SilenceLimit,
        silent_since: MonoTime,
    ) -> bool {
        let Some(target) = self.sent_target else { return false };
        let silent_ms = mono_now().millis_since(silent_since);
        if silent_ms >= limit.ended_ms && self.has_target_ended() {
            return true;
        }
        // A target that has replied to other requests since is busy with the prompt rather than hung.
        let is_busy = stage == ReplyStage::Head && self.job.route.is_stream && {
            let pool = self.state.pool.borrow();
            pool.target(target.key).is_some_and(|state| state.last_reply_at > silent_since)
        };
        silent_ms >= limit.sound_ms && !is_busy
    }

    /// Reserves a retry at another target that can take the request now.
    fn reserve_move(&self, silent_since: MonoTime) -> Result<(), RetryDenial> {
        if let Some(denial) = self.retry_denial() {
            return Err(denial);
        }
        if self.state.is_suspected(&self.job) {
            return Err(RetryDenial::Crashing);
        }
        let settings = self.state.settings();
        let query = ChoiceQuery {
            may_have_run: false,
            silent_since: Some(silent_since),
            ..self.query(&settings)
        };
        let chosen = self.state.pool.borrow().choose(&query, mono_now());
        if chosen.is_err() {
            return Err(RetryDenial::NoTarget);
        }
        if !self.state.try_retry(&self.job.service) {
            return Err(RetryDenial::Budget);
        }
        self.moving_since.set(Some(silent_since));
        Ok(())
    }

    fn log_silence(&self, silent_since: MonoTime, denial: Option<RetryDenial>) {
        let pool = self.state.pool.borrow();
        let target = self.sent_target.and_then(|target| pool.target(target.key));
        log::info!(
            "event=silent request_id={} target={} unreachable={} silent_ms={} outcome={} cause={}",
            quoted(&self.job.id),
            target.map_or("gone", |state| state.record.id.as_str()),
            target.is_none_or(|state| state.health.is_unreachable()),
            mono_now().millis_since(silent_since),
            if denial.is_some() { "waiting" } else { "moved" },
            denial.map_or("-", RetryDenial::as_str),
        );
    }
}
