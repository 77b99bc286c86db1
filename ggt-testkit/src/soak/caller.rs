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
use crate::soak::cuts::CutLog;
use crate::soak::deployment::EVENTS;
use crate::soak::deployment::body_of;
use crate::soak::deployment::events_of;
use crate::soak::disruption::DisruptionState;
use crate::soak::invariants::InvariantChecker;
use crate::soak::versions::HeldStream;
use crate::soak::versions::ServingVersions;
use crate::soak::versions::VERSION_LINE;
use crate::soak::versions::split_versions;

/// Read timeout; longer than the deadline of a request.
const READ_TIMEOUT: Duration = Duration::from_secs(4);
/// Deadline that callers send with each request.
const DEADLINE_MS: u64 = 3_000;
/// The same in soaks with cuts: short, so that callers that wait in vain try often.
const CUT_DEADLINE_MS: u64 = 1_500;
/// One in so many `chat` streams is left early by its caller, where servers run two versions.
const LEAVE_SHARE: u32 = 3;
/// Maximum number of times that a caller takes up a stream.
const MAX_TAKE_UPS: usize = 4;
/// Upper bound (exclusive) of the pause before that, in milliseconds.
const MAX_TAKE_UP_PAUSE_MS: u64 = 1_500;
/// Pause before each request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);

/// A response, of which the body may be incomplete.
struct SoakResponse {
    status: u16,
    id: Option<String>,
    closes_connection: bool,
    body: Vec<u8>,
    is_complete: bool,
    /// Whether the caller stopped reading.
    was_left: bool,
}

impl SoakResponse {
    /// Number of complete events of a stream.
    fn event_count(&self) -> u64 {
        self.add_to(&mut HeldStream::default(), "")
    }

    /// Adds the events to what the caller holds of a stream; returns their number.
    fn add_to(&self, held: &mut HeldStream, id: &str) -> u64 {
        match self.status {
            200 => held.add(id, &String::from_utf8_lossy(&self.body)),
            _ => held.add(id, ""),
        }
    }

    /// Whether the caller got all that it wanted.
    fn is_served(&self) -> bool {
        self.status == 200 && (self.is_complete || self.was_left)
    }

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
    pub(super) serving: Arc<ServingVersions>,
    pub(super) crash_log: Arc<CrashLog>,
    pub(super) cut_log: Arc<CutLog>,
    pub(super) checker: Arc<InvariantChecker>,
    pub(super) is_over: Arc<AtomicBool>,
    pub(super) options: SoakOptions,
}

impl CallerContext {
    fn deadline_ms(&self) -> u64 {
        if self.options.has_cuts { CUT_DEADLINE_MS } else { DEADLINE_MS }
    }

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
            let side = context.cut_log.side_of(daemon);
            connection = connect(daemons[daemon].0);
            if connection.is_none() {
                context.cut_log.record_try(daemon, side, false);
            }
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
        let side = context.cut_log.side_of(daemon);
        let has_versions = context.options.has_versions;
        let max_events =
            (has_versions && kind == "chat").then(|| leave_after(&mut random)).flatten();
        let deadline_ms = context.deadline_ms();
        let start = StreamStart { max_events, resumes: None, deadline_ms };
        let response = send_request(open, kind, &id, &start);
        let was_left = response.as_ref().is_some_and(|response| response.was_left);
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
            && !was_left
            // Streams that may not be sent twice end with a connection that is reset.
            && !(kind == "talk" && context.cut_log.has_begun_since(sent_at))
            && sent_at.elapsed() < Duration::from_millis(deadline_ms)
        {
            let disrupted = context.disrupted_servers(&stable_servers);
            checker.record_cut_stream(&id, sent_at.elapsed(), disrupted);
        }
        let is_served = response.as_ref().is_some_and(SoakResponse::is_served);
        context.cut_log.record_try(daemon, side, is_served);
        checker.record_sent(&id, daemon, kill_count, response.is_some());
        let is_reusable = response
            .as_ref()
            .is_some_and(|response| response.is_complete && !response.closes_connection);
        if has_versions && kind == "chat" && is_undisturbed {
            let held_events = response.as_ref().map(|response| response.event_count());
            checker.record_new_stream(held_events > Some(0));
        }
        if let Some(response) = response {
            context.crash_log.record_sound(response.is_refused_as_crashing());
            let SoakOptions { has_silence, has_cuts, has_crashing_caller, .. } = context.options;
            let is_never_blamed = (has_silence || has_cuts) && !has_crashing_caller;
            if is_never_blamed && response.is_refused_as_crashing() {
                checker
                    .record_violation(format!("{id} was refused as crashing, and nothing crashes"));
            }
            check_response(&response, kind, &id, 1, checker);
            if has_versions && matches!(kind, "chat" | "talk") {
                let mut held = HeldStream::default();
                response.add_to(&mut held, &id);
                if kind == "chat" && !response.is_complete {
                    take_up(context, &mut random, &mut held, &id);
                }
                if held.versions.len() > 1 {
                    checker.record_violation(format!("stream of two versions: {held:?}"));
                }
            }
        }
        if !is_reusable {
            connection = None;
        }
    }
}

