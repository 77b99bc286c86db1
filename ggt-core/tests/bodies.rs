//! Room for the bodies of requests: many large ones at once, from one customer or several, and bodies that do not end.

use quickcheck::Gen;
use quickcheck::QuickCheck;

use ggt_core::arrival::MIN_WINDOW_BYTES;
use ggt_core::arrival::RATE_WINDOW_MS;
use ggt_core::bodies::BodyDenial;
use ggt_core::bodies::BodyTable;
use ggt_core::bodies::SMALL_BODY_BYTES;
use ggt_core::clock::MonoTime;

const ROOM: usize = 48_000_000;
const LARGE: usize = 4_194_304;
const CUSTOMERS: u64 = 4;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(10_000 + millis)
}

// Guards against a crowd of large bodies that takes all memory, or the room of small ones.
#[test]
fn crowd_of_large_bodies_is_bounded_and_leaves_room_for_small_ones() {
    let mut table = BodyTable::new(ROOM);
    let admitted = (0..96).filter(|n| table.admit(n % CUSTOMERS, LARGE, at(0)).is_ok()).count();
    assert_eq!((admitted, table.held()), (8, 8 * LARGE));
    let small = (0..200).filter(|n| table.admit(n % CUSTOMERS, 50_000, at(0)).is_ok()).count();
    assert_eq!(small, 200);
    assert!(table.held() <= ROOM);
}

// Guards against one customer's crowd, or one without a key, that takes the room of all others' large bodies.
#[test]
fn one_customers_large_bodies_leave_room_for_those_of_others() {
    let mut table = BodyTable::new(ROOM);
    let own = (0..96).filter(|_| table.admit(1, LARGE, at(0)).is_ok()).count();
    assert_eq!(own, 4);
    assert_eq!(table.admit(1, LARGE, at(0)), Err(BodyDenial::CustomerShare));
    assert!(table.admit(2, LARGE, at(0)).is_ok());
}

// Guards against a limit that a single request meets: the longest allowed body has room, whatever the settings say.
#[test]
fn longest_allowed_body_is_admitted_alone() {
    let mut table = BodyTable::new(1_000_000);
    assert_eq!(table.admit(1, LARGE, at(0)), Err(BodyDenial::NoRoom));
    table.set_room(1_000_000, LARGE);
    let key = table.admit(1, LARGE, at(0)).expect("room");
    assert_eq!(table.admit(2, LARGE, at(0)), Err(BodyDenial::NoRoom));
    table.finish(key, LARGE);
    table.release(key);
    assert_eq!(table.held(), 0);
    assert!(table.admit(2, LARGE, at(0)).is_ok());
}

// Guards against bodies that stop just short of their end and keep the room of others, and against one that gives
// way although it goes on.
#[test]
fn bodies_that_arrive_too_slowly_give_way_the_slowest_first() {
    let mut table = BodyTable::new(3 * LARGE);
    table.set_room(3 * LARGE, 3 * LARGE);
    let keys: Vec<_> = (0..3).map(|n| table.admit(n, LARGE, at(100 * n)).expect("room")).collect();
    for key in &keys {
        table.record_bytes(*key, LARGE - 16, at(300));
    }
    assert_eq!(table.admit(9, LARGE, at(300 + RATE_WINDOW_MS)), Err(BodyDenial::NoRoom));
    // The second one goes on, the others do not.
    for millis in (500..=4_000).step_by(500) {
        table.record_bytes(keys[1], MIN_WINDOW_BYTES, at(millis));
    }
    let next = table.admit(9, LARGE, at(4_000)).expect("room");
    let revoked =
        |table: &BodyTable| keys.iter().map(|key| table.is_revoked(*key)).collect::<Vec<_>>();
    assert_eq!((revoked(&table), table.revocations()), (vec![true, false, false], 1));
    assert_eq!(table.grow(keys[0], LARGE, at(4_000)), Err(BodyDenial::Revoked));
    table.finish(next, LARGE);
    assert!(table.admit(8, LARGE, at(4_000)).is_ok());
    assert_eq!(revoked(&table), [true, false, true]);
    assert_eq!(table.admit(7, LARGE, at(4_000)), Err(BodyDenial::NoRoom));
    keys.iter().for_each(|key| table.release(*key));
    assert_eq!(table.held(), 2 * LARGE);
}

// Guards against a body that keeps its room by a byte now and then, and one that is taken for slow after it has
// gone on.
#[test]
fn rate_of_a_body_is_taken_over_windows() {
    let mut table = BodyTable::new(LARGE);
    table.set_room(LARGE, LARGE);
    let trickling = table.admit(1, LARGE, at(0)).expect("room");
    for millis in (100..=3_000).step_by(100) {
        table.record_bytes(trickling, 1, at(millis));
    }
    let next = table.admit(2, LARGE, at(3_000)).expect("room");
    assert!(table.is_revoked(trickling));
    // It was silent for two windows, and goes on.
    table.record_bytes(next, 1, at(5_500));
    for millis in (5_600..=8_000).step_by(100) {
        table.record_bytes(next, MIN_WINDOW_BYTES, at(millis));
    }
    assert_eq!(table.admit(3, LARGE, at(8_000)), Err(BodyDenial::NoRoom));
}

// Guards against room that is lost or counted twice, whatever the order of admission, growth, revocation and end.
#[test]
fn held_bytes_are_those_of_all_bodies_and_within_the_room() {
    fn property(steps: Vec<u32>) -> bool {
        let mut table = BodyTable::new(1_000_000);
        table.set_room(1_000_000, 500_000);
        let mut bodies = Vec::new();
        let mut millis = 0;
        for step in steps {
            millis += u64::from(step % 7) * 100;
            let (now, bytes) = (at(millis), (step / 64) as usize % 200_000);
            let number = step as usize / 16 % bodies.len().max(1);
            match (step % 16, bodies.get(number).copied()) {
                (0..=5, _) => bodies.extend(table.admit(u64::from(step % 3), bytes, now).ok()),
                (6..=9, Some(key)) => drop(table.grow(key, bytes, now)),
                (10 | 11, Some(key)) => table.record_bytes(key, bytes, now),
                (12 | 13, Some(key)) => table.finish(key, bytes.min(SMALL_BODY_BYTES)),
                (_, Some(_)) => table.release(bodies.swap_remove(number)),
                _ => {}
            }
            if table.held() > table.room() + bodies.len() * SMALL_BODY_BYTES {
                return false;
            }
        }
        bodies.into_iter().for_each(|key| table.release(key));
        table.held() == 0
    }
    let generator = Gen::from_size_and_seed(200, 20_261_207);
    let mut check = QuickCheck::new().rng(generator).tests(2_000).max_tests(2_000);
    check.quickcheck(property as fn(Vec<u32>) -> bool);
}
