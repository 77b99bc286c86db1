//! Stand-in for a model engine, which streams tokens and has a prefix cache.
//!
//! Query parameters of a request set its tokens and its timing; `/control/` requests inject faults
//! and read counters.

mod cache;
mod stream;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use http::Response;
use serde_json::json;
use tokio::sync::mpsc;

use crate::engine::cache::PrefixCache;
use crate::engine::stream::TokenStream;
use crate::platform::sleep_millis;
use crate::server::BufferedRequest;
use crate::server::ResponseBody;
use crate::server::StandinResponse;
use crate::server::json_response;
use crate::server::lock;
use crate::server::serve;
use crate::server::text_response;
use crate::server::with_header;
use ggt_core::routing::LoadReport;
use ggt_wire::headers;

/// A request whose body contains this text crashes the engine or service that runs it.
pub const CRASH_TEXT: &str = "CRASH-THE-ENGINE";
/// Body bytes counted as one prompt token.
const BYTES_PER_TOKEN: usize = 4;
/// Maximum number of chunks buffered for a slow client.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// Settings of an engine stand-in.
#[derive(Clone, Copy, Debug)]
pub struct EngineOptions {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Incarnation that it reports in responses and load reports.
    pub incarnation: u64,
    /// Capacity of its prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Milliseconds between tokens, unless a request sets `gap_ms`.
    pub gap_ms: u64,
    /// Age of its load reports, in milliseconds.
    pub load_lag_ms: u64,
}

struct EngineState {
    options: EngineOptions,
    cache: Mutex<PrefixCache>,
    /// Token streams by request id; one with a `hold_as` name is also listed under `held:NAME`.
    streams: Mutex<BTreeMap<String, Arc<TokenStream>>>,
    /// Requests started and finished, over all requests.
    started: AtomicU64,
    finished: AtomicU64,
    /// Load reports by time, kept only if `load_lag_ms` is set.
    load_reports: Mutex<VecDeque<(Instant, LoadReport)>>,
    /// Streams that a cancel request stopped before their end.
    cancelled: AtomicU64,
    /// Resume requests received.
    resumed: AtomicU64,
    /// Milliseconds for which the engine is silent from the next resume request on.
    resume_silence_ms: AtomicU64,
    /// End of that silence.
    silent_until: Mutex<Option<Instant>>,
    /// Number of responses left to send with a wrong request id.
    wrong_ids: AtomicU64,
    is_leaving: AtomicBool,
    /// Prompt tokens found in the cache, over all requests.
    hit_tokens: AtomicU64,
    prompt_tokens: AtomicU64,
}

/// Runs an engine stand-in until the process ends.
///
/// # Errors
/// Returns the I/O error if the address cannot be bound or a connection cannot be accepted.
pub async fn run_engine(options: EngineOptions) -> std::io::Result<()> {
    let state = Arc::new(EngineState {
        options,
        cache: Mutex::new(PrefixCache::new(options.cache_tokens)),
        streams: Mutex::default(),
        started: AtomicU64::new(0),
        finished: AtomicU64::new(0),
        load_reports: Mutex::default(),
        cancelled: AtomicU64::new(0),
        resumed: AtomicU64::new(0),
        resume_silence_ms: AtomicU64::new(0),
        silent_until: Mutex::default(),
        wrong_ids: AtomicU64::new(0),
        is_leaving: AtomicBool::new(false),
        hit_tokens: AtomicU64::new(0),
        prompt_tokens: AtomicU64::new(0),
    });
    serve(options.address, move |request| {
        let state = state.clone();
        async move { respond(&state, request).await }
    })
    .await
}

async fn respond(state: &Arc<EngineState>, request: BufferedRequest) -> StandinResponse {
    let segments: Vec<&str> = request.path().trim_start_matches('/').split('/').collect();
    match segments.as_slice() {
        ["load"] => json_response(&json!({
            "incarnation": state.options.incarnation,
            "started_total": state.load_report().started_total,
            "finished_total": state.load_report().finished_total,
            "leaving": state.is_leaving.load(Ordering::SeqCst),
        })),
        ["resume", id] => {
            state.resumed.fetch_add(1, Ordering::SeqCst);
            state.wait_for_silence().await;
            let stream = lock(&state.streams).get(*id).cloned();
            let from = usize::try_from(request.number("from", 0)).unwrap_or_default();
            match stream {
                Some(stream) => state.stream_response(&request, &stream, from, 0),
                None => text_response(404, "no such request"),
            }
        }
        ["cancel", id] => {
            let stream = lock(&state.streams).get(*id).cloned();
            if let Some(stream) = stream
                && stream.cancel()
            {
                state.cancelled.fetch_add(1, Ordering::SeqCst);
            }
            text_response(200, "ok")
        }
        ["control", rest @ ..] => state.handle_control(&request, rest),
        _ => start_generation(state, request).await,
    }
}