/// Number of events after which a caller closes its connection, if it does.
fn leave_after(random: &mut SmallRng) -> Option<u64> {
    let has_to_leave = random.random_range(0..LEAVE_SHARE) == 0;
    has_to_leave.then(|| random.random_range(1..EVENTS))
}

/// Takes up a stream that ended early, at random daemons, a few times.
fn take_up(context: &CallerContext, random: &mut SmallRng, held: &mut HeldStream, id: &str) {
    let checker = &context.checker;
    for number in 0..MAX_TAKE_UPS {
        let Some(first_id) = held.first_id.clone().filter(|_| held.events < EVENTS) else { return };
        if random.random_range(0..2) == 0 {
            thread::sleep(Duration::from_millis(random.random_range(0..MAX_TAKE_UP_PAUSE_MS)));
        }
        let daemon = random.random_range(0..context.daemons.len());
        let (address, disruption) = &context.daemons[daemon];
        let (stable_version, kill_count) = (disruption.stable_version(), disruption.kill_count());
        let Some(mut connection) = connect(*address) else { continue };
        let base = id.rsplit_once('-').map_or(id, |(base, _)| base);
        let id = format!("{base}-{number}-{daemon}");
        let can_go_on =
            || held.versions.iter().all(|name| context.serving.can_go_on(name, &context.servers));
        let could_go_on = can_go_on();
        checker.record_request();
        let start = StreamStart {
            max_events: leave_after(random),
            resumes: Some((first_id, held.events)),
            deadline_ms: context.deadline_ms(),
        };
        let response = send_request(&mut connection, "chat", &id, &start);
        checker.record_sent(&id, daemon, kill_count, response.is_some());
        let is_counted = could_go_on
            && can_go_on()
            && stable_version.is_some()
            && stable_version == disruption.stable_version();
        let first_event = held.events + 1;
        let count = response.as_ref().map_or(0, |response| response.add_to(held, &id));
        if is_counted {
            checker.record_taken_up(count > 0);
        }
        if let Some(response) = response {
            check_response(&response, "chat", &id, first_event, checker);
            if response.is_complete && response.status == 200 {
                return;
            }
        }
    }
}

fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, READ_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    Some(BufReader::new(stream))
}

/// How a caller begins a stream, and when it leaves it.
struct StreamStart {
    /// Deadline that the caller sends.
    deadline_ms: u64,
    /// Number of events after which the caller closes its connection.
    max_events: Option<u64>,
    /// Attempt id that brought the stream's first event, and the last event that the caller holds.
    resumes: Option<(String, u64)>,
}

fn send_request(
    connection: &mut BufReader<TcpStream>,
    kind: &str,
    id: &str,
    start: &StreamStart,
) -> Option<SoakResponse> {
    let (method, body) = if kind == "read" { ("GET", "") } else { ("POST", "prompt") };
    let mut text = format!("{method} /{kind}/ HTTP/1.1\r\n");
    for (name, value) in caller_headers(id, start.deadline_ms).into_iter().chain(prompt_headers()) {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if let Some((first_id, last_event)) = &start.resumes {
        text.push_str(&format!("last-event-id: {last_event}\r\nresumes: {first_id}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    connection.get_mut().write_all(text.as_bytes()).ok()?;
    read_response(connection, start.max_events)
}

fn read_response(
    reader: &mut BufReader<TcpStream>,
    max_events: Option<u64>,
) -> Option<SoakResponse> {
    let first = read_line(reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut response = SoakResponse {
        status,
        id: None,
        closes_connection: false,
        body: vec![],
        is_complete: false,
        was_left: false,
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
        let ending = read_chunks(reader, &mut response.body, max_events);
        response.was_left = ending == Some(ChunkEnding::Left);
        ending == Some(ChunkEnding::Complete)
    } else {
        response.body.resize(length, 0);
        reader.read_exact(&mut response.body).is_ok()
    };
    Some(response)
}

/// How a caller stopped reading a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkEnding {
    Complete,
    /// It has read as many events as it wanted.
    Left,
}

fn read_chunks(
    reader: &mut BufReader<TcpStream>,
    body: &mut Vec<u8>,
    max_events: Option<u64>,
) -> Option<ChunkEnding> {
    loop {
        let count = body.windows(2).filter(|bytes| *bytes == b"\n\n").count() as u64;
        if max_events.is_some_and(|max_events| count >= max_events) {
            return Some(ChunkEnding::Left);
        }
        let length = usize::from_str_radix(&read_line(reader)?, 16).ok()?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk).ok()?;
        if length == 0 {
            return Some(ChunkEnding::Complete);
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
fn check_response(
    response: &SoakResponse,
    kind: &str,
    id: &str,
    first_event: u64,
    checker: &InvariantChecker,
) {
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
    let expected = if is_stream { events_of(id, first_event..=EVENTS) } else { body_of(id) };
    let body = String::from_utf8_lossy(&response.body);
    let body = if is_stream && body.contains(VERSION_LINE) {
        split_versions(&body).0.into()
    } else {
        body
    };
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
