//! Shares work out among daemons by rendezvous, without talking.

use crate::ident::CentreName;
use crate::ident::DaemonName;
use crate::ident::mix_hash;
use crate::ident::stable_hash;
use crate::routing::rendezvous_score;

/// Daemons that probe each target.
const PROBERS_FOR_EACH_TARGET: usize = 2;
/// Daemons of a data centre that speak with the others at a time.
const SPEAKERS_IN_CENTRE: usize = 3;
/// Daemons of a data centre that hold the platform's watches.
const WATCHERS_IN_CENTRE: usize = 2;
/// Milliseconds after which other daemons speak for a data centre.
const SPEAKER_TERM_MILLIS: u64 = 60_000;

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

/// The daemons among `living` that probe the target with `target_hash`.
pub fn probers_of<'a, I>(living: I, target_hash: u64) -> Vec<DaemonName>
where
    I: Iterator<Item = &'a DaemonName>,
{
    top_by_hash(living, target_hash, PROBERS_FOR_EACH_TARGET)
}

/// The daemons among `living` that speak for the data centre at `wall_millis`.
pub fn speakers_of<'a, I>(living: I, centre: &CentreName, wall_millis: u64) -> Vec<DaemonName>
where
    I: Iterator<Item = &'a DaemonName>,
{
    let term = wall_millis / SPEAKER_TERM_MILLIS;
    let hash = mix_hash(stable_hash(centre.as_str().as_bytes()), term);
    top_by_hash(living, hash, SPEAKERS_IN_CENTRE)
}

/// The daemons among `living` that hold the platform's watches for the data centre.
pub fn watchers_of<'a, I>(living: I, centre: &CentreName) -> Vec<DaemonName>
where
    I: Iterator<Item = &'a DaemonName>,
{
    let hash = mix_hash(stable_hash(centre.as_str().as_bytes()), WATCHERS_IN_CENTRE as u64);
    top_by_hash(living, hash, WATCHERS_IN_CENTRE)
}
