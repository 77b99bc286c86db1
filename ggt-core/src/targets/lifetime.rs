//! Whether the process at a target's address is still the incarnation that its registration describes.
//!
//! A target that has ended may be back at once, under its id and with another version, before its registration says
//! so. A connection that is accepted, or a reply, shows that a process is there, but not which one: only the target's own
//! word does, the start that it states.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::MonoTime;
use crate::crashes::CrashId;
use crate::fleet::EndReport;
use crate::ident::mix_hash;
use crate::targets::TargetKey;
use crate::targets::TargetPool;
use crate::targets::TargetState;
use crate::versions::SoftwareVersion;

/// Milliseconds after the first connection or reply of a target after which it is asked for its start if no stream needs
/// it before: one that has started anew has registered by then, and a cut has ended for other daemons, too.
const CHECK_DELAY_MS: u64 = 2_000;
/// Milliseconds between two questions, if a target that is known to have ended does not say it.
const CHECK_INTERVAL_MS: u64 = 10_000;
/// Milliseconds for which other daemons are told that a target has ended.
const REPORT_MS: u64 = 3_000;
/// Hash that tells the version of an unknown incarnation from that of a target that names none.
const UNKNOWN_SEED: u64 = 0x75_6e_6b_6e;

/// What a target says of its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatedStart {
    /// It is the registered incarnation.
    Registered,
    /// It is another one.
    Another,
    /// It does not say.
    Unstated,
}

impl StatedStart {
    /// The statement as written in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Registered => "registered",
            Self::Another => "another",
            Self::Unstated => "unstated",
        }
    }
}

/// Whether the registered incarnation is there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LifetimeState {
    /// Nothing speaks against it.
    #[default]
    Assumed,
    /// It may have ended: the target accepted no connection, or another daemon says so.
    Doubted,
    /// It has ended.
    Ended,
}

/// What is known of the incarnation at a target's address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetLifetime {
    state: LifetimeState,
    /// When something last spoke against the registered incarnation.
    doubted_at: MonoTime,
    /// When the target was last asked and said that it is there.
    confirmed_at: MonoTime,
    /// When the process that is there now is asked for its start, if it has replied.
    check_at: Option<MonoTime>,
    /// Until when other daemons are told of the end.
    reported_until: MonoTime,
}

impl TargetLifetime {
    /// Whether the registered incarnation has ended, as far as is known.
    pub fn has_ended(&self) -> bool {
        self.state == LifetimeState::Ended
    }

    /// Whether it may have ended.
    pub fn is_doubted(&self) -> bool {
        self.state == LifetimeState::Doubted
    }

    /// Whether the target has said since this time that it is the registered incarnation, and nothing has spoken against
    /// it since then.
    pub fn is_confirmed_since(&self, time: MonoTime) -> bool {
        self.state == LifetimeState::Assumed && self.confirmed_at >= time
    }

    /// When something last spoke against the registered incarnation.
    pub const fn doubted_at(&self) -> MonoTime {
        self.doubted_at
    }

    /// Records that the incarnation has ended.
    pub fn record_end(&mut self, now: MonoTime) {
        self.state = LifetimeState::Ended;
        self.doubted_at = now;
        self.check_at = None;
        self.reported_until = now + REPORT_MS;
    }

    /// Records that the incarnation may have ended at `doubted_at`.
    pub fn record_doubt(&mut self, doubted_at: MonoTime) {
        if doubted_at <= self.confirmed_at {
            return;
        }
        self.doubted_at = self.doubted_at.max(doubted_at);
        if !self.has_ended() {
            self.state = LifetimeState::Doubted;
            self.check_at = None;
        }
    }

    /// Records that the daemon was cut off from the target, which may explain what looked like its end.
    pub fn record_regained(&mut self, now: MonoTime) {
        if self.has_ended() {
            self.state = LifetimeState::Doubted;
            self.check_at = Some(now + CHECK_DELAY_MS);
        }
    }

    /// Records that a process at the target's address accepted a connection.
    pub fn record_accept(&mut self, now: MonoTime) {
        if self.is_doubted() {
            self.check_at.get_or_insert(now + CHECK_DELAY_MS);
        }
    }

    /// Records a reply from the target's address.
    pub fn record_reply(&mut self, now: MonoTime) {
        if self.state != LifetimeState::Assumed {
            self.check_at.get_or_insert(now + CHECK_DELAY_MS);
        }
    }

    /// Applies what the target said of its start when it was asked at `asked_at`; `true` if its incarnation is known to
    /// be there by that, and was not before.
    ///
    /// A target that does not say it keeps the benefit of a doubt, but not of its end.
    pub fn apply_start(&mut self, start: StatedStart, asked_at: MonoTime) -> bool {
        let is_there = match start {
            StatedStart::Registered => self.state != LifetimeState::Assumed,
            StatedStart::Unstated => self.is_doubted(),
            StatedStart::Another => false,
        };
        if start == StatedStart::Registered {
            self.confirmed_at = self.confirmed_at.max(asked_at);
        }
        let is_confirmed = is_there && self.doubted_at <= asked_at;
        if is_confirmed {
            let confirmed_at = self.confirmed_at.max(asked_at);
            *self = Self { confirmed_at, ..Self::default() };
        }
        is_confirmed
    }

