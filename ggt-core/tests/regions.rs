//! Requests that may be processed in some regions only: which targets and peers they may reach.

mod centre_fixture;
mod digest_fixture;
mod pool_fixture;

use std::net::SocketAddr;

use crate::centre_fixture::two_centres;
use crate::digest_fixture::empty_digest;
use crate::pool_fixture::query;
use ggt_core::clock::MonoTime;
use ggt_core::fleet::FleetTable;
use ggt_core::fleet::ForwardQuery;
use ggt_core::fleet::PEER_PROTOCOL;
use ggt_core::fleet::PeerDigest;
use ggt_core::fleet::PeerReach;
use ggt_core::targets::ChoiceError;
use ggt_core::targets::ChoiceQuery;
use ggt_core::targets::SendOutcome;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

// Guards against any kind of send to a data centre outside the allowed regions, also when nothing else is left.
#[test]
fn restricted_request_stays_in_its_data_centres() {
    let mut pool = two_centres();
    let allowed = ["b".to_owned()];
    let restricted = |hash| ChoiceQuery { allowed_centres: Some(&allowed), ..query(0, hash) };
    let outside = pool.of_service("s")[0];
    pool.record_outcome(outside, SendOutcome::Unreachable, at(0));
    for hash in 0..100 {
        let choice = pool.choose(&restricted(hash), at(1_000)).expect("an allowed target");
        let state = pool.target(choice.key).expect("the target is known");
        assert_eq!(state.record.data_centre, "b");
    }
    pool.evacuations.begin("b", at(0));
    assert_eq!(pool.choose(&restricted(1), at(1_000)), Err(ChoiceError::Evacuated));
    let nowhere = ChoiceQuery { allowed_centres: Some(&[]), ..query(0, 1) };
    assert_eq!(pool.choose(&nowhere, at(1_000)), Err(ChoiceError::NotAllowed));
}

// Guards against admission by the room of targets that the request may not reach.
#[test]
fn room_outside_the_allowed_regions_does_not_count() {
    let mut pool = two_centres();
    let allowed = ["b".to_owned()];
    let restricted = ChoiceQuery { allowed_centres: Some(&allowed), ..query(0, 1) };
    for key in pool.of_service("s").to_vec() {
        let is_allowed = pool.target(key).is_some_and(|s| s.record.data_centre == "b");
        let duration =
            ggt_core::targets::SlotDuration { load: 1, total_ms: 100, has_prompt: false };
        pool.record_slot_time(key, duration, at(0));
        for _ in 0..if is_allowed { 100 } else { 0 } {
            pool.record_send(key, &Default::default(), false, at(0));
        }
    }
    assert!(pool.utilisation(&restricted, at(10)) > 1.0);
    assert!(pool.utilisation(&query(0, 1), at(10)) < pool.utilisation(&restricted, at(10)));
    assert_eq!(pool.choose(&restricted, at(10)), Err(ChoiceError::Full));
}

/// Last version of the protocol between daemons without allowed regions.
const NO_REGION_PROTOCOL: u8 = 2;

// Guards against bodies that are handed to a daemon outside the allowed regions, or to one that would not keep them
// there.
#[test]
fn restricted_request_is_handed_to_daemons_in_allowed_data_centres_only() {
    let address = |number: u8| SocketAddr::from(([10, 0, 0, number], 7_000));
    let mut table = FleetTable::new(address(1));
    for (number, centre_hash, protocol) in
        [(2, 20, PEER_PROTOCOL), (3, 30, PEER_PROTOCOL), (4, 20, NO_REGION_PROTOCOL)]
    {
        let digest = PeerDigest {
            centre_hash,
            target_revision: 1,
            config_revision: 1,
            reach: PeerReach { protocol, unreached: Vec::new() },
            ..empty_digest(address(number), 1, 1)
        };
        table.apply(digest, at(0));
    }
    let candidates = |allowed_centres| {
        let query =
            ForwardQuery { service_hash: 1, request_hash: 2, centre_hash: 30, allowed_centres };
        table.forward_candidates(&query, at(10))
    };
    assert_eq!(candidates(None).len(), 3);
    assert_eq!(candidates(Some(&[20][..])), [address(2)]);
    assert!(candidates(Some(&[][..])).is_empty());
}
