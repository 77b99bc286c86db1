//! Generates a trace of returning chats from a few large and many small customers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Mean number of output tokens of a request: 1.8 million tokens at 3,700 requests per second.
const MEAN_OUTPUT_TOKENS: f64 = 486.0;
/// Mean tokens of a chat's first prompt above the minimum of 500: a dossier or a rulebook.
const MEAN_FIRST_TOKENS: f64 = 6_000.0;
/// Fraction of the pauses between turns that last hours.
const LONG_PAUSE_SHARE: f64 = 0.1;
const MEAN_SHORT_PAUSE_MS: f64 = 180_000.0;
const MEAN_LONG_PAUSE_MS: f64 = 7_200_000.0;
/// Probability that another turn follows.
const NEXT_TURN_CHANCE: f64 = 0.85;

/// Settings of a trace.
#[derive(Clone, Debug)]
pub struct TraceOptions {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Length of the trace, in milliseconds.
    pub length_ms: u64,
    /// Mean number of requests per second.
    pub rate: f64,
    /// Number of customers, in descending order of traffic.
    pub customers: usize,
    /// Customer that starts ten times as many chats, and start and end of this, in milliseconds.
    pub surge: Option<(usize, u64, u64)>,
}

/// One request, which is one turn of a chat.
#[derive(Clone, Copy, Debug)]
pub struct TraceRequest {
    /// Arrival time, in milliseconds from the start of the trace.
    pub at_ms: u64,
    /// Number of the chat.
    pub chat: u64,
    /// Index of the customer.
    pub customer: usize,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of tokens to generate.
    pub output_tokens: u64,
}

/// Draws from an exponential distribution.
fn exponential(generator: &mut SmallRng, mean: f64) -> f64 {
    let unit: f64 = generator.random();
    -mean * (1.0 - unit).ln()
}

/// Draws a customer; their shares of the traffic are proportional to 1, 1/2, 1/3 and so on.
fn pick_customer(generator: &mut SmallRng, customers: usize) -> usize {
    let total: f64 = (1..=customers).map(|rank| 1.0 / rank as f64).sum();
    let mut left = generator.random::<f64>() * total;
    for rank in 1..=customers {
        left -= 1.0 / rank as f64;
        if left <= 0.0 {
            return rank - 1;
        }
    }
    customers - 1
}

/// Generates a trace, sorted by time.
///
/// The generator runs for twice the length and drops the first half, so that chats are already in
/// progress when the trace begins.
pub fn generate(options: &TraceOptions) -> Vec<TraceRequest> {
    let mut generator = SmallRng::seed_from_u64(options.seed);
    let turns = 1.0 / (1.0 - NEXT_TURN_CHANCE);
    let first_gap = 1_000.0 * turns / options.rate;
    let run_in = options.length_ms;
    let end = run_in + options.length_ms;
    // Next turns: time, chat, customer and prompt tokens.
    let mut queue: BinaryHeap<Reverse<(u64, u64, usize, u64)>> = BinaryHeap::new();
    let mut chats = 0;
    let mut next_first = 0.0;
    let mut trace = Vec::new();
    loop {
        let next_turn = queue.peek().map_or(u64::MAX, |Reverse(turn)| turn.0);
        let at = next_turn.min(next_first as u64);
        if at >= end {
            break;
        }
        let (chat, customer, prompt) = if next_turn <= next_first as u64 {
            let Some(Reverse((_, chat, customer, prompt))) = queue.pop() else { break };
            (chat, customer, prompt)
        } else {
            chats += 1;
            let mut customer = pick_customer(&mut generator, options.customers);
            let mut gap = first_gap;
            if let Some((surging, from, until)) = options.surge
                && (run_in + from..run_in + until).contains(&at)
            {
                let share = surge_share(options.customers, surging);
                gap = first_gap / (1.0 + 9.0 * share);
                if generator.random::<f64>() < 9.0 * share / (1.0 + 9.0 * share) {
                    customer = surging;
                }
            }
            next_first += exponential(&mut generator, gap);
            (chats, customer, 500 + exponential(&mut generator, MEAN_FIRST_TOKENS) as u64)
        };
        let output = 1 + exponential(&mut generator, MEAN_OUTPUT_TOKENS) as u64;
        if at >= run_in {
            trace.push(TraceRequest {
                at_ms: at - run_in,
                chat,
                customer,
                prompt_tokens: prompt,
                output_tokens: output,
            });
        }
        if generator.random::<f64>() < NEXT_TURN_CHANCE {
            let is_long = generator.random::<f64>() < LONG_PAUSE_SHARE;
            let mean = if is_long { MEAN_LONG_PAUSE_MS } else { MEAN_SHORT_PAUSE_MS };
            // The pause includes the response time; the next prompt adds the output and a question.
            let pause = 15_000.0 + exponential(&mut generator, mean);
            let asked = exponential(&mut generator, 100.0) as u64;
            queue.push(Reverse((at + pause as u64, chat, customer, prompt + output + asked)));
        }
    }
    trace
}

/// A customer's fraction of the traffic without a surge.
fn surge_share(customers: usize, customer: usize) -> f64 {
    let total: f64 = (1..=customers).map(|rank| 1.0 / rank as f64).sum();
    1.0 / (customer + 1) as f64 / total
}
