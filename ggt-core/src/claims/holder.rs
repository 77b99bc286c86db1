//! Holder of claims: grants each key to one attempt and stores the outcome.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use serde::Deserialize;
use serde::Serialize;

use crate::claims::AbstainReason;
use crate::claims::ActionKey;
use crate::claims::ActionOutcome;
use crate::claims::AttemptId;
use crate::claims::ClaimReply;
use crate::claims::ClaimRequest;
use crate::claims::EpochTracker;
use crate::claims::SettleRequest;
use crate::claims::holders_of;
use crate::clock::WallTime;
use crate::config::RosterSection;
use crate::ident::DaemonName;

/// Margin after a key's resend window for which its claim is still stored, as a multiple of the
/// maximum clock error.
const EXPIRY_MARGIN_CLOCK_ERRORS: u64 = 4;

/// Settings of a [`ClaimHolder`].
#[derive(Clone, Copy, Debug)]
pub struct HolderOptions {
    /// Milliseconds for which a key may be sent again.
    pub resend_window_ms: u64,
    /// Largest difference between any two wall clocks, in milliseconds.
    pub max_clock_error_ms: u64,
    /// Maximum number of stored claims.
    pub max_claims: usize,
    /// Maximum total size of stored reply bodies, in bytes.
    pub max_reply_bytes: usize,
}

/// Counts for metrics and status, from a [`ClaimHolder`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderStats {
    /// Claims stored.
    pub claims: usize,
    /// Granted claims without a reported outcome.
    pub pending: usize,
    /// Bytes of reply bodies stored.
    pub reply_bytes: usize,
    /// Requests answered with an abstention since the start.
    pub abstained_total: u64,
}

/// Whether a key was granted or sealed; either stays until the claim expires, except that the
/// granted attempt itself may turn its grant into a seal.
#[derive(Clone, Debug)]
enum ClaimState {
    Granted { attempt: AttemptId, outcome: Option<ActionOutcome> },
    Sealed,
}

#[derive(Clone, Debug)]
struct ClaimRecord {
    content_hash: u64,
    state: ClaimState,
    expires_at: WallTime,
}

/// The claims stored on one daemon.
#[derive(Clone, Debug)]
pub struct ClaimHolder {
    own_name: DaemonName,
    tracker: EpochTracker,
    claims: BTreeMap<ActionKey, ClaimRecord>,
    /// Total size of the stored reply bodies.
    reply_bytes: usize,
    /// Requests answered with an abstention since the start.
    abstained_total: u64,
}

impl ClaimHolder {
    /// A holder without claims, for a daemon that starts at `started_at`.
    pub fn new(own_name: DaemonName, started_at: WallTime) -> Self {
        let tracker = EpochTracker::new(own_name.clone(), started_at);
        let claims = BTreeMap::new();
        Self { own_name, tracker, claims, reply_bytes: 0, abstained_total: 0 }
    }

    /// Records the epoch that a daemon reported in reply to a query by this process.
    pub fn record_epoch(&mut self, name: &DaemonName, epoch: u64, now: WallTime) {
        self.tracker.record(name, epoch, now);
    }

    /// Whether `name` has reported, since this process started, that it has reached `epoch`.
    pub fn has_reached(&self, name: &DaemonName, epoch: u64) -> bool {
        self.tracker.has_reached(name, epoch)
    }

    /// Whether any daemon has reported an epoch above `epoch`.
    pub fn is_behind(&self, epoch: u64) -> bool {
        self.tracker.has_epoch_above(epoch)
    }

    /// Counts for metrics and status.
    pub fn stats(&self) -> HolderStats {
        let is_pending = |record: &&ClaimRecord| {
            matches!(record.state, ClaimState::Granted { outcome: None, .. })
        };
        HolderStats {
            claims: self.claims.len(),
            pending: self.claims.values().filter(is_pending).count(),
            reply_bytes: self.reply_bytes,
            abstained_total: self.abstained_total,
        }
    }

    /// Handles an attempt's request for a key.
    pub fn claim(
        &mut self,
        request: &ClaimRequest,
        roster: &RosterSection,
        options: &HolderOptions,
        now: WallTime,
    ) -> ClaimReply {
        if let Some(reply) = self.existing_reply(request, roster) {
            return reply;
        }
        if let Some(reason) = self.abstain_reason(request, roster, options, now) {
            return self.abstain(reason, roster);
        }
        let state = ClaimState::Granted { attempt: request.attempt.clone(), outcome: None };
        self.insert(request, state, options, now);
        ClaimReply::Granted
    }

    /// Seals a key at the request of an attempt that gave up: no attempt is granted it from now on.
    ///
    /// The attempt's own grant becomes a seal; another attempt's grant stays.
    pub fn seal(
        &mut self,
        request: &ClaimRequest,
        roster: &RosterSection,
        options: &HolderOptions,
        now: WallTime,
    ) -> ClaimReply {
        let existing = self.existing_reply(request, roster);
        match &existing {
            None | Some(ClaimReply::Granted | ClaimReply::Sealed) => (),
            Some(_) => return existing.unwrap_or(ClaimReply::Conflict),
        }
        // The roster may have changed since the key was sealed, so an existing seal passes the same
        // checks as a new one.
        if let Some(reason) = self.abstain_reason(request, roster, options, now)
            && (existing.is_none() || reason != AbstainReason::TableFull)
        {
            return self.abstain(reason, roster);
        }
        if let Some(record) = self.claims.get_mut(&request.key) {
            record.state = ClaimState::Sealed;
            return ClaimReply::Sealed;
        }
        self.insert(request, ClaimState::Sealed, options, now);
        ClaimReply::Sealed
    }

