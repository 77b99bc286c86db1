//! Whether a target may get a request now: one answer for all reasons that forbid it for some time.
//!
//! Health, reachability and capacity are separate questions: they rank targets that may get requests.

use crate::clock::MonoTime;
use crate::targets::ChoiceQuery;
use crate::targets::TargetKey;
use crate::targets::TargetPool;
use crate::targets::TargetState;
use crate::targets::fragile::has_place;

/// Why a target may not get a request. If the targets of a service are denied for different reasons, the last
/// one in this order is that of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DenialReason {
    /// It has turned a request away and wants none for some time.
    Closed,
    /// It has got as many requests as it takes.
    RateLimited,
    /// It is fragile and has as many requests in flight as this daemon may send.
    Fragile,
}

/// A denial of access to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccessDenial {
    /// Why.
    pub reason: DenialReason,
    /// When it ends; `None` if that depends on other requests or daemons.
    pub ends_at: Option<MonoTime>,
}

/// The requests of one service and priority for which access is checked.
#[derive(Clone, Copy, Debug)]
pub(super) struct AccessQuery {
    /// Number of more urgent priorities with recent requests for the service.
    pub more_urgent: u32,
    /// Whether the service's targets fall over when they turn away too many requests.
    pub is_fragile: bool,
}

/// When a target takes a request again, by its statements alone; `None` if this daemon sends it none.
pub(super) fn opens_at(state: &TargetState, more_urgent: u32, now: MonoTime) -> Option<MonoTime> {
    let open_at = state.rate.open_at(more_urgent, now)?;
    Some(open_at.max(state.closing.opens_at()))
}

impl TargetPool {
    /// Whether a request that was sent to a target before may be sent there a second time.
    pub fn may_resend(&self, key: TargetKey, now: MonoTime) -> bool {
        let is_cold_and_full = |state: &TargetState| {
            state.rate.cold_start.limit(now).is_some()
                && state.rate.open_at(0, now).is_none_or(|open_at| now < open_at)
        };
        self.target(key).is_some_and(|state| {
            !self.is_evacuated(state) && !state.closing.is_closed(now) && !is_cold_and_full(state)
        })
    }

    /// Whether a target's data centre is evacuated, so that it gets no new requests of any kind.
    pub fn is_evacuated(&self, state: &TargetState) -> bool {
        !self.evacuations.is_empty() && self.evacuations.contains(&state.record.data_centre)
    }

    /// What checks of access for a request need to know.
    pub(super) fn access_query(&self, query: &ChoiceQuery<'_>, now: MonoTime) -> AccessQuery {
        AccessQuery {
            more_urgent: self.more_urgent_priorities(query, now),
            is_fragile: self.max_rejections(query.service).is_some(),
        }
    }

    /// Whether a target may get a request now.
    ///
    /// # Errors
    /// The first [`AccessDenial`] in the order of [`DenialReason`].
    pub(super) fn check_access(
        &self,
        state: &TargetState,
        query: AccessQuery,
        now: MonoTime,
    ) -> Result<(), AccessDenial> {
        if state.closing.is_closed(now) {
            let ends_at = Some(state.closing.opens_at());
            return Err(AccessDenial { reason: DenialReason::Closed, ends_at });
        }
        let open_at = state.rate.open_at(query.more_urgent, now);
        if open_at.is_none_or(|open_at| now < open_at) {
            return Err(AccessDenial { reason: DenialReason::RateLimited, ends_at: open_at });
        }
        if !has_place(state, query.is_fragile) {
            return Err(AccessDenial { reason: DenialReason::Fragile, ends_at: None });
        }
        Ok(())
    }
}
