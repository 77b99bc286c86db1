//! Keys shared by the daemons of a fleet and the message authentication tags made with them.

use hmac::Hmac;
use hmac::Mac;
use sha2::Digest;
use sha2::Sha256;

/// Bytes of a tag: HMAC-SHA-256 truncated to half its length, as RFC 2104 allows.
pub const TAG_BYTES: usize = 16;

/// The keys of a fleet. The first one signs; all of them verify, so that keys can be rotated.
#[derive(Clone)]
pub struct FleetKeys {
    keys: Vec<Vec<u8>>,
}

impl FleetKeys {
    /// Builds the keys from secrets, of which the first one signs.
    pub fn new<I, S>(secrets: I) -> Self
    where
        I: IntoIterator<Item = S>,
        S: AsRef<[u8]>,
    {
        Self { keys: secrets.into_iter().map(|secret| secret.as_ref().to_vec()).collect() }
    }

    /// Computes the tag of `parts` for a purpose; a tag is valid for its own purpose only.
    pub fn sign(&self, purpose: &str, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        let key = self.keys.first().map(Vec::as_slice).unwrap_or_default();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&full_tag(key, purpose, parts).finalize().into_bytes()[..TAG_BYTES]);
        tag
    }

    /// Whether `tag` was made for the purpose and the parts with one of the keys.
    pub fn verify(&self, purpose: &str, parts: &[&[u8]], tag: &[u8]) -> bool {
        tag.len() == TAG_BYTES
            && self
                .keys
                .iter()
                .any(|key| full_tag(key, purpose, parts).verify_truncated_left(tag).is_ok())
    }
}

fn full_tag(key: &[u8], purpose: &str, parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key)
        .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
    // Each part is preceded by its length, so that different lists never give the same input.
    for part in std::iter::once(purpose.as_bytes()).chain(parts.iter().copied()) {
        mac.update(&(part.len() as u64).to_le_bytes());
        mac.update(part);
    }
    mac
}

/// Encodes bytes as lower-case hexadecimal digits.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes hexadecimal digits; `None` if the length is odd or the text has other characters.
pub fn from_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(text.get(at..at + 2)?, 16).ok())
        .collect()
}

/// SHA-256 of a bearer key, in the hexadecimal form used in the configuration.
pub fn key_digest(bearer: &str) -> String {
    to_hex(&Sha256::digest(bearer.as_bytes()))
}
