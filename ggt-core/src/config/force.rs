//! Keeps the revision in force from ever going down.

/// What became of an offered revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The revision is now in force.
    InForce,
    /// The revision was rejected before and stays so.
    Rejected,
    /// The revision is not above the one in force.
    Stale,
}

/// Admits revisions into force in rising order only.
#[derive(Clone, Debug, Default)]
pub struct RevisionGate {
    in_force: Option<u64>,
    rejected: Option<u64>,
    stale_count: u64,
}

impl RevisionGate {
    /// The revision in force, if there is one.
    pub fn in_force(&self) -> Option<u64> {
        self.in_force
    }

    /// The highest revision that was rejected, if it lies above the one in force.
    pub fn rejected(&self) -> Option<u64> {
        self.rejected.filter(|rejected| self.in_force.is_none_or(|current| *rejected > current))
    }

    /// Offers of a revision below the one in force, so far.
    pub fn stale_count(&self) -> u64 {
        self.stale_count
    }

    /// The platform's revision that need not be read again: in force, or rejected.
    pub fn wanted_above(&self) -> u64 {
        self.in_force.unwrap_or(0).max(self.rejected.unwrap_or(0))
    }

    /// Offers a revision; `accepted` is the verdict on its content.
    pub fn offer(&mut self, revision: u64, accepted: bool) -> OfferOutcome {
        if self.in_force.is_some_and(|current| revision <= current) {
            if self.in_force != Some(revision) {
                self.stale_count += 1;
            }
            return OfferOutcome::Stale;
        }
        if !accepted {
            self.rejected = Some(self.rejected.map_or(revision, |other| other.max(revision)));
            return OfferOutcome::Rejected;
        }
        self.in_force = Some(revision);
        OfferOutcome::InForce
    }
}
