//! Streams of clients that take them up again, and the engines that serve them.

use std::collections::BTreeSet;
use std::io::BufRead;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::engine::Engine;
use crate::engine::EngineSpec;
use crate::engine::SHORT_PATH;
use crate::http::Reader;
use crate::http::read_head;
use crate::record::Record;

/// Slots of an engine, as on the small sites.
const SLOTS: u64 = 48;
/// Events of a stream, and the pause between two.
const EVENTS: u64 = 24;
const GAP_MS: u64 = 200;
/// Time budget of a client in milliseconds.
const BUDGET_MS: u64 = 12_000;
/// Pause of a client that was told none.
const OWN_PAUSE: Duration = Duration::from_millis(50);

/// Starts an engine whose streams have [`EVENTS`] events.
pub fn start_engine(
    id: &str,
    version: &str,
    born: u64,
    address: SocketAddr,
    record: &Record,
) -> Option<Engine> {
    let (id, version) = (id.to_owned(), version.to_owned());
    let slots = SLOTS;
    let spec = EngineSpec { id, version, born, address, events: EVENTS, gap_ms: GAP_MS, slots };
    Engine::start(spec, record)
}

/// A loopback address with a free port.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    listener.local_addr().expect("free port")
}

/// The configuration: one service with streams that may be taken up.
pub fn config() -> String {
    "{\"Version\":7,\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"desk.example\",\"PathPrefix\":\"/draft/\",\
     \"Kind\":\"streaming\",\"TimeoutMs\":12000,\"GoalMs\":600,\"Priority\":1,\"Service\":\"writers\",\
     \"Attempts\":2,\"Public\":false,\"Sticky\":true,\"CanResume\":true,\"GapTargetMs\":300}],\
     \"Services\":[{\"Name\":\"writers\",\"HealthPath\":\"/health\",\"MaxConns\":310,\"Protocol\":\"h1\",\
     \"Tls\":false,\"Engine\":{\"Slots\":48,\"KvCapTokens\":739877,\"KvTokenBytes\":35136,\
     \"LinkMbps\":550000.0,\"Moves\":false,\"Backups\":false,\"Stride\":7,\"most\":2,\"PinMs\":4000.0,\
     \"HoldMs\":2000.0,\"HandleS\":5.0,\"Models\":[{\"Name\":\"m\"}]}}],\
     \"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
     \"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"t1\",\"ApiKeys\":[\"key1\"],\"Priority\":1}]}"
        .to_owned()
}

/// What a client has of a stream.
pub struct ClientStream {
    pub take_ups: Vec<TakeUp>,
    pub has_begun: bool,
    pub versions: BTreeSet<String>,
    pub is_whole: bool,
}

/// A try to take a stream up.
#[derive(Clone, Copy, Debug)]
pub struct TakeUp {
    pub sent_at: Instant,
    /// Whether the stream went on.
    pub went_on: bool,
}

/// A client that takes its stream up at another daemon after a failure.
pub struct StreamClient {
    number: usize,
    record: Record,
    /// Begins its attempt ids.
    tag: char,
    path: &'static str,
    /// Prompt parts before the one of its own.
    shared_parts: &'static str,
    /// Least pauses after its tries.
    pauses: &'static [Duration],
    take_ups: Vec<TakeUp>,
    /// The attempt that brought the first event.
    first_attempt: Option<String>,
    last_event: u64,
    versions: BTreeSet<String>,
}

/// How an attempt ended.
enum AttemptEnd {
    Whole,
    /// Without the end of the stream.
    Broken,
    /// Refused, with the seconds after which to come back.
    Refused(Option<f64>),
}

impl StreamClient {
    /// A client that has sent nothing yet.
    pub fn new(number: usize, record: Record) -> Self {
        Self {
            number,
            record,
            tag: 'c',
            path: "/draft/",
            shared_parts: "5c1e07a2:512,",
            pauses: &[],
            take_ups: Vec::new(),
            first_attempt: None,
            last_event: 0,
            versions: BTreeSet::new(),
        }
    }

    /// A client whose prompt has one part, its own.
    pub fn with_one_part(number: usize, record: Record) -> Self {
        Self { shared_parts: "", ..Self::new(number, record) }
    }

    /// The same prompt, for a short answer.
    pub fn with_short_answer(number: usize, record: Record) -> Self {
        Self { tag: 's', path: SHORT_PATH, ..Self::new(number, record) }
    }

