//! Weighted rendezvous hashing.

use crate::ident::mix_hash;

/// Score of a candidate for an item; candidates are ordered by decreasing score.
///
/// The order for one item is the same on every daemon, and a candidate is first for a fraction of
/// the items that is proportional to its weight.
pub fn rendezvous_score(item_hash: u64, candidate_hash: u64, weight: f64) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    let bits = mix_hash(item_hash, candidate_hash) >> (u64::BITS - MANTISSA_BITS);
    // Lies strictly between 0 and 1, so that the logarithm is finite and negative.
    let unit = (bits as f64 + 0.5) / (1_u64 << MANTISSA_BITS) as f64;
    -weight / unit.ln()
}
