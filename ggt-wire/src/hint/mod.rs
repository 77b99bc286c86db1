//! The hint that a reply carries and the caller brings back with its chat's next request.

use serde::Deserialize;
use serde::Serialize;

use crate::seal::FleetKeys;
use crate::seal::TAG_BYTES;
use crate::seal::from_hex;
use crate::seal::to_hex;
use ggt_core::ident::CustomerName;
use ggt_core::ident::TargetName;

/// Longest hint in characters.
const MAX_HINT_CHARS: usize = 512;
const PURPOSE: &str = "hint";

/// Which target holds the prefix cache of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatHint {
    /// The target.
    pub target: TargetName,
    /// The target's incarnation.
    pub incarnation: u64,
    /// Tokens of the prefix that the target held, as it reported.
    pub warm_tokens: u64,
}

/// What a hint from a caller turned out to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HintVerdict {
    /// Made by this fleet for this customer.
    Valid(ChatHint),
    /// Well formed, but not made by this fleet for this customer. It costs a cache miss at most.
    Forged,
    /// Not a hint at all.
    Malformed,
}

/// Writes a hint for one customer.
pub fn encode_hint(keys: &FleetKeys, customer: &CustomerName, hint: &ChatHint) -> String {
    let mut bytes = postcard::to_stdvec(hint).unwrap_or_default();
    let tag = keys.sign(PURPOSE, &[customer.as_str().as_bytes(), &bytes]);
    bytes.extend_from_slice(&tag);
    to_hex(&bytes)
}

/// Reads a hint that a customer's caller brought.
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
