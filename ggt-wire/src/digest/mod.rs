//! Encoding of the digests that daemons on the users' platform send to each other.

use ggt_core::fleet::PeerDigest;

/// Encoding of an empty list, appended before decoding.
const EMPTY_LIST: u8 = 0;

/// Encodes a digest.
///
/// # Errors
/// The error of the codec.
pub fn encode_digest(digest: &PeerDigest) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(digest)
}

/// Decodes a digest. Its last field, the ages of its crashes, may be missing: earlier builds do not
/// send it, and ignore it when they decode a digest.
///
/// # Errors
/// The error of the codec for bytes that are no digest.
pub fn decode_digest(bytes: &[u8]) -> Result<PeerDigest, postcard::Error> {
    // The codec ignores bytes after the last field, so this only matters if that field is missing.
    let mut padded = bytes.to_vec();
    padded.push(EMPTY_LIST);
    postcard::from_bytes(&padded)
}