    /// Whether the target is to be asked for its start now; it then counts as asked.
    fn begin_check(&mut self, now: MonoTime) -> bool {
        let is_due = self.check_at.is_some_and(|at| at <= now);
        if is_due {
            self.check_at = self.has_ended().then_some(now + CHECK_INTERVAL_MS);
        }
        is_due
    }
}

impl TargetState {
    /// Version of the software at the target's address: the registered one, or unless that incarnation is taken to be
    /// there, one that equals no other.
    pub fn version(&self) -> SoftwareVersion {
        match self.lifetime.state {
            LifetimeState::Assumed => self.record.version,
            LifetimeState::Doubted | LifetimeState::Ended => self.unknown_version(),
        }
    }

    /// The version that the target has unless its incarnation has ended without anybody knowing it.
    pub fn likely_version(&self) -> SoftwareVersion {
        match self.lifetime.state {
            LifetimeState::Assumed | LifetimeState::Doubted => self.record.version,
            LifetimeState::Ended => self.unknown_version(),
        }
    }

    /// The version of what is at the target's address while it is not known to be the registered incarnation.
    fn unknown_version(&self) -> SoftwareVersion {
        SoftwareVersion::unnamed(&self.record.id, mix_hash(self.record.incarnation, UNKNOWN_SEED))
    }
}

impl TargetPool {
    /// Records that the incarnation of a target has ended; `true` if that was not known.
    pub fn record_end_of(&mut self, crash: CrashId, now: MonoTime) -> bool {
        let mut targets = self.targets.values_mut().filter(|state| state.crash_id() == crash);
        let Some(state) = targets.next().filter(|state| !state.lifetime.has_ended()) else {
            return false;
        };
        state.lifetime.record_end(now);
        true
    }

    /// Records that the incarnation of a target may have ended at `doubted_at`; `true` if that is news.
    pub fn record_doubt(&mut self, key: TargetKey, doubted_at: MonoTime) -> bool {
        let Some(state) = self.targets.get_mut(key) else { return false };
        let before = state.lifetime.state;
        state.lifetime.record_doubt(doubted_at);
        state.lifetime.state != before
    }

    /// Records that a target accepted a connection.
    pub fn record_accept(&mut self, key: TargetKey, now: MonoTime) {
        if let Some(state) = self.targets.get_mut(key) {
            state.lifetime.record_accept(now);
        }
    }

    /// Targets that have replied or accepted a connection since their incarnation was doubted or ended, and are to be
    /// asked for their start now.
    pub fn due_lifetime_checks(&mut self, now: MonoTime) -> Vec<TargetKey> {
        let due = self
            .targets
            .iter_mut()
            .filter_map(|(key, state)| state.lifetime.begin_check(now).then_some(key));
        due.collect()
    }

    /// The target at which streams of this version began while it was not known which incarnation is there. If that turns
    /// out to be the registered one, their version is the registered one, too.
    pub fn target_of_unknown_version(
        &self,
        service: &str,
        version: SoftwareVersion,
    ) -> Option<TargetKey> {
        let mut keys = self.of_service(service).iter().copied();
        keys.find(|key| {
            self.target(*key).is_some_and(|state| {
                !state.lifetime.has_ended() && state.unknown_version() == version
            })
        })
    }

    /// Targets that may serve a stream of this version if their incarnations are still there; none if others are known
    /// to.
    pub fn doubted_targets(
        &self,
        service: &str,
        version: SoftwareVersion,
        tried: &[TargetKey],
    ) -> Vec<TargetKey> {
        let untried = self.of_service(service).iter().filter(|key| !tried.contains(key));
        let targets = untried.filter_map(|key| self.target(*key).map(|state| (*key, state)));
        let staying = targets.filter(|(_, state)| !state.record.is_leaving);
        let of_version: Vec<_> =
            staying.filter(|(_, state)| state.likely_version() == version).collect();
        let is_sure =
            |state: &TargetState| !state.lifetime.is_doubted() && !state.health.is_unreachable();
        if of_version.iter().any(|(_, state)| is_sure(state)) {
            return Vec::new();
        }
        let doubted = of_version.iter().filter(|(_, state)| state.lifetime.is_doubted());
        doubted.map(|(key, _)| *key).collect()
    }

    /// Applies what a target said of its start when it was asked at `asked_at`; `true` if its incarnation is known to be
    /// there by that, and was not before.
    pub fn apply_start(&mut self, key: TargetKey, start: StatedStart, asked_at: MonoTime) -> bool {
        let state = self.targets.get_mut(key);
        state.is_some_and(|state| state.lifetime.apply_start(start, asked_at))
    }

    /// The ends of targets that other daemons are to be told of.
    pub fn end_reports(&self, now: MonoTime) -> impl Iterator<Item = EndReport> {
        let ended = self
            .targets
            .values()
            .filter(move |state| state.lifetime.has_ended() && now < state.lifetime.reported_until);
        ended.map(move |state| {
            let age_ms = now.millis_since(state.lifetime.doubted_at);
            EndReport {
                target: state.short_hash,
                age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            }
        })
    }
}
