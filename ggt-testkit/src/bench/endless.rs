//! Memory of a daemon, and the times of sound requests, beside servers whose replies do not end.

use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use serde_json::json;

use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::EndlessKind;
use ggt_standin::users_platform::WireRequest;
use ggt_standin::users_platform::respond;
use ggt_standin::users_platform::send_without_end;

use crate::bench::usage::allocated_bytes_of;
use crate::front::FrontFleet;
use crate::front::caller_request;
use crate::http::HttpRequest;

/// Servers of the fleet, all of which send such replies.
const SERVERS: usize = 3;
/// Time before the callers begin.
const CALM: Duration = Duration::from_millis(500);
/// Time for which the callers repeat their requests, unless their replies take longer.
const LOAD_TIME: Duration = Duration::from_secs(10);
/// Deadline of the callers' requests, in milliseconds.
const DEADLINE_MS: u64 = 8_000;
/// Pause between two sound requests.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Deadline of a sound request, in milliseconds.
const PROBE_DEADLINE_MS: u64 = 4_000;
/// Path of sound requests.
const PROBE_PATH: &str = "/read/probe";
/// How often the memory is read.
const MEMORY_INTERVAL: Duration = Duration::from_millis(10);
/// Size of a caller's reads.
const READ_BYTES: usize = 64 * 1024;
const BYTES_PER_MEGABYTE: f64 = 1_000_000.0;

/// What servers and callers do in a run.
#[derive(Clone, Copy, Debug)]
pub struct EndlessOptions {
    /// Part of the replies that does not end.
    pub kind: EndlessKind,
    /// Route of the requests: `read`, `once`, `chat` or `talk`.
    pub route: &'static str,
    /// Callers, each of which sends one request after the other.
    pub callers: usize,
    /// Bytes that a server sends per second in each reply.
    pub bytes_per_second: u64,
    /// Whether the callers read the responses; otherwise they stop after the head.
    pub are_read: bool,
}

/// What a run has shown.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EndlessOutcome {
    /// Part of the replies that did not end.
    pub kind: String,
    /// Route of the requests.
    pub route: &'static str,
    /// Concurrent callers.
    pub callers: usize,
    /// Largest memory that the daemon had allocated, in megabytes.
    pub peak_mb: f64,
    /// Requests with such replies.
    pub requests: usize,
    /// Of these, those that got a complete response with status 200.
    pub complete: usize,
    /// The longest time that one of them took, in milliseconds.
    pub longest_ms: u64,
    /// Sound requests.
    pub probes: usize,
    /// Of these, those that were not served.
    pub failed_probes: usize,
    /// Median time of a sound request, in milliseconds.
    pub probe_p50_ms: u64,
    /// 99th percentile of the same.
    pub probe_p99_ms: u64,
    /// The longest time of a sound request, in milliseconds.
    pub probe_max_ms: u64,
}

/// What the threads of a run share.
struct EndlessRun {
    options: EndlessOptions,
    is_over: AtomicBool,
    ends_at: Instant,
    peak_bytes: AtomicU64,
}

/// Time and success of one request.
#[derive(Clone, Copy, Debug)]
struct RequestTime {
    millis: u64,
    is_served: bool,
}

/// Starts a fleet of one daemon, and sends requests to servers whose replies do not end.
///
/// # Panics
/// When the fleet does not start, or a thread panics.
pub fn measure_endless(options: EndlessOptions) -> EndlessOutcome {
    let fleet = FrontFleet::start_with(SERVERS, 1, json!({}));
    for server in &fleet.servers {
        server.set_script(move |request: &WireRequest, stream: &mut TcpStream| {
            if request.path == PROBE_PATH {
                return respond(request, stream, 200, "whole");
            }
            send_without_end(options.kind, request, stream, options.bytes_per_second);
            AfterResponse::Close
        });
    }
    let run = Arc::new(EndlessRun {
        options,
        is_over: AtomicBool::new(false),
        ends_at: Instant::now() + CALM + LOAD_TIME,
        peak_bytes: AtomicU64::new(0),
    });
    let process = fleet.daemons[0].process.id();
    let watch = spawn(&run, move |run| watch_memory(run, process));
    let address = fleet.daemons[0].callers;
    let probes = spawn(&run, move |run| send_probes(run, address));
    thread::sleep(CALM);
    let callers: Vec<_> = (0..options.callers)
        .map(|caller| spawn(&run, move |run| send_requests(run, address, caller)))
        .collect();
    let requests: Vec<_> = callers.into_iter().flat_map(join).collect();
    run.is_over.store(true, Ordering::SeqCst);
    let probes = join(probes);
    join(watch);
    outcome(&run, &requests, &probes)
}

