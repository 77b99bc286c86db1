//! Pace at which a digest is sent to a large fleet.

use ggt_core::fleet::BATCH_INTERVAL_MS;
use ggt_core::fleet::batch_size;

/// Size of the largest digest in bytes.
const DIGEST_BYTES: usize = 1_400;
/// Link of a small host in megabits per second.
const SLOW_LINK_MBPS: f64 = 20.0;

/// Milliseconds for which a digest to this many daemons is being sent.
fn send_ms(daemons: usize, link_mbps: f64) -> u64 {
    let batches = daemons.div_ceil(batch_size(link_mbps, DIGEST_BYTES)) as u64;
    (batches - 1) * BATCH_INTERVAL_MS
}

// Guards against daemons that hear nothing of the fleet: a digest to 195 daemons at once was more than a slow
// link takes, and the last recipients, the same ones each time, got none.
#[test]
fn pattern_a_digest_to_hundreds_of_daemons_leaves_half_of_a_slow_link_free() {
    let bytes_per_ms = SLOW_LINK_MBPS * 125.0;
    for bytes in [100, 400, DIGEST_BYTES] {
        let sent = (batch_size(SLOW_LINK_MBPS, bytes) * bytes) as f64;
        assert!(sent <= bytes_per_ms * BATCH_INTERVAL_MS as f64 / 2.0, "{bytes}: {sent}");
    }
    assert_eq!(batch_size(0.1, DIGEST_BYTES), 1, "there is always some progress");
}

// Guards against news that come too late: a change has 2 s in a fleet of 64 and 4 s in one of 195.
#[test]
fn a_digest_is_sent_within_moments() {
    assert!(send_ms(63, SLOW_LINK_MBPS) <= 100);
    assert!(send_ms(194, SLOW_LINK_MBPS) <= 250);
    assert_eq!(send_ms(194, 1_000.0), 0);
}
