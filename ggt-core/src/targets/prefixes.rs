//! Which targets have which prefixes of prompts cached, as far as this daemon knows, and the prefixes
//! to report to its peers.

use crate::clock::MonoTime;
use crate::prompts::PrefixChain;
use crate::targets::SendRecord;
use crate::targets::TargetKey;
use crate::targets::TargetPool;
use crate::targets::TargetState;

/// Maximum number of cached prefixes stored per target; beyond it, the older half is dropped.
const MAX_PREFIXES: usize = 4_096;
/// Number of digests that report each newly cached prefix, so that the loss of one datagram does no
/// harm.
const DIGESTS_PER_PREFIX: u8 = 2;
/// Maximum number of cached prefixes queued for digests; beyond it, the oldest are dropped.
const MAX_QUEUED_PREFIXES: usize = 1_024;

/// The short hash of a prefix, as daemons exchange it.
pub(super) fn short_prefix(hash: u64) -> u32 {
    hash as u32
}

impl TargetState {
    /// Tokens of the prompt beyond its longest prefix that the target is known to have cached.
    pub fn uncached_tokens(&self, chain: &PrefixChain) -> u32 {
        let prefixes = chain.prefixes().iter().rev();
        prefixes
            .take_while(|prefix| !self.prefixes.contains_key(&short_prefix(prefix.hash)))
            .map(|prefix| prefix.tokens)
            .sum()
    }

    /// Whether the target is known to have the prefix with this hash cached.
    pub fn has_cached(&self, prefix: u64) -> bool {
        self.prefixes.contains_key(&short_prefix(prefix))
    }

    pub(super) fn record_prefix(&mut self, prefix: u32, now: MonoTime) {
        self.prefixes.insert(prefix, now);
        if self.prefixes.len() > MAX_PREFIXES {
            let mut recorded: Vec<_> = self.prefixes.values().copied().collect();
            recorded.sort_unstable();
            let median = recorded[recorded.len() / 2];
            self.prefixes.retain(|_, time| *time > median);
        }
    }
}

impl TargetPool {
    /// Queues the prefixes of a prompt that was sent to a target for digests.
    pub(super) fn queue_prefixes(&mut self, key: TargetKey, chain: &PrefixChain) {
        let Some(state) = self.targets.get(key) else { return };
        // A cached prefix implies all shorter ones, so the two longest suffice: the whole prompt,
        // which only its own session can reuse, and the shared prefix before it.
        for prefix in chain.prefixes().iter().rev().take(2) {
            self.prefix_queue.push_back((
                short_prefix(prefix.hash),
                state.short_hash,
                DIGESTS_PER_PREFIX,
            ));
        }
        while self.prefix_queue.len() > MAX_QUEUED_PREFIXES {
            self.prefix_queue.pop_front();
        }
    }

    /// Removes the prefixes that were recorded as cached for a request which the target did not
    /// run, except those that a later request has recorded again.
    pub fn undo_send(&mut self, key: TargetKey, record: &SendRecord) {
        let Some(state) = self.targets.get_mut(key) else { return };
        let prefixes = &mut state.prefixes;
        let is_unchanged =
            |prefix: &&u32| prefixes.get(*prefix).is_some_and(|time| *time == record.sent_at);
        let removed: Vec<_> = record.new_prefixes.iter().filter(is_unchanged).copied().collect();
        for prefix in &removed {
            prefixes.remove(prefix);
        }
        let hash = state.short_hash;
        self.prefix_queue
            .retain(|(prefix, target, _)| *target != hash || !removed.contains(prefix));
    }

    /// At most `count` recently cached prefixes to report in the next digest, as pairs of the short
    /// hashes of prefix and target.
    pub fn recent_prefixes(&mut self, count: usize) -> Vec<(u32, u32)> {
        let due = count.min(self.prefix_queue.len());
        let reported: Vec<_> = self.prefix_queue.drain(..due).collect();
        let repeated = reported.iter().filter(|(_, _, remaining)| *remaining > 1);
        let repeated: Vec<_> =
            repeated.map(|(prefix, hash, remaining)| (*prefix, *hash, remaining - 1)).collect();
        self.prefix_queue.extend(repeated);
        reported.into_iter().map(|(prefix, hash, _)| (prefix, hash)).collect()
    }

    /// Records a prefix from a target's own list of its cache, and queues it for digests.
    pub fn record_listed_prefix(&mut self, key: TargetKey, prefix: u64, now: MonoTime) {
        let Some(state) = self.targets.get_mut(key) else { return };
        let prefix = short_prefix(prefix);
        state.record_prefix(prefix, now);
        self.prefix_queue.push_back((prefix, state.short_hash, DIGESTS_PER_PREFIX));
    }

    /// All cached prefixes that are known, as pairs of the short hashes of prefix and target.
    pub fn all_prefixes(&self) -> Vec<(u32, u32)> {
        let targets = self.targets.values();
        let prefixes =
            targets.flat_map(|s| s.prefixes.keys().map(|prefix| (*prefix, s.short_hash)));
        prefixes.collect()
    }

    /// Records a cached prefix that another daemon reported, by the short hashes of target and
    /// prefix.
    pub fn record_peer_prefix(&mut self, hash: u32, prefix: u32, now: MonoTime) {
        let Some(key) = self.by_hash.get(&hash) else { return };
        if let Some(state) = self.targets.get_mut(*key) {
            state.record_prefix(prefix, now);
        }
    }
}