    /// The same client, which pauses at least so long after its tries.
    pub fn with_pauses(self, pauses: &'static [Duration]) -> Self {
        Self { pauses, ..self }
    }

    fn into_stream(self, is_whole: bool) -> ClientStream {
        let has_begun = self.first_attempt.is_some();
        let Self { take_ups, versions, .. } = self;
        ClientStream { take_ups, has_begun, versions, is_whole }
    }

    /// Sends its request to one daemon after the other, until it has the whole stream.
    pub fn play(mut self, fronts: &[SocketAddr]) -> ClientStream {
        let deadline = Instant::now() + Duration::from_millis(BUDGET_MS);
        // A first try and a few more, each at another daemon.
        for (attempt, front) in fronts.iter().enumerate() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let (sent_at, events_before) = (Instant::now(), self.last_event);
            let end = self.attempt(attempt, *front, left);
            if events_before > 0 {
                let went_on = self.last_event > events_before;
                self.take_ups.push(TakeUp { sent_at, went_on });
            }
            let left = deadline.saturating_duration_since(Instant::now());
            let pause = match end {
                Ok(AttemptEnd::Whole) => {
                    return self.into_stream(true);
                }
                // Clients honour what they are told, up to a third of the time that is left.
                Ok(AttemptEnd::Refused(Some(seconds))) => {
                    Duration::from_secs_f64(seconds).min(left / 3)
                }
                _ => OWN_PAUSE,
            };
            sleep(pause.max(self.pauses.get(attempt).copied().unwrap_or_default()));
        }
        self.into_stream(false)
    }

    fn attempt(
        &mut self,
        attempt: usize,
        front: SocketAddr,
        left: Duration,
    ) -> std::io::Result<AttemptEnd> {
        let id = format!("{}{:02}-{attempt}", self.tag, self.number);
        let mut head = format!(
            "POST {}{} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\n\
             X-Model: m\r\nX-Token-Count: 920,170\r\n\
             X-Prompt-Prefix: {}{:x}:408\r\nX-Deadline-Ms: {}\r\n\
             Authorization: Token key1\r\nContent-Length: 4\r\n",
            self.path,
            self.number,
            self.shared_parts,
            0xa000 + self.number,
            left.as_millis(),
        );
        if let Some(first) = &self.first_attempt {
            head += &format!("Resumes: {first}\r\nLast-Event-Id: {}\r\n", self.last_event);
        }
        self.record.add(&format!("client {id} sends to {front} after event {}", self.last_event));
        let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(left))?;
        stream.write_all(format!("{head}\r\nbody").as_bytes())?;
        let mut reader = Reader::new(stream);
        let Some(response) = read_head(&mut reader) else { return Ok(AttemptEnd::Broken) };
        if response.status() != 200 {
            let retry_after = response.get("retry-after").and_then(|text| text.parse().ok());
            self.record.add(&format!(
                "client {id} gets {}, retry-after {retry_after:?}",
                response.status()
            ));
            return Ok(AttemptEnd::Refused(retry_after));
        }
        let end = self.read_events(&mut reader, &id)?;
        let text = if matches!(end, AttemptEnd::Whole) { "whole" } else { "broken off" };
        self.record.add(&format!(
            "client {id} {text} at event {}, versions {:?}",
            self.last_event, self.versions
        ));
        Ok(end)
    }

    /// Reads a chunked stream of events.
    fn read_events(&mut self, reader: &mut Reader, id: &str) -> std::io::Result<AttemptEnd> {
        let mut event = None;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or_default() == 0 {
                return Ok(AttemptEnd::Broken);
            }
            let line = line.trim_end();
            if line == "0" {
                return Ok(AttemptEnd::Whole);
            }
            if let Some(number) = line.strip_prefix("id: ") {
                event = number.parse::<u64>().ok();
            }
            if let (Some(data), Some(number)) = (line.strip_prefix("data: "), event) {
                let version = data.split(' ').next().unwrap_or_default().to_owned();
                if self.versions.insert(version.clone()) {
                    self.record.add(&format!("client {id} gets event {number}: {data}"));
                }
                self.first_attempt.get_or_insert_with(|| id.to_owned());
                self.last_event = number;
            }
        }
    }
}
