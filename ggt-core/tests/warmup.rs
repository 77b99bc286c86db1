//! Starting daemons fetch their view of the prefix caches from those that run, without filling the links of these.

mod digest_fixture;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::digest_fixture::empty_digest;
use ggt_core::clock::MonoTime;
use ggt_core::fleet::FleetTable;
use ggt_core::fleet::PeerDigest;
use ggt_core::fleet::ViewPace;

/// Daemons of the fleet.
const DAEMONS: u8 = 58;
/// Age of daemons that have a filled view.
const LONG_AGE_MS: u64 = 600_000;
/// Age of daemons that have just started.
const SHORT_AGE_MS: u64 = 500;

fn address(daemon: u8) -> SocketAddr {
    ([10, 0, 0, daemon], 7_000).into()
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// How often each of the warm daemons is the first that one of all others queries; `link_of` are their bandwidths.
fn first_queries<L>(warm: &[u8], link_of: L) -> BTreeMap<SocketAddr, usize>
where
    L: Fn(u8) -> u32,
{
    let mut counts = BTreeMap::new();
    for starter in (1..=DAEMONS).filter(|daemon| !warm.contains(daemon)) {
        let mut table = FleetTable::new(address(starter));
        for other in (1..=DAEMONS).filter(|daemon| *daemon != starter) {
            let age_ms = if warm.contains(&other) { LONG_AGE_MS } else { SHORT_AGE_MS };
            let digest = empty_digest(address(other), 1, 1);
            table.apply(PeerDigest { age_ms, link_mbps: link_of(other), ..digest }, at(0));
        }
        let peers = table.warm_peers(at(0));
        assert!(peers.len() <= 3, "few are queried");
        *counts.entry(peers[0]).or_default() += 1;
    }
    counts
}

// Guards against most of a fleet that starts at once and fetches from the same daemon, whose link is full for seconds:
// its callers wait, and what its peers send is lost.
#[test]
fn starting_daemons_are_spread_over_those_that_have_a_filled_view() {
    let warm = [5, 13, 21, 34, 40, 55];
    let counts = first_queries(&warm, |_| 10);
    let mean = usize::from(DAEMONS) / warm.len();
    assert_eq!(counts.len(), warm.len(), "{counts:?}");
    assert!(counts.values().all(|count| *count <= 2 * mean), "{counts:?}");
}

// Guards against slow links that get as many queries as fast ones.
#[test]
fn daemons_with_fast_links_are_queried_more() {
    let warm = [5, 13, 21, 34, 40, 55];
    let counts = first_queries(&warm, |daemon| if daemon == 21 { 200 } else { 10 });
    let fast = counts.get(&address(21)).copied().unwrap_or_default();
    assert!(fast * 2 > usize::from(DAEMONS) - warm.len(), "{counts:?}");
}

// Guards against a link that is filled by views, however many daemons start.
#[test]
fn views_take_a_part_of_the_link_only() {
    const BYTES: usize = 110_000;
    const LINK_MBPS: f64 = 10.0;
    const SPAN_MS: u64 = 10_000;
    let mut pace = ViewPace::default();
    let mut given = 0;
    for millis in 0..SPAN_MS {
        if pace.is_open(at(millis)) {
            pace.record(BYTES, LINK_MBPS, at(millis));
            given += 1;
        }
    }
    let link_bytes = LINK_MBPS * 125.0 * SPAN_MS as f64;
    let fraction = (given * BYTES) as f64 / link_bytes;
    assert!(given > 5 && fraction < 0.15, "{given} views, {fraction:.2} of the link");
}
