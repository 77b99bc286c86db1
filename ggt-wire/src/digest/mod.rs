//! Encoding of the digests that daemons on the users' platform send to each other.

use ggt_core::fleet::PeerDigest;

/// Encoding of empty lists and zeros for the fields that earlier builds do not send, appended before
/// decoding.
const EMPTY_FIELDS: [u8; 11] = [0; 11];

/// Encodes a digest.
///
/// # Errors
/// The error of the codec.
pub fn encode_digest(digest: &PeerDigest) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(digest)
}

/// Decodes a digest. Its last fields, from the ages of its crashes on, may be missing: earlier builds
/// do not send them, and ignore them when they decode a digest.
///
/// # Errors
/// The error of the codec for bytes that are no digest.
pub fn decode_digest(bytes: &[u8]) -> Result<PeerDigest, postcard::Error> {
    // The codec ignores bytes after the last field, so these only matter if fields are missing.
    let mut padded = bytes.to_vec();
    padded.extend(EMPTY_FIELDS);
    postcard::from_bytes(&padded)
}
