//! Weighted rendezvous hashing.

use crate::ident::mix_hash;

/// Scores a candidate for an item; the candidate with the highest score comes first.
///
/// The order of candidates for one item is the same on every daemon, and a candidate is first for
/// a share of the items that is proportional to its weight.
pub fn rendezvous_score(item_hash: u64, candidate_hash: u64, weight: f64) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    let bits = mix_hash(item_hash, candidate_hash) >> (u64::BITS - MANTISSA_BITS);
    // Lies strictly between 0 and 1, so that the logarithm is finite and negative.
    let unit = (bits as f64 + 0.5) / (1_u64 << MANTISSA_BITS) as f64;
    -weight / unit.ln()
}
