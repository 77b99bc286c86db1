//! A prefix cache of limited size that drops what was used least recently.

use std::collections::BTreeMap;

/// Tokens cached for each chat.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: u64,
    used: u64,
    clock: u64,
    chats: BTreeMap<String, (u64, u64)>,
}

impl PrefixCache {
    pub(super) fn new(capacity: u64) -> Self {
        Self { capacity, used: 0, clock: 0, chats: BTreeMap::new() }
    }

    /// Runs a prompt of a chat: returns how many of its tokens were cached, and caches all.
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