async fn start_generation(state: &Arc<EngineState>, request: BufferedRequest) -> StandinResponse {
    state.started.fetch_add(1, Ordering::SeqCst);
    if String::from_utf8_lossy(&request.body).contains(CRASH_TEXT) {
        std::process::exit(1);
    }
    let chat = request.header(headers::CHAT_ID).unwrap_or_default().to_owned();
    let prompt_tokens = (request.body.len() / BYTES_PER_TOKEN) as u64;
    let cached_tokens = lock(&state.cache).cache_prompt(&chat, prompt_tokens);
    state.prompt_tokens.fetch_add(prompt_tokens, Ordering::SeqCst);
    state.hit_tokens.fetch_add(cached_tokens, Ordering::SeqCst);
    sleep_millis(request.number("first_ms", 0)).await;
    let stream = TokenStream::new(&request.body);
    let id = request.header(headers::REQUEST_ID).unwrap_or_default().to_owned();
    lock(&state.streams).insert(id.clone(), stream.clone());
    // `/control/release/` finds a paused stream by the `hold_as` name of its request.
    if let Some(name) = request.query("hold_as") {
        lock(&state.streams).insert(format!("held:{name}"), stream.clone());
    }
    let tokens = request.number("tokens", 8);
    let gap_ms = request.number("gap_ms", state.options.gap_ms);
    let pause_after = request.query("hold_after").and_then(|text| text.parse().ok());
    let task_state = state.clone();
    let task_stream = stream.clone();
    tokio::spawn(async move {
        task_stream.generate(tokens, gap_ms, pause_after).await;
        task_state.finished.fetch_add(1, Ordering::SeqCst);
    });
    state.stream_response(&request, &stream, 0, cached_tokens)
}

impl EngineState {
    /// Load report as it was `load_lag_ms` ago.
    fn load_report(&self) -> LoadReport {
        let finished_total = self.finished.load(Ordering::SeqCst);
        let started_total = self.started.load(Ordering::SeqCst).max(finished_total);
        let current = LoadReport { started_total, finished_total };
        if self.options.load_lag_ms == 0 {
            return current;
        }
        let lag = Duration::from_millis(self.options.load_lag_ms);
        let mut load_reports = lock(&self.load_reports);
        load_reports.push_back((Instant::now(), current));
        while load_reports.get(1).is_some_and(|(created_at, _)| created_at.elapsed() >= lag) {
            load_reports.pop_front();
        }
        let oldest = load_reports.front().filter(|(created_at, _)| created_at.elapsed() >= lag);
        oldest.map_or_else(LoadReport::default, |(_, report)| *report)
    }

    /// Starts the silence that was set for the next resume request, and waits for its end.
    async fn wait_for_silence(&self) {
        let silence_ms = self.resume_silence_ms.swap(0, Ordering::SeqCst);
        if silence_ms > 0 {
            *lock(&self.silent_until) = Some(Instant::now() + Duration::from_millis(silence_ms));
        }
        let silent_until = *lock(&self.silent_until);
        if let Some(silent_until) = silent_until {
            tokio::time::sleep_until(silent_until.into()).await;
        }
    }

    /// Streams the bytes from `from` on, with the headers that a daemon reads.
    fn stream_response(
        &self,
        request: &BufferedRequest,
        stream: &Arc<TokenStream>,
        from: usize,
        cached_tokens: u64,
    ) -> StandinResponse {
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        tokio::spawn(stream.clone().send_from(from, sender));
        let is_wrong_id = self
            .wrong_ids
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |remaining| remaining.checked_sub(1))
            .is_ok();
        let id = request.header(headers::REQUEST_ID).unwrap_or_default();
        let response_id = if is_wrong_id { "another-request" } else { id };
        let mut response = Response::new(ResponseBody::Streamed(receiver));
        let pairs = [
            ("content-type", "text/event-stream".to_owned()),
            (headers::REQUEST_ID, response_id.to_owned()),
            (headers::INCARNATION, self.options.incarnation.to_string()),
            (headers::LOAD, headers::format_load(&self.load_report())),
            (headers::CACHED_TOKENS, cached_tokens.to_string()),
            ("x-seen-priority", request.header(headers::PRIORITY).unwrap_or_default().to_owned()),
        ];
        for (name, value) in &pairs {
            response = with_header(response, name, value);
        }
        if self.is_leaving.load(Ordering::SeqCst) {
            response = with_header(response, headers::LEAVING, "1");
        }
        response
    }

    fn handle_control(&self, request: &BufferedRequest, rest: &[&str]) -> StandinResponse {
        match rest {
            ["die"] => std::process::exit(1),
            ["leave"] => self.is_leaving.store(true, Ordering::SeqCst),
            ["wrong-echo"] => self.wrong_ids.store(request.number("count", 1), Ordering::SeqCst),
            ["silent-resume"] => {
                self.resume_silence_ms.store(request.number("ms", 0), Ordering::SeqCst);
            }
            ["release", name] => {
                let stream = lock(&self.streams).get(&format!("held:{name}")).cloned();
                match stream {
                    Some(stream) => stream.release(),
                    None => return text_response(404, "no such request"),
                }
            }
            ["stats"] => {
                return json_response(&json!({
                    "started": self.started.load(Ordering::SeqCst),
                    "finished": self.finished.load(Ordering::SeqCst),
                    "cancelled": self.cancelled.load(Ordering::SeqCst),
                    "resumed": self.resumed.load(Ordering::SeqCst),
                    "hit_tokens": self.hit_tokens.load(Ordering::SeqCst),
                    "prompt_tokens": self.prompt_tokens.load(Ordering::SeqCst),
                }));
            }
            _ => return text_response(404, "not found"),
        }
        text_response(200, "ok")
    }
}
