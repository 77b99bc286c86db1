//! Which version began a stream: what a daemon keeps, which daemons are told, and which are asked.

mod digest_fixture;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::digest_fixture::empty_digest;
use ggt_core::clock::MonoTime;
use ggt_core::fleet::FleetTable;
use ggt_core::fleet::OPEN_ORIGIN_HOLDERS;
use ggt_core::fleet::ORIGIN_HOLDERS;
use ggt_core::fleet::PeerDigest;
use ggt_core::ident::mix_hash;
use ggt_core::versions::OriginTable;
use ggt_core::versions::SoftwareVersion;
use ggt_core::versions::StreamKey;
use ggt_core::versions::StreamOrigin;
use ggt_core::versions::longest_ask_ms;
use ggt_core::versions::longest_tell_ms;

/// Time for which origins are kept.
const MEMORY_MS: u64 = 17_000;
/// Age of daemons that have run for longer than any stream.
const LONG_AGE_MS: u64 = 600_000;
/// Age of daemons that have just started.
const SHORT_AGE_MS: u64 = 2_500;
/// Sizes of fleets, from the smallest to the design size.
const FLEET_SIZES: [usize; 8] = [2, 3, 9, 12, 30, 58, 195, 370];
/// Streams of each case.
const STREAMS: u64 = 400;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + millis)
}

fn old() -> SoftwareVersion {
    SoftwareVersion::named("v1")
}

fn new() -> SoftwareVersion {
    SoftwareVersion::named("v1.1")
}

fn origin(number: u64, version: SoftwareVersion) -> StreamOrigin {
    StreamOrigin { key: StreamKey(number), version }
}

// Guards against streams that others are not told of while there is one version only.
#[test]
fn origins_expire_unless_named_again_and_are_told_once() {
    let mut table = OriginTable::new(100);
    table.record_own(origin(1, old()), at(1_000));
    table.record_own(origin(2, old()), at(1_000));
    table.record_told(origin(3, old()), at(1_000));
    assert!(table.has_untold());
    assert_eq!(table.take_untold(), [origin(1, old()), origin(2, old())]);
    assert!(!table.has_untold());
    assert_eq!(table.take_untold(), []);
    table.record_told(origin(1, old()), at(5_000));
    table.expire(at(1_000));
    assert_eq!(table.version(StreamKey(1), at(1_000)), Some(old()));
    assert_eq!((table.version(StreamKey(2), at(1_000)), table.len()), (None, 1));
    table.expire(at(5_000));
    assert!(table.is_empty());
}

// Guards against an attempt id that is used twice, or forged: with two versions it shows none.
#[test]
fn origin_with_two_versions_is_unknown() {
    let mut table = OriginTable::new(100);
    table.record_told(origin(1, old()), at(1_000));
    table.record_told(origin(1, new()), at(1_000));
    table.record_told(origin(1, old()), at(1_000));
    assert_eq!(table.version(StreamKey(1), at(0)), None);
}

#[test]
fn table_of_origins_is_bounded_and_drops_the_oldest() {
    let mut table = OriginTable::new(100);
    for number in 0..1_000 {
        table.record_told(origin(number, old()), at(1_000 + number));
    }
    assert_eq!(table.len(), 100);
    assert_eq!(table.version(StreamKey(0), at(0)), None);
    assert_eq!(table.version(StreamKey(999), at(0)), Some(old()));
}

fn address(daemon: usize) -> SocketAddr {
    ([10, 0, (daemon / 250) as u8, (daemon % 250) as u8 + 1], 7_000).into()
}

/// Ages in milliseconds of the daemons that a daemon knows of, by their numbers.
type FleetView = BTreeMap<usize, u64>;

/// What `daemon` knows of the others.
fn table_of(daemon: usize, view: &FleetView) -> FleetTable {
    let mut table = FleetTable::new(address(daemon));
    for (other, age_ms) in view {
        let digest = PeerDigest { age_ms: *age_ms, ..empty_digest(address(*other), 1, 1) };
        table.apply(digest, at(0));
    }
    table
}

fn stream(number: u64) -> StreamKey {
    StreamKey(mix_hash(number, 7))
}

fn view_of<D>(daemons: D, age_ms: u64) -> FleetView
where
    D: IntoIterator<Item = usize>,
{
    daemons.into_iter().map(|daemon| (daemon, age_ms)).collect()
}

/// The daemons that hear of a stream of `teller`, which knows it too.
fn holders(teller: usize, key: StreamKey, count: usize, view: &FleetView) -> BTreeSet<SocketAddr> {
    let told = table_of(teller, view).origin_holders(key, count, at(0));
    told.into_iter().chain([address(teller)]).collect()
}

/// Whether a daemon with this view finds one of those that know a stream, or is one.
fn finds(asker: usize, key: StreamKey, view: &FleetView, knowing: &BTreeSet<SocketAddr>) -> bool {
    let asked = table_of(asker, view).origin_candidates(key, MEMORY_MS, at(0));
    let asked = asked.into_iter().map(|candidate| candidate.address);
    asked.chain([address(asker)]).any(|daemon| knowing.contains(&daemon))
}

/// A daemon's number in 0..`count`, at random by the number of a stream.
fn draw(number: u64, salt: u64, count: usize) -> usize {
    (mix_hash(number, salt) % count as u64) as usize
}