    /// Records the outcome of an attempt to which this holder granted its key.
    pub fn settle(&mut self, request: SettleRequest, options: &HolderOptions) {
        let Some(record) = self.claims.get_mut(&request.key) else { return };
        let ClaimState::Granted { attempt, outcome } = &mut record.state else { return };
        if *attempt != request.attempt || matches!(outcome, Some(ActionOutcome::Ran(_))) {
            return;
        }
        let mut settled = request.outcome;
        if settled == ActionOutcome::NotRun {
            record.state = ClaimState::Sealed;
            return;
        }
        if let ActionOutcome::Ran(reply) = &mut settled {
            let bytes = reply.body.as_ref().map_or(0, String::len);
            if self.reply_bytes + bytes > options.max_reply_bytes {
                reply.body = None;
            } else {
                self.reply_bytes += bytes;
            }
        }
        *outcome = Some(settled);
    }

    /// Drops claims whose keys are past their resend window.
    pub fn expire(&mut self, now: WallTime) {
        self.claims.retain(|_, record| now < record.expires_at);
        self.reply_bytes = self.claims.values().map(ClaimRecord::reply_bytes).sum();
    }

    /// The reply that follows from a stored claim on the key.
    fn existing_reply(&self, request: &ClaimRequest, roster: &RosterSection) -> Option<ClaimReply> {
        let record = self.claims.get(&request.key)?;
        if record.content_hash != request.content_hash {
            return Some(ClaimReply::Conflict);
        }
        Some(match &record.state {
            ClaimState::Sealed => ClaimReply::Sealed,
            // A grant counts towards a majority of the attempt's roster, so it is checked again
            // when the attempt repeats its request under another roster.
            ClaimState::Granted { attempt, outcome: None } if *attempt == request.attempt => {
                match self.has_same_holders(request, roster) {
                    true => ClaimReply::Granted,
                    false => ClaimReply::Abstain {
                        reason: AbstainReason::OtherRoster,
                        epoch: roster.epoch,
                    },
                }
            }
            ClaimState::Granted { attempt, outcome } => {
                ClaimReply::Held { attempt: attempt.clone(), outcome: outcome.clone() }
            }
        })
    }

    /// Whether this daemon is a holder of the key under the active roster, and the attempt's roster
    /// gives the key the same holders.
    fn has_same_holders(&self, request: &ClaimRequest, roster: &RosterSection) -> bool {
        let hash = request.key.hash();
        let current = holders_of(roster, roster.epoch, hash);
        request.epoch <= roster.epoch
            && current.contains(&self.own_name)
            && (request.epoch == roster.epoch
                || current.is_same(&holders_of(roster, request.epoch, hash)))
    }

    fn abstain_reason(
        &self,
        request: &ClaimRequest,
        roster: &RosterSection,
        options: &HolderOptions,
        now: WallTime,
    ) -> Option<AbstainReason> {
        if request.epoch > roster.epoch || self.tracker.has_epoch_above(roster.epoch) {
            return Some(AbstainReason::Behind);
        }
        if !self.has_same_holders(request, roster) {
            return Some(AbstainReason::OtherRoster);
        }
        let Some(ready_from) = self.tracker.ready_from(roster, request.key.hash()) else {
            return Some(AbstainReason::Recovering);
        };
        let skew_ms = options.max_clock_error_ms;
        match request.key.minted_at {
            Some(at) if at > now + skew_ms || at + options.resend_window_ms + skew_ms < now => {
                return Some(AbstainReason::Expired);
            }
            // A key granted before `ready_from` was created at most one clock error ahead of the
            // granting holder's clock, which itself was off by at most one more.
            Some(at) if at <= ready_from + 2 * skew_ms => return Some(AbstainReason::Recovering),
            None if now <= ready_from + options.resend_window_ms + 2 * skew_ms => {
                return Some(AbstainReason::Recovering);
            }
            _ => (),
        }
        (self.claims.len() >= options.max_claims).then_some(AbstainReason::TableFull)
    }

    fn abstain(&mut self, reason: AbstainReason, roster: &RosterSection) -> ClaimReply {
        self.abstained_total += 1;
        ClaimReply::Abstain { reason, epoch: roster.epoch }
    }

    fn insert(
        &mut self,
        request: &ClaimRequest,
        state: ClaimState,
        options: &HolderOptions,
        now: WallTime,
    ) {
        let window_start = request.key.minted_at.unwrap_or(now).max(now);
        let retention_ms =
            options.resend_window_ms + EXPIRY_MARGIN_CLOCK_ERRORS * options.max_clock_error_ms;
        let record = ClaimRecord {
            content_hash: request.content_hash,
            state,
            expires_at: window_start + retention_ms,
        };
        if let Entry::Vacant(slot) = self.claims.entry(request.key.clone()) {
            slot.insert(record);
        }
    }
}

impl ClaimRecord {
    fn reply_bytes(&self) -> usize {
        match &self.state {
            ClaimState::Granted { outcome: Some(ActionOutcome::Ran(reply)), .. } => {
                reply.body.as_ref().map_or(0, String::len)
            }
            _ => 0,
        }
    }
}
