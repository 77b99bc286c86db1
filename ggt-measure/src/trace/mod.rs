//! Generates a trace of returning chats from a few large and many small customers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Mean number of output tokens of a request: 1.8 million tokens at 3,700 requests per second.
const MEAN_OUTPUT_TOKENS: f64 = 486.0;
/// Mean tokens of a chat's first prompt above the minimum of 500: a dossier or a rulebook.
const MEAN_FIRST_PROMPT_TOKENS: f64 = 6_000.0;
/// Fraction of the pauses between turns that last hours.
const LONG_PAUSE_FRACTION: f64 = 0.1;
const MEAN_SHORT_PAUSE_MS: f64 = 180_000.0;
const MEAN_LONG_PAUSE_MS: f64 = 7_200_000.0;
/// Probability that another turn follows.
const NEXT_TURN_PROBABILITY: f64 = 0.85;

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
    /// Index of the customer that starts ten times as many chats, with the start and end of the surge
    /// in milliseconds.
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
fn draw_customer(generator: &mut SmallRng, customers: usize) -> usize {
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
    let mean_turns = 1.0 / (1.0 - NEXT_TURN_PROBABILITY);
    let mean_chat_interval_ms = 1_000.0 * mean_turns / options.rate;
    let lead_in_ms = options.length_ms;
    let end_ms = lead_in_ms + options.length_ms;
    // Next turns: time, chat, customer and prompt tokens.
    let mut next_turns: BinaryHeap<Reverse<(u64, u64, usize, u64)>> = BinaryHeap::new();
    let mut chat_count = 0;
    let mut next_chat_ms = 0.0;
    let mut trace = Vec::new();
    loop {
        let next_turn_ms = next_turns.peek().map_or(u64::MAX, |Reverse(turn)| turn.0);
        let at_ms = next_turn_ms.min(next_chat_ms as u64);
        if at_ms >= end_ms {
            break;
        }
        let (chat, customer, prompt) = if next_turn_ms <= next_chat_ms as u64 {
            let Some(Reverse((_, chat, customer, prompt))) = next_turns.pop() else { break };
            (chat, customer, prompt)
        } else {
            chat_count += 1;
            let mut customer = draw_customer(&mut generator, options.customers);
            let mut interval_ms = mean_chat_interval_ms;
            if let Some((surging, from, until)) = options.surge
                && (lead_in_ms + from..lead_in_ms + until).contains(&at_ms)
            {
                let fraction = traffic_fraction(options.customers, surging);
                interval_ms = mean_chat_interval_ms / (1.0 + 9.0 * fraction);
                if generator.random::<f64>() < 9.0 * fraction / (1.0 + 9.0 * fraction) {
                    customer = surging;
                }
            }
            next_chat_ms += exponential(&mut generator, interval_ms);
            (
                chat_count,
                customer,
                500 + exponential(&mut generator, MEAN_FIRST_PROMPT_TOKENS) as u64,
            )
        };
        let output = 1 + exponential(&mut generator, MEAN_OUTPUT_TOKENS) as u64;
        if at_ms >= lead_in_ms {
            trace.push(TraceRequest {
                at_ms: at_ms - lead_in_ms,
                chat,
                customer,
                prompt_tokens: prompt,
                output_tokens: output,
            });
        }
        if generator.random::<f64>() < NEXT_TURN_PROBABILITY {
            let is_long = generator.random::<f64>() < LONG_PAUSE_FRACTION;
            let mean_ms = if is_long { MEAN_LONG_PAUSE_MS } else { MEAN_SHORT_PAUSE_MS };
            // The pause includes the response time; the next prompt adds the output and a question.
            let pause_ms = 15_000.0 + exponential(&mut generator, mean_ms);
            let question_tokens = exponential(&mut generator, 100.0) as u64;
            next_turns.push(Reverse((
                at_ms + pause_ms as u64,
                chat,
                customer,
                prompt + output + question_tokens,
            )));
        }
    }
    trace
}

/// A customer's fraction of the traffic without a surge.
fn traffic_fraction(customers: usize, customer: usize) -> f64 {
    let total: f64 = (1..=customers).map(|rank| 1.0 / rank as f64).sum();
    1.0 / (customer + 1) as f64 / total
}
