//! Prefixes of prompts, by which requests are routed to targets that have them cached.

use crate::ident::mix_hash;
use crate::ident::stable_hash;

/// One part of a prompt. Requests whose prompts begin with the same parts share a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Identifies the part, or in a chain the prefix that ends with it.
    pub hash: u64,
    /// Number of tokens of the part alone.
    pub tokens: u32,
}

/// Hash of a prefix, from the id of its last part and the model, since models do not share caches.
pub fn prefix_hash(model: &str, part: u64) -> u64 {
    mix_hash(stable_hash(model.as_bytes()), part)
}

/// The growing prefixes of a prompt, one for each part. Targets cache a part only together with all
/// parts before it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixChain {
    prefixes: Vec<PromptPart>,
}

impl PrefixChain {
    /// The prefixes of the prompt that consists of `parts`, for `model`.
    pub fn new(model: &str, parts: &[PromptPart]) -> Self {
        let prefixes = parts
            .iter()
            .map(|part| PromptPart { hash: prefix_hash(model, part.hash), tokens: part.tokens });
        Self { prefixes: prefixes.collect() }
    }

    /// The prefixes from shortest to longest: the hash of each, and the tokens of its last part.
    pub fn prefixes(&self) -> &[PromptPart] {
        &self.prefixes
    }

    /// The part that belongs to the request or its session alone; `None` if the prompt has only one part, which other
    /// requests may share.
    pub fn own_part(&self) -> Option<PromptPart> {
        match self.prefixes.as_slice() {
            [] | [_] => None,
            [.., own] => Some(*own),
        }
    }

    /// Number of tokens of the whole prompt.
    pub fn tokens(&self) -> u32 {
        self.prefixes.iter().map(|prefix| prefix.tokens).sum()
    }

    /// The anchor of a prompt: the longest prefix that other requests share, by which its target is
    /// chosen.
    ///
    /// The last part belongs to the request or its session, so this is the prefix before it, unless
    /// the prompt has only one part.
    pub fn placement_prefix(&self) -> Option<PromptPart> {
        match self.prefixes.as_slice() {
            [] => None,
            [only] => Some(*only),
            [.., shared, _] => Some(*shared),
        }
    }
}
