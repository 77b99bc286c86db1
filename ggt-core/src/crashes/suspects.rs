//! What may be to blame if a request crashes its target.

use serde::Deserialize;
use serde::Serialize;

use crate::ident::mix_hash;
use crate::ident::stable_hash;
use crate::prompts::PromptPart;

/// Hash that tells keys of prompt parts from fingerprints.
const PART_SEED: u64 = 0x70_61_72_74;
/// Hash that tells keys of chats from others.
const CHAT_SEED: u64 = 0x63_68_61_74;
/// Maximum number of parts of one prompt that are suspected, the last ones: bounds what a caller can
/// make daemons store and tell each other.
const MAX_PARTS: usize = 64;

/// What requests have in common that may crash the targets which run them.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SuspectKey(pub u64);

impl SuspectKey {
    /// The fingerprint of a request: equal for requests with the same path and body.
    pub fn of_request(path: &str, body: &[u8]) -> Self {
        Self(mix_hash(stable_hash(path.as_bytes()), stable_hash(body)))
    }

    /// The key of a prompt part, whatever the model, the customer and the parts before it.
    pub fn of_part(part: PromptPart) -> Self {
        Self(mix_hash(PART_SEED, part.hash))
    }

    /// The key of a chat, given as the hash of its id and customer.
    pub fn of_chat(chat_hash: u64) -> Self {
        Self(mix_hash(CHAT_SEED, chat_hash))
    }
}

/// All that may be to blame if a request crashes its target: the request itself, and what it shares
/// with others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSuspects {
    /// The request's own key, then the shared ones.
    keys: Vec<SuspectKey>,
}

impl RequestSuspects {
    /// The suspects of a request that shares nothing with others.
    pub fn new(request: SuspectKey) -> Self {
        Self { keys: vec![request] }
    }

    /// Adds the parts of the prompt, without the last one: that belongs to the request or its session.
    pub fn with_parts(mut self, parts: &[PromptPart]) -> Self {
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let suspected = &shared[shared.len().saturating_sub(MAX_PARTS)..];
        for key in suspected.iter().copied().map(SuspectKey::of_part) {
            if !self.keys.contains(&key) {
                self.keys.push(key);
            }
        }
        self
    }

    /// Adds the chat that the request continues, given as the hash of its id and customer.
    pub fn with_chat(mut self, chat_hash: u64) -> Self {
        self.keys.push(SuspectKey::of_chat(chat_hash));
        self
    }

    /// The key of the request itself.
    pub fn request(&self) -> SuspectKey {
        self.keys[0]
    }

    /// All keys, that of the request first.
    pub fn keys(&self) -> &[SuspectKey] {
        &self.keys
    }
}
