//! The parts of a prompt, by which requests find the cache that holds them.

use crate::ident::mix_hash;
use crate::ident::stable_hash;

/// One part of a prompt; requests share parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Identifies the part.
    pub hash: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// Identifies a part of a prompt for one model.
pub fn link_hash(model: &str, part: u64) -> u64 {
    mix_hash(stable_hash(model.as_bytes()), part)
}

/// A prompt's parts as they are cached: each only together with all parts before it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptChain {
    links: Vec<PromptPart>,
}

impl PromptChain {
    /// The chain of `parts` for `model`.
    pub fn new(model: &str, parts: &[PromptPart]) -> Self {
        let links = parts
            .iter()
            .map(|part| PromptPart { hash: link_hash(model, part.hash), tokens: part.tokens });
        Self { links: links.collect() }
    }

    /// The links, each identified for its model.
    pub fn links(&self) -> &[PromptPart] {
        &self.links
    }

    /// Tokens of the whole prompt.
    pub fn tokens(&self) -> u32 {
        self.links.iter().map(|link| link.tokens).sum()
    }

    /// The link that places a request: the last one that other requests share.
    ///
    /// The last part belongs to the request or to its session, so the one before it is taken, unless
    /// it is the only one.
    pub fn anchor(&self) -> Option<PromptPart> {
        match self.links.as_slice() {
            [] => None,
            [only] => Some(*only),
            [.., shared, _] => Some(*shared),
        }
    }
}
