//! Ensures that the active revision only rises.

/// Result of offering a revision to a [`RevisionGate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The revision is now active.
    Activated,
    /// The revision was rejected because its content is invalid.
    Rejected,
    /// The revision is not above the active one.
    Stale,
}

/// Activates revisions in rising order only.
#[derive(Clone, Debug, Default)]
pub struct RevisionGate {
    active: Option<u64>,
    rejected: Option<u64>,
    stale_count: u64,
}

impl RevisionGate {
    /// The active revision, if there is one.
    pub fn active(&self) -> Option<u64> {
        self.active
    }

    /// The highest revision that was rejected, if it is above the active one.
    pub fn rejected(&self) -> Option<u64> {
        self.rejected.filter(|rejected| self.active.is_none_or(|current| *rejected > current))
    }

    /// Number of offers of a revision below the active one since the start.
    pub fn stale_count(&self) -> u64 {
        self.stale_count
    }

    /// The highest revision that was activated or rejected; only later ones need to be fetched.
    pub fn fetch_above(&self) -> u64 {
        self.active.unwrap_or(0).max(self.rejected.unwrap_or(0))
    }

    /// Offers a revision; `accepted` states whether its content is valid.
    pub fn offer(&mut self, revision: u64, accepted: bool) -> OfferOutcome {
        if self.active.is_some_and(|current| revision <= current) {
            if self.active != Some(revision) {
                self.stale_count += 1;
            }
            return OfferOutcome::Stale;
        }
        if !accepted {
            self.rejected = Some(self.rejected.map_or(revision, |highest| highest.max(revision)));
            return OfferOutcome::Rejected;
        }
        self.active = Some(revision);
        OfferOutcome::Activated
    }
}
