//! Whether the process at a target's address is still the incarnation that its registration describes.
//!
//! A target that has ended may be back at once, under its id and with another version, before its registration says
//! so. A reply shows that a process is there, but not which one.

use crate::clock::MonoTime;
use crate::crashes::CrashId;
use crate::ident::mix_hash;
use crate::targets::TargetKey;
use crate::targets::TargetPool;
use crate::targets::TargetState;
use crate::versions::SoftwareVersion;

/// Milliseconds after the first reply from such a target after which it is asked for its start: a target that has
/// started anew has registered by then.
const CHECK_DELAY_MS: u64 = 2_000;
/// Milliseconds between two questions, if a target does not say it.
const CHECK_INTERVAL_MS: u64 = 10_000;
/// Hash that tells the version of an unknown incarnation from that of a target that names none.
const UNKNOWN_SEED: u64 = 0x75_6e_6b_6e;

/// What is known of the incarnation at a target's address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetLifetime {
    has_ended: bool,
    /// When the process that is there now is asked for its start, if it has replied.
    check_at: Option<MonoTime>,
}

impl TargetLifetime {
    /// Whether the registered incarnation has ended, as far as is known.
    pub const fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Records that the incarnation has ended.
    pub fn record_end(&mut self) {
        self.has_ended = true;
    }

    /// Records a reply from the target's address.
    pub fn record_reply(&mut self, now: MonoTime) {
        if self.has_ended {
            self.check_at.get_or_insert(now + CHECK_DELAY_MS);
        }
    }

    /// Records that the registered incarnation is there: the target has said so, or only this daemon was cut off.
    pub fn confirm(&mut self) {
        *self = Self::default();
    }
}

impl TargetState {
    /// Version of the software at the target's address: the registered one, or once that incarnation has ended, one
    /// that equals no other.
    pub fn version(&self) -> SoftwareVersion {
        let seed = mix_hash(self.record.incarnation, UNKNOWN_SEED);
        match self.lifetime.has_ended() {
            true => SoftwareVersion::unnamed(&self.record.id, seed),
            false => self.record.version,
        }
    }
}

impl TargetPool {
    /// Records that the incarnation of a target has ended; `true` if that was not known.
    pub fn record_end_of(&mut self, crash: CrashId) -> bool {
        let mut targets = self.targets.values_mut().filter(|state| state.crash_id() == crash);
        let Some(state) = targets.next().filter(|state| !state.lifetime.has_ended()) else {
            return false;
        };
        state.lifetime.record_end();
        true
    }

    /// Targets that have replied since their incarnation ended, and are to be asked for their start now.
    pub fn due_lifetime_checks(&mut self, now: MonoTime) -> Vec<TargetKey> {
        let is_due = |state: &TargetState| state.lifetime.check_at.is_some_and(|at| at <= now);
        let due = self.targets.iter_mut().filter(|(_, state)| is_due(state));
        due.map(|(key, state)| {
            state.lifetime.check_at = Some(now + CHECK_INTERVAL_MS);
            key
        })
        .collect()
    }

    /// Records that the registered incarnation of a target is there; `true` if it was taken to have ended.
    pub fn confirm_lifetime(&mut self, key: TargetKey) -> bool {
        let Some(state) = self.targets.get_mut(key) else { return false };
        let had_ended = state.lifetime.has_ended();
        state.lifetime.confirm();
        had_ended
    }
}
