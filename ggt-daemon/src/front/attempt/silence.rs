//! When a request leaves a silent target for another one.

use std::time::Duration;

use tokio::time::sleep;

use crate::clock::mono_now;
use crate::front::attempt::RetryDenial;
use crate::front::attempt::UpstreamAttempts;
use crate::logging::quoted;
use ggt_core::clock::MonoTime;
use ggt_core::silence::MAX_SOUND_SILENCE_MS;
use ggt_core::silence::ReplyStage;
use ggt_core::silence::SilenceLimit;
use ggt_core::targets::ChoiceQuery;
use ggt_core::targets::SendOutcome;
use ggt_core::targets::TargetKey;

/// Interval between checks for a silent target.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The same while no other target can take the request.
const DENIED_INTERVAL: Duration = Duration::from_millis(200);

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
        let stayed_since = self.stayed_since.take();
        let silent_since = stayed_since.unwrap_or_else(mono_now);
        let limit = SilenceLimit::new(stage, route.goal_ms, route.max_gap_ms);
        let mut last_denial = stayed_since.map(|_| RetryDenial::NoTarget);
        loop {
            sleep(if last_denial.is_some() { DENIED_INTERVAL } else { CHECK_INTERVAL }).await;
            if !self.is_silent_for_too_long(stage, limit, silent_since) {
                continue;
            }
            let Err(denial) = self.reserve_move(silent_since).await else {
                self.log_silence(silent_since, "moved", "-");
                return;
            };
            if last_denial != Some(denial) {
                self.log_silence(silent_since, "waiting", denial.as_str());
            }
            if last_denial.replace(denial).is_none() {
                self.record_silence();
            }
            self.probe_target().await;
            let silent_ms = mono_now().millis_since(silent_since);
            if silent_ms >= MAX_SOUND_SILENCE_MS && self.has_target_ended() {
                return;
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
        let now = mono_now();
        let cannot_reply = self.has_target_ended() || self.is_cut_silent();
        if now >= silent_since + limit.ended_ms && cannot_reply {
            return true;
        }
        // A target that replies to other requests is busy with the prompt rather than hung.
        let is_awaiting_prompt = stage == ReplyStage::Head && self.job.route.is_stream;
        let last_reply_at = match self.state.pool.borrow().target(target.key) {
            Some(state) if is_awaiting_prompt => state.last_reply_at,
            _ => silent_since,
        };
        now >= silent_since.max(last_reply_at) + limit.sound_ms
    }

    /// Reserves a retry at another target that can take the request now and accepts a connection.
    async fn reserve_move(&self, silent_since: MonoTime) -> Result<(), RetryDenial> {
        if let Some(denial) = self.retry_denial() {
            return Err(denial);
        }
        // Whether the silent target has crashed decides whether the request may be sent at all.
        let may_be_decisive =
            self.state.is_next_crash_decisive(&self.job) && !self.has_target_ended();
        if may_be_decisive || self.state.is_suspected(&self.job) {
            return Err(RetryDenial::Crashing);
        }
        if self.is_cut_silent() {
            if !self.state.try_retry(&self.job.service) {
                return Err(RetryDenial::Budget);
            }
            self.has_reserved_forward.set(true);
            return Ok(());
        }
        let settings = self.state.settings();
        let query = ChoiceQuery {
            may_have_run: false,
            silent_since: Some(silent_since),
            ..self.query(&settings)
        };
        let chosen = self.state.pool.borrow().choose(&query, mono_now());
        let choice = chosen.map_err(|_| RetryDenial::NoTarget)?;
        self.connect_ahead(choice.key).await?;
        if !self.state.try_retry(&self.job.service) {
            return Err(RetryDenial::Budget);
        }
        self.moving_since.set(Some(silent_since));
        Ok(())
    }

    /// Whether this daemon is cut off from the service, kept connections bring nothing either, and a peer
    /// can take the request.
    fn is_cut_silent(&self) -> bool {
        self.state.is_cut_silent(&self.job.service) && self.can_forward()
    }

    /// Opens a connection to the next target, for the send that follows, so that the reply of the silent
    /// one is not given up for a target that is silent as well.
    async fn connect_ahead(&self, key: TargetKey) -> Result<(), RetryDenial> {
        let address = self.state.pool.borrow().target(key).map(|target| target.record.address);
        let address = address.ok_or(RetryDenial::NoTarget)?;
        match self.state.connect_target(key, address).await {
            Ok(connection) => {
                self.state.connections.keep(key, connection, None);
                Ok(())
            }
            Err(e) => {
                self.state.record_outcome(key, e.outcome());
                Err(RetryDenial::NoTarget)
            }
        }
    }

    /// Counts the silence against the target, whose requests cannot leave it.
    pub(super) fn record_silence(&self) {
        if let Some(target) = self.sent_target {
            self.state.record_outcome(target.key, SendOutcome::Bad);
        }
    }

    pub(super) fn log_silence(&self, silent_since: MonoTime, outcome: &'static str, cause: &str) {
        let pool = self.state.pool.borrow();
        let target = self.sent_target.and_then(|target| pool.target(target.key));
        log::info!(
            "event=silent request_id={} target={} unreachable={} silent_ms={} outcome={outcome} cause={}",
            quoted(&self.job.id),
            target.map_or("gone", |state| state.record.id.as_str()),
            target.is_none_or(|state| state.health.is_unreachable()),
            mono_now().millis_since(silent_since),
            quoted(cause),
        );
    }
}
