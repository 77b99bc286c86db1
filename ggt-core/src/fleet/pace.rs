//! How fast a digest is sent to the many daemons of a large fleet.

/// Part of the host's link that a digest may take while it is being sent; the rest is for requests.
const LINK_FRACTION: f64 = 0.5;
/// Bytes per millisecond on a link of one megabit per second.
pub(super) const BYTES_PER_MS: f64 = 125.0;

/// Milliseconds between two batches of datagrams.
pub const BATCH_INTERVAL_MS: u64 = 5;

/// Number of datagrams of `bytes` bytes to send in one batch on a link of `link_mbps` megabits per second.
///
/// A digest sent to all at once can exceed what the link and its queue take: what is lost then are the last
/// datagrams of each digest.
pub fn batch_size(link_mbps: f64, bytes: usize) -> usize {
    let batch_bytes = link_mbps * BYTES_PER_MS * BATCH_INTERVAL_MS as f64 * LINK_FRACTION;
    (batch_bytes / bytes.max(1) as f64).max(1.0) as usize
}
