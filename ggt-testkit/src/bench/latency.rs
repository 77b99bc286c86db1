//! Latency that a daemon adds to the first token of a stream and to the gaps between tokens.

use std::io::Read;
use std::net::SocketAddr;
use std::thread;
use std::time::Instant;

use serde::Serialize;

use crate::fleet::TestFleet;
use crate::http::HttpRequest;
use crate::layout::FleetOptions;
use crate::layout::bearer_key;

/// Tokens of each stream.
const TOKENS: usize = 40;
/// Milliseconds between the tokens of a stream.
const GAP_MS: u64 = 20;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Latencies of the streams of concurrent callers.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct StreamTimes {
    /// Median time to the first byte, in milliseconds.
    pub first_p50_ms: f64,
    /// 95th percentile of the time to the first byte, in milliseconds.
    pub first_p95_ms: f64,
    /// 95th percentile of the time between two reads of a stream, in milliseconds.
    pub gap_p95_ms: f64,
}

/// Latencies of streams with and without a daemon in between.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LatencyOutcome {
    /// Number of concurrent callers.
    pub callers: usize,
    /// Streams directly from the engine.
    pub direct: StreamTimes,
    /// Streams through a daemon.
    pub through: StreamTimes,
}

/// Measures the streams of `callers` concurrent callers, each with `rounds` streams in sequence.
pub fn measure_latency(callers: usize, rounds: usize) -> LatencyOutcome {
    let fleet = TestFleet::start(FleetOptions {
        centres: vec![("recife-a", 1)],
        engines: 1,
        services: 0,
        capacity: 10_000,
        ..FleetOptions::default()
    });
    LatencyOutcome {
        callers,
        direct: measure_streams(fleet.targets[0].address, callers, rounds),
        through: measure_streams(fleet.daemons[0].callers, callers, rounds),
    }
}

fn measure_streams(address: SocketAddr, callers: usize, rounds: usize) -> StreamTimes {
    let measured: Vec<(Vec<f64>, Vec<f64>)> = thread::scope(|scope| {
        let tasks: Vec<_> = (0..callers)
            .map(|caller| scope.spawn(move || measure_caller(address, caller, rounds)))
            .collect();
        tasks.into_iter().map(|task| task.join().expect("caller thread should not panic")).collect()
    });
    let mut first_byte_ms: Vec<f64> =
        measured.iter().flat_map(|(first, _)| first.clone()).collect();
    let mut gaps_ms: Vec<f64> = measured.into_iter().flat_map(|(_, gaps_ms)| gaps_ms).collect();
    StreamTimes {
        first_p50_ms: quantile(&mut first_byte_ms, 0.5),
        first_p95_ms: quantile(&mut first_byte_ms, 0.95),
        gap_p95_ms: quantile(&mut gaps_ms, 0.95),
    }
}

fn measure_caller(address: SocketAddr, caller: usize, rounds: usize) -> (Vec<f64>, Vec<f64>) {
    let (mut first_byte_ms, mut gaps_ms) = (Vec::new(), Vec::new());
    let path = format!("/chat?tokens={TOKENS}&gap_ms={GAP_MS}");
    for round in 0..rounds {
        let request = HttpRequest::new("POST", address, &path)
            .bearer(&bearer_key("contabil"))
            .header("x-request-id", &format!("{caller}-{round}"))
            .body("a prompt");
        let mut last_read = Instant::now();
        let Some((_, mut reader)) = request.open() else { continue };
        let mut buffer = [0; 4_096];
        let mut is_first = true;
        while reader.read(&mut buffer).is_ok_and(|length| length > 0) {
            let elapsed_ms = last_read.elapsed().as_micros() as f64 / MICROS_PER_MILLI;
            last_read = Instant::now();
            if is_first {
                first_byte_ms.push(elapsed_ms)
            } else {
                gaps_ms.push(elapsed_ms)
            }
            is_first = false;
        }
    }
    (first_byte_ms, gaps_ms)
}

fn quantile(times: &mut [f64], fraction: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    let at = (times.len().saturating_sub(1) as f64 * fraction).round() as usize;
    times.get(at).copied().unwrap_or_default()
}
