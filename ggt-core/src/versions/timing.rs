//! Times within which other daemons hear of a stream, and reply to the question which version began it.

/// Delay in milliseconds before others are told of a stream, so that several go into one datagram.
pub const TELL_DELAY_MS: u64 = 100;
/// The same while streams may have begun at several versions, so that other daemons cannot go on with a stream
/// before they are told.
pub const OPEN_TELL_DELAY_MS: u64 = 25;
/// Maximum time in milliseconds for the replies of the daemons that are asked first.
pub const FIRST_ASK_MS: u64 = 60;
/// Maximum time in milliseconds for the replies of all others.
pub const ASK_MS: u64 = 200;
/// Time in milliseconds in which replies are read that have arrived while the asking daemon was busy.
pub const BUSY_GRACE_MS: u64 = 5;

/// Maximum time in milliseconds for the replies of the daemons that list the targets' prefix caches.
pub const CACHE_ASK_MS: u64 = 300;
/// Maximum time in milliseconds that such a daemon waits for lists before it replies with those that it has.
pub const LIST_WAIT_MS: u64 = 200;

/// Longest time in milliseconds from a stream's first event until those that are told know its version, with
/// `delivery_ms` for a datagram on the way.
pub const fn longest_tell_ms(delivery_ms: u64) -> u64 {
    TELL_DELAY_MS + delivery_ms
}

/// Longest time in milliseconds until all daemons that may know a stream have been asked.
pub const fn longest_ask_ms() -> u64 {
    FIRST_ASK_MS + ASK_MS + 2 * BUSY_GRACE_MS
}

/// Longest time in milliseconds until a stream that no daemon knows goes on or is refused, apart from a request to
/// the platform.
pub const fn longest_decision_ms() -> u64 {
    longest_ask_ms() + CACHE_ASK_MS + BUSY_GRACE_MS
}
