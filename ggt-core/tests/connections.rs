//! Connections of callers: which are taken, and which give way when there is no room.

use quickcheck::QuickCheck;

use ggt_core::arrival::MIN_WINDOW_BYTES;
use ggt_core::arrival::RATE_WINDOW_MS;
use ggt_core::clock::MonoTime;
use ggt_core::connections::ConnectionKey;
use ggt_core::connections::ConnectionLimits;
use ggt_core::connections::ConnectionTable;
use ggt_core::connections::RevokedState;
use ggt_core::connections::RoomOutcome;

const MAX_HEAD_BYTES: usize = 16 * 1024;
const LONG_HEAD: usize = 15 * 1024;
const SHORT_HEAD: usize = 400;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(10_000 + millis)
}

fn table(max_connections: usize, max_bytes: usize) -> ConnectionTable {
    let max_head_bytes = MAX_HEAD_BYTES;
    ConnectionTable::new(ConnectionLimits { max_connections, max_bytes, max_head_bytes })
}

/// Adds a connection if there is room.
fn add(table: &mut ConnectionTable, now: MonoTime) -> Option<ConnectionKey> {
    table.make_room(now).has_room.then(|| table.insert(now))
}

/// Adds a connection whose request has this head and an unfinished body.
fn add_body(table: &mut ConnectionTable, head_bytes: usize, now: MonoTime) -> ConnectionKey {
    let key = add(table, now).expect("room");
    table.finish_head(key, head_bytes, now);
    key
}

/// The connections that end for one more at this time.
fn revoked(table: &mut ConnectionTable, now: MonoTime) -> Vec<(ConnectionKey, RevokedState)> {
    let RoomOutcome { revoked, .. } = table.make_room(now);
    revoked.into_iter().map(|connection| (connection.key, connection.state)).collect()
}

// Guards against connections without a bound, which take all descriptors.
#[test]
fn connection_beyond_the_maximum_waits_until_one_ends_or_gives_way() {
    let mut table = table(2, usize::MAX);
    let first = add_body(&mut table, SHORT_HEAD, at(0));
    let second = add_body(&mut table, SHORT_HEAD, at(100));
    assert_eq!(table.make_room(at(500)), RoomOutcome { has_room: false, revoked: Vec::new() });
    table.remove(second);
    let second = add(&mut table, at(500)).expect("room");
    table.finish_head(second, SHORT_HEAD, at(500));
    // The first has brought too little for long enough.
    assert_eq!(revoked(&mut table, at(RATE_WINDOW_MS)), [(first, RevokedState::Body)]);
    assert!(table.is_revoked(first) && !table.is_revoked(second));
    assert_eq!(table.count(), 1);
    table.remove(first);
    assert_eq!(table.count(), 1);
}

// Guards against heads that take more memory than all that is set aside, and against connections that go on counting
// with what they no longer take.
#[test]
fn long_heads_count_until_their_responses_have_been_sent() {
    let mut table = table(usize::MAX, 10 * 1024 * 1024);
    let mut keys = Vec::new();
    while let Some(key) = add(&mut table, at(0)) {
        table.finish_head(key, LONG_HEAD, at(0));
        table.begin_service(key);
        keys.push(key);
    }
    let (count, bytes) = (table.count(), table.bytes());
    assert!((60..160).contains(&count) && bytes <= 10 * 1024 * 1024, "{count} of {bytes}");
    assert!(!table.make_room(at(60_000)).has_room, "requests that are whole do not give way");
    keys.iter().for_each(|key| table.end_request(*key, at(60_000)));
    assert!(4 * table.bytes() < 3 * bytes, "{} of {bytes}", table.bytes());
    let short = add(&mut table, at(60_000)).expect("room");
    table.finish_head(short, SHORT_HEAD, at(60_000));
    keys.iter().for_each(|key| table.remove(*key));
    table.remove(short);
    assert_eq!((table.count(), table.bytes()), (0, 0));
}

