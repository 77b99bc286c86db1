//! Encoding of the origins of streams that daemons on the users' platform tell each other.

use ggt_core::versions::StreamOrigin;

/// First byte of a datagram with origins. Digests begin with 0 or 1, the kind of an address.
const ORIGINS_MARK: u8 = 0xb7;

/// Whether a datagram holds origins rather than a digest.
pub fn is_origins(bytes: &[u8]) -> bool {
    bytes.first() == Some(&ORIGINS_MARK)
}

/// Encodes origins as a datagram.
///
/// # Errors
/// The error of the codec.
pub fn encode_origins(origins: &[StreamOrigin]) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(origins, vec![ORIGINS_MARK])
}

/// Decodes a datagram with origins.
///
/// # Errors
/// The error of the codec for bytes that are no origins.
pub fn decode_origins(bytes: &[u8]) -> Result<Vec<StreamOrigin>, postcard::Error> {
    match bytes.split_first() {
        Some((&ORIGINS_MARK, origins)) => postcard::from_bytes(origins),
        _ => Err(postcard::Error::DeserializeBadEncoding),
    }
}
