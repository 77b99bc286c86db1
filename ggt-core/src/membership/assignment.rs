//! Assigns work to daemons by rendezvous hashing, without coordination.

use std::collections::BTreeSet;

use crate::ident::CentreName;
use crate::ident::DaemonName;
use crate::ident::mix_hash;
use crate::ident::stable_hash;
use crate::routing::rendezvous_score;

/// Daemons that probe each target.
const PROBERS_PER_TARGET: usize = 2;
/// Daemons of a data centre that gossip with other data centres at any time.
const RELAYS_PER_CENTRE: usize = 3;
/// Daemons of a data centre that watch the platform for changes.
const WATCHERS_PER_CENTRE: usize = 2;
/// Milliseconds after which a data centre's relays are selected anew.
const RELAY_TERM_MS: u64 = 60_000;

fn top_by_hash<'a, I>(names: I, item_hash: u64, count: usize) -> Vec<DaemonName>
where
    I: Iterator<Item = &'a DaemonName>,
{
    let mut scored: Vec<(f64, &DaemonName)> = names
        .map(|name| (rendezvous_score(item_hash, stable_hash(name.as_str().as_bytes()), 1.0), name))
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    scored.into_iter().take(count).map(|(_, name)| name.clone()).collect()
}

/// Hashes of the targets that `own` probes when the daemons in `alive` divide up all `targets`.
///
/// Each target goes to the first two daemons of its rendezvous order that are below their quota:
/// without a quota some daemons get three times the mean. Daemons with the same list compute the
/// same assignment.
pub fn probe_assignment(own: &DaemonName, alive: &[DaemonName], targets: &[u64]) -> BTreeSet<u64> {
    let hashes: Vec<u64> = alive.iter().map(|name| stable_hash(name.as_str().as_bytes())).collect();
    let probers = PROBERS_PER_TARGET.min(alive.len());
    let quota = (targets.len() * probers).div_ceil(alive.len().max(1)) + 1;
    let mut ordered = targets.to_vec();
    ordered.sort_unstable();
    let mut counts = vec![0_usize; alive.len()];
    let mut assigned = BTreeSet::new();
    for target in ordered {
        let mut order: Vec<usize> =
            (0..alive.len()).filter(|index| counts[*index] < quota).collect();
        let score = |index: &usize| rendezvous_score(target, hashes[*index], 1.0);
        order.sort_by(|a, b| score(b).total_cmp(&score(a)));
        for index in order.into_iter().take(probers) {
            counts[index] += 1;
            if alive[index] == *own {
                assigned.insert(target);
            }
        }
    }
    assigned
}

/// The data centre's relays at `wall_ms`: the daemons among `alive` that gossip with other
/// data centres.
pub fn relays_of<'a, I>(alive: I, centre: &CentreName, wall_ms: u64) -> Vec<DaemonName>
where
    I: Iterator<Item = &'a DaemonName>,
{
    let term = wall_ms / RELAY_TERM_MS;
    let hash = mix_hash(stable_hash(centre.as_str().as_bytes()), term);
    top_by_hash(alive, hash, RELAYS_PER_CENTRE)
}

/// The daemons among `alive` that watch the platform for the data centre.
pub fn watchers_of<'a, I>(alive: I, centre: &CentreName) -> Vec<DaemonName>
where
    I: Iterator<Item = &'a DaemonName>,
{
    // The count only serves as a salt here: relays have the term in its place.
    let hash = mix_hash(stable_hash(centre.as_str().as_bytes()), WATCHERS_PER_CENTRE as u64);
    top_by_hash(alive, hash, WATCHERS_PER_CENTRE)
}
