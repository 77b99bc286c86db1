//! The parts of a prompt, by which requests find the cache that holds them.

use crate::ident::mix_hash;

/// One part of a prompt; requests share parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Identifies the part.
    pub hash: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// A prompt's parts as they are cached: each only together with all parts before it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptChain {
    links: Vec<PromptPart>,
}

impl PromptChain {
    /// The chain of `parts` for `model`.
    pub fn new(model: u64, parts: &[PromptPart]) -> Self {
        let mut hash = model;
        let links = parts.iter().map(|part| {
            hash = mix_hash(hash, part.hash);
            PromptPart { hash, tokens: part.tokens }
        });
        Self { links: links.collect() }
    }

    /// The links, each identified together with all before it.
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
