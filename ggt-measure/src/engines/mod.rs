//! Model of an engine: prefix cache, load, and response times that depend on both.

use std::collections::BTreeMap;
use std::collections::HashMap;

use ggt_core::routing::LoadReport;

/// Prompt tokens that an engine prefills per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 12.0;
/// Milliseconds per generated token on an idle engine.
const IDLE_TOKEN_MS: f64 = 18.0;
/// Milliseconds per generated token on an engine at capacity.
const FULL_LOAD_TOKEN_MS: f64 = 27.0;

/// Simulated engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    /// Number of requests that it can run concurrently.
    pub capacity: u32,
    /// Incarnation, incremented by a crash.
    pub incarnation: u64,
    /// Whether it is running.
    pub is_up: bool,
    started: u64,
    finished: u64,
    /// Capacity of the prefix cache.
    cache_tokens: u64,
    used_tokens: u64,
    /// Number of prompts cached so far; gives the logical time of last use.
    prompt_count: u64,
    /// Cached tokens and time of last use, by chat.
    chats: HashMap<u64, (u64, u64)>,
    /// Chats by time of last use.
    by_last_use: BTreeMap<u64, u64>,
}

impl EngineModel {
    /// Creates an idle engine with an empty cache.
    pub fn new(capacity: u32, cache_tokens: u64) -> Self {
        Self {
            capacity,
            incarnation: 1,
            is_up: true,
            started: 0,
            finished: 0,
            cache_tokens,
            used_tokens: 0,
            prompt_count: 0,
            chats: HashMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    /// Current load report.
    pub fn load_report(&self) -> LoadReport {
        LoadReport { started_total: self.started, finished_total: self.finished }
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.load_report().in_flight()
    }

    /// Number of cached tokens of a chat.
    pub fn cached_tokens(&self, chat: u64) -> u64 {
        self.chats.get(&chat).map_or(0, |(tokens, _)| *tokens)
    }

    /// Starts a request; returns the cached prompt tokens and the duration in milliseconds.
    pub fn start(&mut self, chat: u64, prompt: u64, output: u64) -> (u64, u64) {
        let cached = self.cached_tokens(chat).min(prompt);
        self.started += 1;
        let utilisation = (self.in_flight() as f64 / f64::from(self.capacity)).min(1.5);
        let token_ms = IDLE_TOKEN_MS + (FULL_LOAD_TOKEN_MS - IDLE_TOKEN_MS) * utilisation;
        let prefill = (prompt - cached) as f64 / PREFILL_TOKENS_PER_MS;
        self.cache_prompt(chat, prompt + output);
        (cached, (prefill + output as f64 * token_ms) as u64)
    }

    /// Records the end of a request.
    pub fn finish(&mut self) {
        self.finished += 1;
    }

    /// Crashes: loses its cache and its requests, and stays down until `is_up` is set.
    pub fn crash(&mut self) {
        *self = Self {
            incarnation: self.incarnation + 1,
            is_up: false,
            ..Self::new(self.capacity, self.cache_tokens)
        };
    }

    /// Caches the tokens of a chat and evicts the least recently used chats.
    fn cache_prompt(&mut self, chat: u64, tokens: u64) {
        self.prompt_count += 1;
        if let Some((old, last_used)) = self.chats.insert(chat, (tokens, self.prompt_count)) {
            self.used_tokens -= old;
            self.by_last_use.remove(&last_used);
        }
        self.used_tokens += tokens;
        self.by_last_use.insert(self.prompt_count, chat);
        while self.used_tokens > self.cache_tokens {
            let Some((_, oldest)) = self.by_last_use.pop_first() else { break };
            if let Some((tokens, _)) = self.chats.remove(&oldest) {
                self.used_tokens -= tokens;
            }
        }
    }
}