fn spawn<T, F>(run: &Arc<EndlessRun>, act: F) -> JoinHandle<T>
where
    T: Send + 'static,
    F: FnOnce(&EndlessRun) -> T + Send + 'static,
{
    let run = run.clone();
    thread::spawn(move || act(&run))
}

fn join<T>(thread: JoinHandle<T>) -> T {
    thread.join().expect("thread should not panic")
}

fn watch_memory(run: &EndlessRun, process: u32) {
    while !run.is_over.load(Ordering::SeqCst) {
        run.peak_bytes.fetch_max(allocated_bytes_of(process), Ordering::SeqCst);
        thread::sleep(MEMORY_INTERVAL);
    }
}

/// Sends a sound request at each interval, on a new connection, until the callers have ended.
fn send_probes(run: &EndlessRun, address: SocketAddr) -> Vec<RequestTime> {
    let mut times = Vec::new();
    let mut next_at = Instant::now();
    while !run.is_over.load(Ordering::SeqCst) {
        let id = format!("probe-{}", times.len());
        let request = caller_request(address, "GET", PROBE_PATH, (&id, PROBE_DEADLINE_MS));
        let begun_at = Instant::now();
        let is_served = request.send().is_some_and(|response| response.body == "whole");
        times.push(RequestTime { millis: elapsed_ms(begun_at), is_served });
        next_at = (next_at + PROBE_INTERVAL).max(Instant::now());
        thread::sleep(next_at.saturating_duration_since(Instant::now()));
    }
    times
}

/// Sends one request after the other until the time is over.
fn send_requests(run: &EndlessRun, address: SocketAddr, caller: usize) -> Vec<RequestTime> {
    let mut times = Vec::new();
    let path = format!("/{}/{caller}", run.options.route);
    while Instant::now() < run.ends_at {
        let id = format!("endless-{caller}-{}", times.len());
        let request = caller_request(address, "POST", &path, (&id, DEADLINE_MS)).body("body");
        let begun_at = Instant::now();
        let is_served = receive(run, &request);
        times.push(RequestTime { millis: elapsed_ms(begun_at), is_served });
        // Callers whose requests are refused come back after a pause.
        thread::sleep(PROBE_INTERVAL);
    }
    times
}

/// Sends a request and receives the response; `true` if it is complete and has status 200.
fn receive(run: &EndlessRun, request: &HttpRequest) -> bool {
    let Some((response, mut reader)) = request.open() else { return false };
    if !run.options.are_read {
        thread::sleep(run.ends_at.saturating_duration_since(Instant::now()));
        return false;
    }
    let mut buffer = vec![0; READ_BYTES];
    loop {
        match reader.read(&mut buffer) {
            Ok(0) => return response.status == 200,
            Ok(_) => {}
            Err(_) => return false,
        }
    }
}

fn elapsed_ms(begun_at: Instant) -> u64 {
    u64::try_from(begun_at.elapsed().as_millis()).unwrap_or(u64::MAX)
}

fn outcome(run: &EndlessRun, requests: &[RequestTime], probes: &[RequestTime]) -> EndlessOutcome {
    let mut probe_ms: Vec<_> = probes.iter().map(|time| time.millis).collect();
    probe_ms.sort_unstable();
    let quantile = |fraction: f64| {
        let at = (probe_ms.len().saturating_sub(1) as f64 * fraction).round() as usize;
        probe_ms.get(at).copied().unwrap_or_default()
    };
    EndlessOutcome {
        kind: format!("{:?}", run.options.kind),
        route: run.options.route,
        callers: run.options.callers,
        peak_mb: run.peak_bytes.load(Ordering::SeqCst) as f64 / BYTES_PER_MEGABYTE,
        requests: requests.len(),
        complete: requests.iter().filter(|time| time.is_served).count(),
        longest_ms: requests.iter().map(|time| time.millis).max().unwrap_or_default(),
        probes: probes.len(),
        failed_probes: probes.iter().filter(|time| !time.is_served).count(),
        probe_p50_ms: quantile(0.5),
        probe_p99_ms: quantile(0.99),
        probe_max_ms: quantile(1.0),
    }
}
