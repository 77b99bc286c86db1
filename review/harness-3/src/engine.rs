//! Stand-in for a model server in a process of its own, so that a signal can end it as a crash does.
//!
//! `review-cases-3 engine PORT ID VERSION BORN EVENTS GAP_MS SLOTS` prints a line for each request that it runs.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::ExitCode;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::record::Record;
use crate::server::Next;
use crate::server::Request;
use crate::server::serve_connection;
use crate::server::write_answer;
use crate::server::write_misdirected;

/// Path prefix of requests that are answered with a few events without a pause.
pub const SHORT_PATH: &str = "/draft/short/";
/// Events of such an answer.
const SHORT_EVENTS: u64 = 4;
/// Tokens that an event holds.
const EVENT_TOKENS: u64 = 7;

/// What an engine says of itself.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    pub id: String,
    pub version: String,
    /// Unix milliseconds of its start.
    pub born: u64,
    pub address: SocketAddr,
    pub events: u64,
    pub gap_ms: u64,
    /// Requests that it runs at once; it turns further ones away.
    pub slots: u64,
}

/// An engine's process; it is killed when this is dropped.
pub struct Engine {
    pub spec: EngineSpec,
    process: Child,
}

impl Engine {
    /// Starts an engine; what it runs goes into the record.
    pub fn start(spec: EngineSpec, record: &Record) -> Option<Self> {
        let program = std::env::current_exe().ok()?;
        let mut command = Command::new(program);
        command.arg("engine").arg(spec.address.port().to_string());
        command.args([&spec.id, &spec.version]);
        let numbers = [spec.born, spec.events, spec.gap_ms, spec.slots];
        command.args(numbers.map(|number| number.to_string()));
        let mut process = command.stdout(Stdio::piped()).stdin(Stdio::null()).spawn().ok()?;
        let lines = BufReader::new(process.stdout.take()?);
        let record = record.clone();
        thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                record.add(&line);
            }
        });
        let engine = Self { spec, process };
        engine.wait_until_open().then_some(engine)
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// The entry that it writes to the store.
    pub fn entry(&self, service: &str, zone: &str) -> String {
        self.entry_in_state(service, zone, "ready")
    }

    /// The same, in this state.
    pub fn entry_in_state(&self, service: &str, zone: &str, state: &str) -> String {
        let EngineSpec { version, born, address, slots, .. } = &self.spec;
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
             \"Version\":\"{version}\",\"Slots\":{slots},\"State\":\"{state}\",\"ColdLeftMs\":0,\
             \"Stage\":\"unified\",\"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],\
             \"Seq\":1,\"born\":{born}}}"
        )
    }

    fn wait_until_open(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(3);
        while Instant::now() < deadline {
            if TcpStream::connect(self.spec.address).is_ok() {
                return true;
            }
            sleep(Duration::from_millis(5));
        }
        false
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

#[derive(Default)]
struct EngineState {
    /// Tokens that are kept of each part, and the model.
    held: BTreeMap<String, (u64, String)>,
    running: u64,
}

/// Runs an engine in this process until it is killed.
pub fn run(arguments: &[String]) -> ExitCode {
    let [port, id, version, numbers @ ..] = arguments else { return ExitCode::from(2) };
    let numbers: Vec<u64> = numbers.iter().filter_map(|text| text.parse().ok()).collect();
    let [born, events, gap_ms, slots] = numbers.as_slice() else { return ExitCode::from(2) };
    let Ok(port) = port.parse::<u16>() else { return ExitCode::from(2) };
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let spec = EngineSpec {
        id: id.clone(),
        version: version.clone(),
        born: *born,
        address,
        events: *events,
        gap_ms: *gap_ms,
        slots: *slots,
    };
    let Ok(listener) = TcpListener::bind(address) else { return ExitCode::from(2) };
    let (spec, state) = (Arc::new(spec), Arc::new(Mutex::new(EngineState::default())));
    for stream in listener.incoming().flatten() {
        let (spec, state) = (spec.clone(), state.clone());
        thread::spawn(move || {
            serve_connection(stream, &|request, writer| answer(&spec, &state, request, writer));
        });
    }
    ExitCode::SUCCESS
}

fn answer(
    spec: &EngineSpec,
    state: &Mutex<EngineState>,
    request: &Request,
    writer: &mut TcpStream,
) -> Next {
    if request.is_misdirected(&spec.id) {
        return write_misdirected(writer, request, &spec.id);
    }
    match request.head.path() {
        "/health" => write_answer(writer, request, &spec.id, 200, ""),
        "/v1/kv-list" => {
            let body = list_json(spec, &state.lock().expect("engine"));
            write_answer(writer, request, &spec.id, 200, &body)
        }
        path if path.starts_with("/v1/") => write_answer(writer, request, &spec.id, 404, "{}"),
        _ => stream(spec, state, request, writer),
    }
}

fn list_json(spec: &EngineSpec, state: &EngineState) -> String {
    let held: Vec<_> = state
        .held
        .iter()
        .map(|(id, (tokens, model))| format!("[\"\",\"{id}\",{tokens},\"{model}\"]"))
        .collect();
    format!(
        "{{\"epoch\":{born},\"born\":{born},\"NextToken\":1,\"held\":[{}]}}",
        held.join(","),
        born = spec.born
    )
}

/// Runs a request: its events after the one that the client has, one each `gap_ms`.
fn stream(
    spec: &EngineSpec,
    state: &Mutex<EngineState>,
    request: &Request,
    writer: &mut TcpStream,
) -> Next {
    let is_full = {
        let mut state = state.lock().expect("engine");
        let is_full = state.running >= spec.slots;
        state.running += u64::from(!is_full);
        is_full
    };
    if is_full {
        return write_full(spec, request, writer);
    }
    let last = request.head.get("last-event-id").and_then(|text| text.parse::<u64>().ok());
    let last = last.unwrap_or_default();
    println!(
        "server {} ({}, started {}) runs {} after event {last} for tenant {}",
        spec.id,
        spec.version,
        spec.born,
        request.id(),
        request.head.get("x-tenant").unwrap_or("-"),
    );
    let is_whole = write_events(spec, state, request, last, writer).is_ok();
    state.lock().expect("engine").running -= 1;
    if is_whole { Next::Keep } else { Next::Close }
}

/// Turns a request away for want of a slot.
fn write_full(spec: &EngineSpec, request: &Request, writer: &mut TcpStream) -> Next {
    let text = format!(
        "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {}\r\nX-Not-Executed: 1\r\n\
         X-Server-Load: {slots},0,{slots}\r\nContent-Length: 0\r\n\r\n",
        request.id(),
        slots = spec.slots
    );
    match writer.write_all(text.as_bytes()) {
        Ok(()) => Next::Keep,
        Err(_) => Next::Close,
    }
}

fn write_events(
    spec: &EngineSpec,
    state: &Mutex<EngineState>,
    request: &Request,
    last: u64,
    writer: &mut TcpStream,
) -> std::io::Result<()> {
    let running = state.lock().expect("engine").running;
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Stamp: {}.{}.{}\r\n\
         X-Server-Load: {running},0,{slots}\r\nX-Weight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        request.id(),
        spec.id,
        spec.version,
        request.id(),
        slots = spec.slots,
    );
    writer.write_all(head.as_bytes())?;
    let (events, gap_ms) = match request.head.path().starts_with(SHORT_PATH) {
        true => (SHORT_EVENTS, 0),
        false => (spec.events, spec.gap_ms),
    };
    for event in last + 1..=events {
        sleep(Duration::from_millis(gap_ms));
        hold_parts(state, request, event * EVENT_TOKENS);
        let text = format!("id: {event}\ndata: {} {} {event}\n\n", spec.version, spec.id);
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        writer.write_all(chunk.as_bytes())?;
    }
    writer.write_all(b"0\r\n\r\n")
}

/// Keeps the parts of a prompt, the last one with what has been generated after it.
fn hold_parts(state: &Mutex<EngineState>, request: &Request, generated: u64) {
    let model = request.head.get("x-model").unwrap_or_default().to_owned();
    let list = request.head.get("x-prompt-prefix").unwrap_or_default();
    let parts: Vec<_> = list.split(',').filter_map(|part| part.trim().split_once(':')).collect();
    let mut state = state.lock().expect("engine");
    for (at, (id, tokens)) in parts.iter().enumerate() {
        let tokens: u64 = tokens.parse().unwrap_or_default();
        let own = if at + 1 == parts.len() { generated } else { 0 };
        state.held.insert((*id).to_owned(), (tokens + own, model.clone()));
    }
}
