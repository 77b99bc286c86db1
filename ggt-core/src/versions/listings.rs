//! What the targets' prefix caches held when they were last listed.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::MonoTime;

/// Milliseconds for which a list counts. A stream that has begun since is not in it, and nearly all others that
/// are taken up have.
pub const LISTING_TTL_MS: u64 = 1_000;
/// Maximum number of parts of one list that are kept; the others count as not cached.
const MAX_PARTS: usize = 65_536;

/// What the list of a target's prefix cache says about one prompt part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedPart {
    /// Short hash of the target's incarnation.
    pub target: u32,
    /// Tokens that it keeps of the part and what it has generated after it; 0 if it does not have the part, `None` if
    /// it gave no list.
    pub tokens: Option<u32>,
}

/// A prompt part in a target's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedTokens {
    /// Hash of the prefix that ends with the part.
    pub prefix: u64,
    /// Tokens that the target keeps of the part and what it has generated after it.
    pub tokens: u32,
}

/// State of one target's list.
#[derive(Clone, Debug)]
enum ListingState {
    /// It was requested, and has not arrived.
    Requested,
    /// It was requested at this time, and has arrived.
    Listed { requested_at: MonoTime, parts: HashMap<u64, u32> },
    /// No list could be got at this time.
    Failed { at: MonoTime },
}

/// The latest lists of targets' prefix caches that this daemon has requested, by the targets' short hashes.
#[derive(Clone, Debug, Default)]
pub struct ListingTable {
    listings: HashMap<u32, ListingState>,
}

impl ListingTable {
    /// Whether a target is to be listed now; it then counts as requested.
    pub fn begin(&mut self, target: u32, now: MonoTime) -> bool {
        if self.is_requested(target) || self.is_current(target, now) {
            return false;
        }
        self.listings.insert(target, ListingState::Requested);
        true
    }

    /// Records a list that was requested at this time.
    pub fn record(&mut self, target: u32, parts: &[CachedTokens], requested_at: MonoTime) {
        let mut kept: HashMap<u64, u32> = HashMap::new();
        for part in parts.iter().take(MAX_PARTS) {
            let tokens = kept.entry(part.prefix).or_default();
            *tokens = part.tokens.max(*tokens);
        }
        self.listings.insert(target, ListingState::Listed { requested_at, parts: kept });
    }

    /// Records that a target gave no list.
    pub fn record_failure(&mut self, target: u32, now: MonoTime) {
        self.listings.insert(target, ListingState::Failed { at: now });
    }

    /// Whether a list has been requested and has not arrived.
    pub fn is_requested(&self, target: u32) -> bool {
        matches!(self.listings.get(&target), Some(ListingState::Requested))
    }

    /// What a target's list says about a part; `None` if there is no current one.
    pub fn part(&self, target: u32, prefix: u64, now: MonoTime) -> Option<ListedPart> {
        let listing = self.listings.get(&target).filter(|_| self.is_current(target, now))?;
        let tokens = match listing {
            ListingState::Listed { parts, .. } => parts.get(&prefix).copied().or(Some(0)),
            ListingState::Requested | ListingState::Failed { .. } => None,
        };
        Some(ListedPart { target, tokens })
    }

    /// Drops lists that no longer count.
    pub fn expire(&mut self, now: MonoTime) {
        self.listings.retain(|_, listing| match listing {
            ListingState::Requested => true,
            ListingState::Listed { requested_at: at, .. } | ListingState::Failed { at } => {
                now < *at + LISTING_TTL_MS
            }
        });
    }

    fn is_current(&self, target: u32, now: MonoTime) -> bool {
        match self.listings.get(&target) {
            Some(ListingState::Listed { requested_at: at, .. } | ListingState::Failed { at }) => {
                now < *at + LISTING_TTL_MS
            }
            Some(ListingState::Requested) | None => false,
        }
    }
}
