//! The hint that a response contains and that the caller returns with the chat's next request.

use serde::Deserialize;
use serde::Serialize;

use crate::auth::FleetKeys;
use crate::auth::TAG_BYTES;
use crate::auth::from_hex;
use crate::auth::to_hex;
use ggt_core::ident::CustomerName;
use ggt_core::ident::TargetName;

/// Maximum length of an encoded hint, in hexadecimal digits.
const MAX_HINT_CHARS: usize = 512;
/// Purpose that the tag of a hint is bound to.
const PURPOSE: &str = "hint";

/// Names the target that has a chat's prefix in its cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatHint {
    /// Target that served the chat's last request.
    pub target: TargetName,
    /// Incarnation of that target.
    pub incarnation: u64,
    /// Number of prefix tokens that the target reported as cached.
    pub warm_tokens: u64,
}

/// Result of decoding a hint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HintVerdict {
    /// Issued by this fleet to this customer.
    Valid(ChatHint),
    /// Well formed, but not issued by this fleet to this customer. Ignoring it costs at most a
    /// cache miss.
    Forged,
    /// Not a hint.
    Malformed,
}

/// Encodes a hint; its tag covers the customer's name.
pub fn encode_hint(keys: &FleetKeys, customer: &CustomerName, hint: &ChatHint) -> String {
    let mut bytes = postcard::to_stdvec(hint).unwrap_or_default();
    let tag = keys.sign(PURPOSE, &[customer.as_str().as_bytes(), &bytes]);
    bytes.extend_from_slice(&tag);
    to_hex(&bytes)
}

/// Verifies and decodes a hint that a caller of `customer` sent.
pub fn decode_hint(keys: &FleetKeys, customer: &CustomerName, text: &str) -> HintVerdict {
    if text.len() > MAX_HINT_CHARS {
        return HintVerdict::Malformed;
    }
    let Some(bytes) = from_hex(text).filter(|bytes| bytes.len() > TAG_BYTES) else {
        return HintVerdict::Malformed;
    };
    let (body, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
    if !keys.verify(PURPOSE, &[customer.as_str().as_bytes(), body], tag) {
        return HintVerdict::Forged;
    }
    match postcard::from_bytes(body) {
        Ok(hint) => HintVerdict::Valid(hint),
        Err(_) => HintVerdict::Malformed,
    }
}