// Guards against streams that nobody knows once the daemon that began them is lost: at any size of the fleet, also
// with two more daemons lost, before the others have noticed and after.
#[test]
fn streams_of_three_lost_daemons_are_known_to_others() {
    for size in FLEET_SIZES {
        let whole = view_of(0..size, LONG_AGE_MS);
        for number in 0..STREAMS {
            let key = stream(number);
            let lost: BTreeSet<_> =
                (0..3.min(size - 1) as u64).map(|salt| draw(number, salt, size)).collect();
            let teller = draw(number, 0, size);
            let alive: Vec<_> = (0..size).filter(|daemon| !lost.contains(daemon)).collect();
            let asker = alive[draw(number, 9, alive.len())];
            let mut knowing = holders(teller, key, ORIGIN_HOLDERS, &whole);
            knowing.retain(|daemon| lost.iter().all(|other| address(*other) != *daemon));
            assert!(finds(asker, key, &whole, &knowing), "{size} daemons, not noticed");
            let left = view_of(alive, LONG_AGE_MS);
            assert!(finds(asker, key, &left, &knowing), "{size} daemons, noticed");
        }
    }
}

/// How many of the streams are known after all daemons but these survivors were killed and have started again, if
/// `told` daemons hear of each.
fn known_after_restarts(size: usize, survivors: usize, told: usize) -> u64 {
    let whole = view_of(0..size, LONG_AGE_MS);
    let mut after = view_of(0..size, SHORT_AGE_MS);
    after.extend(view_of(0..survivors, LONG_AGE_MS));
    let is_known = |number: &u64| {
        let key = stream(*number);
        let mut knowing = holders(draw(*number, 1, size), key, told, &whole);
        knowing.retain(|daemon| (0..survivors).any(|survivor| address(survivor) == *daemon));
        finds(draw(*number, 2, survivors), key, &after, &knowing)
    };
    (0..STREAMS).filter(is_known).count() as u64
}

// Guards against streams that most daemons refuse after nine of ten were killed at once and have started again: they
// know nothing, but precede in the order of those that are asked.
#[test]
fn most_streams_are_known_after_nine_of_ten_daemons_were_killed() {
    for size in FLEET_SIZES.into_iter().filter(|size| *size >= 9) {
        let survivors = (size / 10).max(1);
        let known = known_after_restarts(size, survivors, ORIGIN_HOLDERS);
        assert!(known * 2 > STREAMS, "{size} daemons: {known} of {STREAMS}");
        let known = known_after_restarts(size, survivors, OPEN_ORIGIN_HOLDERS);
        assert!(known * 4 > STREAMS * 3, "{size} daemons, several versions: {known} of {STREAMS}");
    }
}

// Guards against streams that are refused as soon as daemons join or come back, which have not been told.
#[test]
fn streams_that_began_while_most_daemons_were_down_are_found_once_these_are_back() {
    for size in FLEET_SIZES.into_iter().filter(|size| *size >= 9) {
        let survivors = (size / 10).max(2);
        let few = view_of(0..survivors, LONG_AGE_MS);
        let mut back = view_of(0..size, SHORT_AGE_MS);
        back.extend(few.clone());
        for number in 0..STREAMS {
            let key = stream(number);
            let knowing = holders(draw(number, 1, survivors), key, ORIGIN_HOLDERS, &few);
            assert!(finds(draw(number, 2, size), key, &back, &knowing), "{size} daemons");
        }
    }
}

// Guards against streams that are lost in a planned restart: a draining daemon still replies.
#[test]
fn a_draining_daemon_is_asked_but_not_told() {
    let mut table = table_of(0, &view_of(1..5, LONG_AGE_MS));
    let digest = empty_digest(address(3), 1, 2);
    table.apply(PeerDigest { is_leaving: true, age_ms: LONG_AGE_MS, ..digest }, at(0));
    let told = table.origin_holders(stream(1), ORIGIN_HOLDERS, at(0));
    assert_eq!(told.len(), 3);
    assert!(!told.contains(&address(3)));
    assert_eq!(table.origin_candidates(stream(1), MEMORY_MS, at(0)).len(), 4);
}

// Guards against a question to each daemon of a large fleet for each stream that is taken up.
#[test]
fn as_many_daemons_are_asked_as_are_told_and_a_few_more_after_restarts() {
    let calm = table_of(0, &view_of(1..370, LONG_AGE_MS));
    let mut view = view_of(1..370, LONG_AGE_MS);
    view.extend((1..370).filter(|daemon| daemon % 2 == 0).map(|daemon| (daemon, SHORT_AGE_MS)));
    let restarted = table_of(0, &view);
    for number in 0..STREAMS {
        let candidates =
            |table: &FleetTable| table.origin_candidates(stream(number), MEMORY_MS, at(0)).len();
        assert_eq!(candidates(&calm), OPEN_ORIGIN_HOLDERS);
        let asked = candidates(&restarted);
        assert!(asked <= 2 * OPEN_ORIGIN_HOLDERS, "{asked}");
    }
}

/// Shortest time in milliseconds after which a caller gives a silent stream up.
const MIN_CALLER_PATIENCE_MS: u64 = 2_000;
/// Shortest time in milliseconds within which a stream's first event is to arrive.
const MIN_GOAL_MS: u64 = 300;
/// Time in milliseconds for a datagram between data centres, beside load.
const DELIVERY_MS: u64 = 50;

// Guards against origins that are told after callers have come back, and against refusals that come late.
#[test]
fn origins_are_told_before_callers_give_a_silent_stream_up_and_lookups_end_in_time() {
    assert!(longest_tell_ms(DELIVERY_MS) < MIN_CALLER_PATIENCE_MS / 10);
    assert!(longest_ask_ms() < MIN_GOAL_MS);
}
