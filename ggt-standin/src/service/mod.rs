//! Stand-in for a plain service, which counts the executions of each idempotency key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde_json::json;
use tokio::sync::watch;

use crate::engine::CRASH_TEXT;
use crate::platform::sleep_millis;
use crate::server::BufferedRequest;
use crate::server::StandinResponse;
use crate::server::json_response;
use crate::server::lock;
use crate::server::serve;
use crate::server::text_response;
use crate::server::with_header;
use ggt_core::ident::stable_hash;
use ggt_core::routing::LoadReport;
use ggt_wire::headers;

struct ServiceState {
    incarnation: u64,
    /// Number of executions, by idempotency key.
    runs: Mutex<BTreeMap<String, u64>>,
    started: AtomicU64,
    finished: AtomicU64,
    is_leaving: AtomicBool,
    /// Whether responses are withheld.
    is_withholding: watch::Sender<bool>,
    /// Number of responses left to send with a wrong request id.
    wrong_ids: AtomicU64,
}

/// Runs a service stand-in until the process ends.
///
/// # Errors
/// Returns the I/O error if the address cannot be bound or a connection cannot be accepted.
pub async fn run_service(address: SocketAddr, incarnation: u64) -> std::io::Result<()> {
    let state = Arc::new(ServiceState {
        incarnation,
        runs: Mutex::default(),
        started: AtomicU64::new(0),
        finished: AtomicU64::new(0),
        is_leaving: AtomicBool::new(false),
        is_withholding: watch::Sender::new(false),
        wrong_ids: AtomicU64::new(0),
    });
    serve(address, move |request| {
        let state = state.clone();
        async move { state.respond(&request).await }
    })
    .await
}

impl ServiceState {
    async fn respond(self: Arc<Self>, request: &BufferedRequest) -> StandinResponse {
        let segments: Vec<&str> = request.path().trim_start_matches('/').split('/').collect();
        match segments.as_slice() {
            ["load"] => json_response(&json!({
                "incarnation": self.incarnation,
                "started_total": self.load_report().started_total,
                "finished_total": self.load_report().finished_total,
                "leaving": self.is_leaving.load(Ordering::SeqCst),
            })),
            ["cancel", _] => text_response(200, "ok"),
            ["control", rest @ ..] => self.handle_control(request, rest),
            _ => self.execute(request).await,
        }
    }

    async fn execute(&self, request: &BufferedRequest) -> StandinResponse {
        self.started.fetch_add(1, Ordering::SeqCst);
        if String::from_utf8_lossy(&request.body).contains(CRASH_TEXT) {
            std::process::exit(1);
        }
        sleep_millis(request.number("before_ms", 0)).await;
        let key = request.header(headers::IDEMPOTENCY_KEY).unwrap_or("-").to_owned();
        let run = {
            let mut runs = lock(&self.runs);
            let count = runs.entry(key.clone()).or_default();
            *count += 1;
            *count
        };
        let mut withholding = self.is_withholding.subscribe();
        // Cannot fail: the sender is dropped only with `self`.
        let _ = withholding.wait_for(|is_withheld| !is_withheld).await;
        sleep_millis(request.number("after_ms", 0)).await;
        self.finished.fetch_add(1, Ordering::SeqCst);
        let receipt = stable_hash(&request.body);
        let response =
            json_response(&json!({ "receipt": format!("{receipt:016x}"), "run": run, "key": key }));
        let id = request.header(headers::REQUEST_ID).unwrap_or_default();
        let is_wrong_id = self
            .wrong_ids
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |remaining| remaining.checked_sub(1))
            .is_ok();
        let response =
            with_header(response, headers::REQUEST_ID, if is_wrong_id { "another" } else { id });
        let response =
            with_header(response, headers::LOAD, &headers::format_load(&self.load_report()));
        with_header(response, headers::INCARNATION, &self.incarnation.to_string())
    }

    fn load_report(&self) -> LoadReport {
        let finished_total = self.finished.load(Ordering::SeqCst);
        let started_total = self.started.load(Ordering::SeqCst).max(finished_total);
        LoadReport { started_total, finished_total }
    }

    fn handle_control(&self, request: &BufferedRequest, rest: &[&str]) -> StandinResponse {
        match rest {
            ["die"] => std::process::exit(1),
            ["leave"] => self.is_leaving.store(true, Ordering::SeqCst),
            ["hold"] => {
                self.is_withholding.send_replace(true);
            }
            ["release"] => {
                self.is_withholding.send_replace(false);
            }
            ["wrong-echo"] => self.wrong_ids.store(request.number("count", 1), Ordering::SeqCst),
            ["runs"] => return json_response(&*lock(&self.runs)),
            _ => return text_response(404, "not found"),
        }
        text_response(200, "ok")
    }
}
