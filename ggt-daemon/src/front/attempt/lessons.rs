//! Applies the outcome of each send to its target's health, and logs it.

use crate::clock::mono_now;
use crate::front::attempt::AttemptRun;
use crate::front::attempt::LossKind;
use crate::front::state::BLAME_MS;
use crate::front::state::CONNECT_WAIT;
use crate::logging::quoted;
use crate::upstream::TargetChannel;
use ggt_core::blame::DeathMark;
use ggt_core::clock::MonoTime;
use ggt_core::targets::SendOutcome;
use ggt_core::targets::TargetKey;

impl AttemptRun {
    /// Applies a target's statement that it did not run the request.
    ///
    /// A refusal counts against the target only if this daemon and its peers have fewer requests there
    /// than it has slots.
    pub(super) fn note_refused(&self, key: TargetKey, is_misdirected: bool) {
        if is_misdirected {
            // Another target has taken over the address.
            self.state.channels.forget(key);
            self.note_outcome(key, SendOutcome::Unreachable);
            return;
        }
        let is_idle = {
            let pool = self.state.pool.borrow();
            pool.target(key).is_some_and(|target| target.requests() < target.record.slots)
        };
        if is_idle {
            self.note_outcome(key, SendOutcome::Bad);
        }
    }

    /// Applies the failure of a request that may have run.
    pub(super) async fn note_lost(&self, key: TargetKey, cause: &str, kind: LossKind) {
        self.note_send(key, "lost", cause);
        self.note_outcome(key, SendOutcome::Bad);
        if kind == LossKind::Reset {
            self.find_death(key).await;
        }
    }

    /// Opens a new connection to find out whether the target crashed while it ran the request; if it
    /// refuses, the crash is recorded against the request's fingerprint.
    async fn find_death(&self, key: TargetKey) {
        let target = {
            let pool = self.state.pool.borrow();
            pool.target(key).map(|t| (t.record.address, t.place_hash, t.record.incarnation))
        };
        let Some((address, hash, incarnation)) = target else { return };
        let Err(e) = TargetChannel::open(address, CONNECT_WAIT).await else { return };
        self.note_outcome(key, SendOutcome::Unreachable);
        self.state.channels.forget(key);
        let print = self.job.print();
        let death = DeathMark::of(hash, incarnation);
        let expires_at = mono_now() + BLAME_MS;
        let is_news = self.state.blame.borrow_mut().note_death(print, death, expires_at);
        log::warn!(
            "event=crash request_id={} print={:016x} death={:016x} is_news={is_news} cause={}",
            quoted(&self.job.id),
            print.0,
            death.0,
            quoted(&e.to_string()),
        );
    }

    /// Applies an outcome to the target's health, and logs a hold-down that starts with it.
    pub(super) fn note_outcome(&self, key: TargetKey, outcome: SendOutcome) {
        let until = self.state.pool.borrow_mut().note_outcome(key, outcome, mono_now());
        if let Some(until) = until {
            self.log_hold(key, until);
        }
    }

    fn log_hold(&self, key: TargetKey, until: MonoTime) {
        let pool = self.state.pool.borrow();
        let Some(target) = pool.target(key) else { return };
        log::warn!(
            "event=hold target={} data_centre={} incarnation={} for_ms={} unreachable={} \
             bad_share={:.2}",
            target.record.id,
            target.record.data_centre,
            target.record.incarnation,
            until.millis_since(mono_now()),
            target.health.is_unreachable(),
            target.health.bad_share(),
        );
    }

    /// Counts and logs a send that brought no reply.
    pub(super) fn note_send(&self, key: TargetKey, outcome: &'static str, cause: &str) {
        self.state.metrics.note_send(outcome);
        let pool = self.state.pool.borrow();
        let id = pool.target(key).map_or("gone", |target| target.record.id.as_str());
        log::info!(
            "event=send request_id={} target={id} outcome={outcome} cause={} send={} after_ms={}",
            quoted(&self.job.id),
            quoted(cause),
            self.sends,
            mono_now().millis_since(self.job.received_at),
        );
    }
}