// Guards against callers in the middle of a request that are closed while others hold idle connections, and against a
// caller that sends one request after the other and loses its connection in between.
#[test]
fn idle_connections_give_way_first_and_slow_ones_by_how_long_they_have_been() {
    let mut table = table(4, usize::MAX);
    let slow = add_body(&mut table, SHORT_HEAD, at(300));
    let slower = add_body(&mut table, SHORT_HEAD, at(0));
    let [idle, active] = [0, 1].map(|_| add_body(&mut table, SHORT_HEAD, at(0)));
    table.end_request(idle, at(10));
    table.end_request(active, at(2_900));
    assert_eq!(revoked(&mut table, at(3_000)), [(idle, RevokedState::Idle)]);
    add_body(&mut table, SHORT_HEAD, at(3_000));
    assert_eq!(revoked(&mut table, at(3_000)), [(slower, RevokedState::Body)]);
    add_body(&mut table, SHORT_HEAD, at(3_000));
    assert_eq!(revoked(&mut table, at(3_000)), [(slow, RevokedState::Body)]);
    let fast = add_body(&mut table, SHORT_HEAD, at(3_000));
    assert!(revoked(&mut table, at(3_000)).is_empty());
    assert!(!table.is_revoked(active));
    // One that brings enough keeps its place for as long as it does.
    for millis in (3_100..6_000).step_by(900) {
        table.record_bytes(fast, MIN_WINDOW_BYTES, at(millis));
    }
    let ended = revoked(&mut table, at(6_000));
    assert!(!ended.is_empty() && !table.is_revoked(fast), "{ended:?}");
}

// Guards against a connection that says nothing, or sends its head byte by byte, and keeps its place.
#[test]
fn connection_whose_head_arrives_too_slowly_gives_way() {
    let mut table = table(1, usize::MAX);
    let silent = add(&mut table, at(0)).expect("room");
    table.record_bytes(silent, 1, at(900));
    assert!(revoked(&mut table, at(RATE_WINDOW_MS - 1)).is_empty());
    assert_eq!(revoked(&mut table, at(RATE_WINDOW_MS)), [(silent, RevokedState::Head)]);
    // What it does afterwards does not bring it back.
    table.finish_head(silent, SHORT_HEAD, at(1_100));
    table.end_request(silent, at(1_200));
    assert!(table.is_revoked(silent));
}

// Guards against heads on connections that were idle, for which no room was kept: all could be sent at once.
#[test]
fn next_head_of_an_idle_connection_is_read_once_there_is_room_for_it() {
    let mut table = table(usize::MAX, 400 * 1024);
    let idle: Vec<_> = (0..10)
        .map(|_| {
            let key = add_body(&mut table, SHORT_HEAD, at(0));
            table.begin_service(key);
            table.end_request(key, at(0));
            key
        })
        .collect();
    let begun: Vec<_> =
        idle.iter().filter(|key| table.begin_head(**key, at(10)).has_room).collect();
    assert!((1..9).contains(&begun.len()), "{}", begun.len());
    let waiting = idle.iter().find(|key| !begun.contains(key)).expect("one that waits");
    assert!(table.is_idle(*waiting) && !table.begin_head(*waiting, at(20)).has_room);
    table.finish_head(*begun[0], SHORT_HEAD, at(30));
    assert!(table.begin_head(*waiting, at(30)).has_room);
    assert!(table.begin_head(*waiting, at(31)).has_room, "it is being read");
}

// Guards against a bound so low that no request is served at all.
#[test]
fn single_connection_is_always_taken() {
    let mut table = table(0, 1);
    assert!(add(&mut table, at(0)).is_some());
    assert!(add(&mut table, at(0)).is_none());
}

// Guards against counts that drift from the connections that are there, whatever happens to them in which order.
#[test]
fn counts_are_those_of_the_connections_that_are_left() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let max_bytes = 2 * 1024 * 1024;
        let mut table = table(40, max_bytes);
        let mut keys: Vec<ConnectionKey> = Vec::new();
        for (number, (step, place)) in steps.iter().enumerate() {
            let now = at(100 * number as u64);
            let key = keys.get(usize::from(*place) % keys.len().max(1)).copied();
            match (step % 8, key) {
                (0 | 1, _) | (_, None) => keys.extend(add(&mut table, now)),
                (2, Some(key)) => table.finish_head(key, usize::from(*place) * 60, now),
                (3, Some(key)) => table.begin_service(key),
                (4, Some(key)) => table.end_request(key, now),
                (5, Some(key)) => drop(table.begin_head(key, now)),
                (6, Some(key)) => table.record_bytes(key, usize::from(*place) * 100, now),
                (_, Some(key)) => {
                    table.remove(key);
                    keys.retain(|other| *other != key);
                }
            }
        }
        let is_bounded = table.count() <= 40 && table.bytes() <= max_bytes;
        keys.iter().for_each(|key| table.remove(*key));
        is_bounded && (table.count(), table.bytes()) == (0, 0)
    }
    let generator = quickcheck::Gen::from_size_and_seed(200, 20_261_207);
    let mut check = QuickCheck::new().rng(generator).tests(2_000).max_tests(2_000);
    check.quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}
