//! Prefix cache with least-recently-used eviction.

use std::collections::BTreeMap;

/// Number of cached prompt tokens of each chat.
#[derive(Debug)]
pub(super) struct PrefixCache {
    /// Maximum sum of cached tokens.
    capacity: u64,
    used: u64,
    /// Number of prompts processed, as the time of use.
    clock: u64,
    /// Cached tokens and time of last use, by chat.
    chats: BTreeMap<String, (u64, u64)>,
}

impl PrefixCache {
    pub(super) fn new(capacity: u64) -> Self {
        Self { capacity, used: 0, clock: 0, chats: BTreeMap::new() }
    }

    /// Caches a prompt of a chat and returns how many of its tokens were cached before.
    ///
    /// A request without a chat id is not cached.
    pub(super) fn take(&mut self, chat: &str, tokens: u64) -> u64 {
        if chat.is_empty() {
            return 0;
        }
        self.clock += 1;
        let known = self.chats.insert(chat.to_owned(), (tokens, self.clock));
        let cached = known.map_or(0, |(cached, _)| cached);
        self.used = self.used + tokens - cached;
        while self.used > self.capacity {
            let oldest = self.chats.iter().min_by_key(|(_, (_, at))| *at);
            let Some(chat) = oldest.map(|(chat, _)| chat.clone()) else { break };
            if let Some((dropped, _)) = self.chats.remove(&chat) {
                self.used -= dropped;
            }
        }
        cached.min(tokens)
    }
}
