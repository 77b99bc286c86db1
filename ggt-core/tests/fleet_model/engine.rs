//! An engine of the model: runs requests in slots, queues the others, and caches prompts.

use std::collections::HashSet;
use std::collections::VecDeque;

use ggt_core::prompts::PrefixChain;

/// Requests that an engine runs at once.
pub const SLOTS: u32 = 16;
/// Prompt tokens that an engine prefills per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 112.0;
/// Milliseconds for one output token at an idle engine.
const STEP_MS: f64 = 3.23;
/// How much each running request adds to that, as a fraction.
const STEP_GROWTH: f64 = 0.02;

/// Microseconds from the start of a run to its first event and to its end.
#[derive(Clone, Copy, Debug)]
pub struct RunTimes {
    pub first_event: u64,
    pub end: u64,
}

/// The requests at one engine, by their numbers, and the prefixes that it has cached.
#[derive(Default)]
pub struct ModelEngine {
    running: u32,
    waiting: VecDeque<usize>,
    cached: HashSet<u64>,
}

impl ModelEngine {
    /// Requests running and queued.
    pub fn held(&self) -> u32 {
        self.running + self.waiting.len() as u32
    }

    /// Takes a request; `true` if a slot is free for it, otherwise it waits.
    pub fn accept(&mut self, request: usize) -> bool {
        let has_slot = self.running < SLOTS;
        if !has_slot {
            self.waiting.push_back(request);
        }
        has_slot
    }

    /// Starts a request.
    pub fn run(&mut self, chain: &PrefixChain, output_tokens: u32) -> RunTimes {
        self.running += 1;
        let prefixes = chain.prefixes().iter();
        let uncached = prefixes.filter(|prefix| !self.cached.contains(&prefix.hash));
        let uncached: u32 = uncached.map(|prefix| prefix.tokens).sum();
        self.cached.extend(chain.prefixes().iter().map(|prefix| prefix.hash));
        let prefill_ms = f64::from(uncached) / PREFILL_TOKENS_PER_MS;
        let step_ms = STEP_MS * (1.0 + STEP_GROWTH * f64::from(self.running));
        let micros = |steps: u32| ((prefill_ms + step_ms * f64::from(steps)) * 1_000.0) as u64;
        RunTimes { first_event: micros(1), end: micros(output_tokens.max(1)) }
    }

    /// Ends a request; returns the next one that waits.
    pub fn end(&mut self) -> Option<usize> {
        self.running -= 1;
        self.waiting.pop_front()
    }
}
