//! Prefix cache with least-recently-used eviction.

use std::collections::BTreeMap;

/// Number of cached prompt tokens of each chat.
#[derive(Debug)]
pub(super) struct PrefixCache {
    /// Maximum sum of cached tokens.
    capacity_tokens: u64,
    used_tokens: u64,
    /// Number of prompts cached so far; gives the logical time of last use.
    prompt_count: u64,
    /// Cached tokens and time of last use, by chat.
    chats: BTreeMap<String, (u64, u64)>,
}

impl PrefixCache {
    pub(super) fn new(capacity_tokens: u64) -> Self {
        Self { capacity_tokens, used_tokens: 0, prompt_count: 0, chats: BTreeMap::new() }
    }

    /// Caches a prompt of a chat and returns how many of its tokens were cached before.
    ///
    /// A request without a chat id is not cached.
    pub(super) fn cache_prompt(&mut self, chat: &str, tokens: u64) -> u64 {
        if chat.is_empty() {
            return 0;
        }
        self.prompt_count += 1;
        let previous = self.chats.insert(chat.to_owned(), (tokens, self.prompt_count));
        let cached = previous.map_or(0, |(cached, _)| cached);
        self.used_tokens = self.used_tokens + tokens - cached;
        while self.used_tokens > self.capacity_tokens {
            let oldest = self.chats.iter().min_by_key(|(_, (_, last_used))| *last_used);
            let Some(chat) = oldest.map(|(chat, _)| chat.clone()) else { break };
            if let Some((evicted, _)) = self.chats.remove(&chat) {
                self.used_tokens -= evicted;
            }
        }
        cached.min(tokens)
    }
}
