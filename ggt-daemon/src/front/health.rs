//! Applies outcomes of sends to the health of targets, and logs hold-downs.

use crate::clock::mono_now;
use crate::front::state::FrontState;
use ggt_core::clock::MonoTime;
use ggt_core::targets::SendOutcome;
use ggt_core::targets::TargetKey;

impl FrontState {
    /// Applies an outcome to the target's health, and logs a hold-down that starts with it.
    pub fn record_outcome(&self, key: TargetKey, outcome: SendOutcome) {
        let held_until = self.pool.borrow_mut().record_outcome(key, outcome, mono_now());
        if let Some(held_until) = held_until {
            self.log_hold_down(key, held_until);
        }
        if matches!(outcome, SendOutcome::Unreachable | SendOutcome::Unresponsive) {
            self.doubt_lifetime(key, mono_now(), "connection");
            self.record_connect_failure(key, outcome);
        }
    }

    fn log_hold_down(&self, key: TargetKey, held_until: MonoTime) {
        let pool = self.pool.borrow();
        let Some(target) = pool.target(key) else { return };
        log::warn!(
            "event=hold target={} data_centre={} incarnation={} for_ms={} unreachable={} \
             bad_share={:.2}",
            target.record.id,
            target.record.data_centre,
            target.record.incarnation,
            held_until.millis_since(mono_now()),
            target.health.is_unreachable(),
            target.health.bad_share(),
        );
    }
}
