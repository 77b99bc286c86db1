//! A soak caller: sends requests on a keep-alive connection and checks each response.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use ggt_platform::ATTEMPT_HEADER;
use ggt_standin::users_platform::caller_headers;
use ggt_standin::users_platform::prompt_headers;

use crate::soak::SoakOptions;
use crate::soak::crashing::CrashLog;
use crate::soak::deployment::DisruptionState;
use crate::soak::deployment::EVENTS;
use crate::soak::deployment::body_of;
use crate::soak::deployment::events_of;
use crate::soak::invariants::InvariantChecker;

/// Read timeout; longer than the deadline of a request.
const READ_TIMEOUT: Duration = Duration::from_secs(4);
/// Deadline that callers send with each request.
const DEADLINE_MS: u64 = 3_000;
/// Pause before each request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);

/// A response, of which the body may be incomplete.
struct SoakResponse {
    status: u16,
    id: Option<String>,
    closes_connection: bool,
    body: Vec<u8>,
    is_complete: bool,
}

impl SoakResponse {
    fn is_refused_as_crashing(&self) -> bool {
        self.status == 503 && String::from_utf8_lossy(&self.body).contains("crashes-targets")
    }
}

/// What a caller sends to and reports to.
pub(super) struct CallerContext {
    pub(super) number: usize,
    pub(super) seed: u64,
    /// Address and disruptions of each daemon.
    pub(super) daemons: Vec<(SocketAddr, Arc<DisruptionState>)>,
    /// Disruptions of each server.
    pub(super) servers: Vec<Arc<DisruptionState>>,
    pub(super) crash_log: Arc<CrashLog>,
    pub(super) checker: Arc<InvariantChecker>,
    pub(super) is_over: Arc<AtomicBool>,
    pub(super) options: SoakOptions,
}

impl CallerContext {
    fn stable_servers(&self) -> Vec<Option<usize>> {
        self.servers.iter().map(|server| server.stable_version()).collect()
    }

    /// Servers that were disrupted at some time since the others' stable versions were taken.
    fn disrupted_servers(&self, before: &[Option<usize>]) -> Vec<usize> {
        let now = self.stable_servers();
        let is_disrupted =
            |number: &usize| before[*number].is_none() || before[*number] != now[*number];
        (0..now.len()).filter(is_disrupted).collect()
    }
}

/// Sends requests of random kinds to random daemons until the soak is over.
pub(super) fn run_caller(context: &CallerContext) {
    let CallerContext { number, seed, daemons, checker, is_over, .. } = context;
    let mut random = SmallRng::seed_from_u64(*seed);
    let mut connection: Option<BufReader<TcpStream>> = None;
    let (mut daemon, mut kill_count) = (0, 0);
    let mut count = 0;
    while !is_over.load(Ordering::SeqCst) {
        thread::sleep(REQUEST_INTERVAL);
        if connection.is_none() {
            daemon = random.random_range(0..daemons.len());
            kill_count = daemons[daemon].1.kill_count();
            connection = connect(daemons[daemon].0);
        }
        let disruption = &daemons[daemon].1;
        let stable_version = disruption.stable_version();
        let Some(open) = &mut connection else { continue };
        count += 1;
        // Routes of the test configuration: idempotent, non-idempotent, resumable stream, other stream.
        let kind = ["read", "once", "chat", "talk"][random.random_range(0..4)];
        let id = format!("c{number}-{count}-{kind}-{daemon}");
        checker.record_request();
        let (sent_at, stable_servers) = (Instant::now(), context.stable_servers());
        let response = send_request(open, kind, &id);
        // A stream may break off together with its server. Every other request gets a complete response
        // unless its daemon was paused or killed meanwhile.
        let is_incomplete = response.as_ref().is_none_or(|response| !response.is_complete);
        let is_undisturbed = stable_version.is_some()
            && stable_version == disruption.stable_version()
            && kill_count == disruption.kill_count();
        if is_incomplete && matches!(kind, "read" | "once") && is_undisturbed {
            let status = response.as_ref().map(|response| response.status);
            let millis = sent_at.elapsed().as_millis();
            checker.record_violation(format!(
                "{id}: daemon {daemon}, neither paused nor killed, cut the response after {millis} ms, \
                 status {status:?}"
            ));
        }
        if is_incomplete
            && matches!(kind, "chat" | "talk")
            && is_undisturbed
            && context.options.has_silence
            && sent_at.elapsed() < Duration::from_millis(DEADLINE_MS)
        {
            let disrupted = context.disrupted_servers(&stable_servers);
            checker.record_cut(&id, sent_at.elapsed(), disrupted);
        }
        checker.record_sent(&id, daemon, kill_count, response.is_some());
        let is_reusable = response
            .as_ref()
            .is_some_and(|response| response.is_complete && !response.closes_connection);
        if let Some(response) = response {
            context.crash_log.record_sound(response.is_refused_as_crashing());
            let has_silence_only =
                context.options.has_silence && !context.options.has_crashing_caller;
            if has_silence_only && response.is_refused_as_crashing() {
                checker
                    .record_violation(format!("{id} was refused as crashing, and nothing crashes"));
            }
            check_response(&response, kind, &id, checker);
        }
        if !is_reusable {
            connection = None;
        }
    }
}

fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, READ_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    Some(BufReader::new(stream))
}

fn send_request(
    connection: &mut BufReader<TcpStream>,
    kind: &str,
    id: &str,
) -> Option<SoakResponse> {
    let (method, body) = if kind == "read" { ("GET", "") } else { ("POST", "prompt") };
    let mut text = format!("{method} /{kind}/ HTTP/1.1\r\n");
    for (name, value) in caller_headers(id, DEADLINE_MS).into_iter().chain(prompt_headers()) {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    connection.get_mut().write_all(text.as_bytes()).ok()?;
    read_response(connection)
}

fn read_response(reader: &mut BufReader<TcpStream>) -> Option<SoakResponse> {
    let first = read_line(reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut response = SoakResponse {
        status,
        id: None,
        closes_connection: false,
        body: vec![],
        is_complete: false,
    };
    let (mut length, mut is_chunked) = (0, false);
    loop {
        let line = read_line(reader)?.to_ascii_lowercase();
        let Some((name, value)) = line.split_once(':') else { break };
        match (name, value.trim()) {
            (ATTEMPT_HEADER, id) => response.id = Some(id.to_owned()),
            ("connection", value) => response.closes_connection = value == "close",
            ("content-length", value) => length = value.parse().ok()?,
            ("transfer-encoding", value) => is_chunked = value == "chunked",
            _ => {}
        }
    }
    response.is_complete = if is_chunked {
        read_chunks(reader, &mut response.body).is_some()
    } else {
        response.body.resize(length, 0);
        reader.read_exact(&mut response.body).is_ok()
    };
    Some(response)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let length = usize::from_str_radix(&read_line(reader)?, 16).ok()?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk).ok()?;
        if length == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let length = reader.read_line(&mut line).ok()?;
    (length > 0).then(|| line.trim_end().to_owned())
}

/// Checks that a response is one that its request allows.
fn check_response(response: &SoakResponse, kind: &str, id: &str, checker: &InvariantChecker) {
    if response.id.as_deref().is_some_and(|other| other != id) {
        checker.record_violation(format!("{id} got the response to {:?}", response.id));
    }
    // With these statuses the daemon guarantees that the request was not executed.
    if matches!(response.status, 408 | 421 | 429 | 503) && matches!(kind, "once" | "talk") {
        checker.record_not_executed(id, response.status);
    }
    if matches!(response.status, 401 | 403 | 404) {
        checker.record_violation(format!("{id} was refused with status {}", response.status));
    }
    if response.status != 200 {
        return;
    }
    let is_stream = matches!(kind, "chat" | "talk");
    let expected = if is_stream { events_of(id, EVENTS) } else { body_of(id) };
    let body = String::from_utf8_lossy(&response.body);
    if !expected.starts_with(body.as_ref()) {
        checker.record_violation(format!("{id} got a wrong body: {body:?}"));
    }
    if response.is_complete && body != expected {
        checker.record_violation(format!(
            "{id} got {} of {} bytes as a complete body",
            body.len(),
            expected.len()
        ));
    }
    if response.is_complete {
        checker.record_answered();
    }
}
