//! The last server of an old software version starts again under its id, at a new version, while the store is down.

use std::collections::BTreeSet;
use std::io::BufRead;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::Stage;
use crate::Verdict;
use crate::daemon::Daemon;
use crate::daemon::Plan;
use crate::engine::Engine;
use crate::engine::EngineSpec;
use crate::engine::unix_ms;
use crate::http::Reader;
use crate::http::read_head;
use crate::record::Record;
use crate::store::Store;

/// Streams that begin.
const STREAMS: usize = 24;
/// Events of a stream, and the pause between two.
const EVENTS: u64 = 24;
const GAP_MS: u64 = 200;
/// Time budget of a client in milliseconds.
const BUDGET_MS: u64 = 12_000;
/// For how long the server is down.
const DOWN: Duration = Duration::from_millis(700);
/// For how long the store is down: the site's days have 8 s.
const STORE_DOWN: Duration = Duration::from_millis(6_000);
/// Time within which a server has written its entry again after that.
const WRITTEN_AGAIN: Duration = Duration::from_millis(1_000);
/// Streams that may hold events of two versions.
const ALLOWED: usize = 2;
/// Pause of a client that was told none.
const OWN_PAUSE: Duration = Duration::from_millis(50);

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::start();
    store.put("op/config", &config());
    let born = unix_ms() - 60_000;
    let Some(mut old) = start_engine("i-1", "v1", born, free_address(), record) else {
        return Verdict::Unplayed;
    };
    let Some(new) = start_engine("i-2", "v2", born + 1, free_address(), record) else {
        return Verdict::Unplayed;
    };
    store.put("servers/i-1", &old.entry("writers", "z1"));
    store.put("servers/i-2", &new.entry("writers", "z1"));
    let hosts = ["127.0.0.1", "127.0.0.2", "127.0.0.3"];
    let plan = Plan::new(&stage.folder, store.address, &hosts, &["z1", "z2", "z3"]);
    let daemons: Vec<Daemon> = (0..hosts.len()).map(|number| plan.start(number)).collect();
    if !daemons.iter().all(|daemon| daemon.wait_until_ready(Duration::from_secs(10))) {
        return Verdict::Unplayed;
    }
    sleep(Duration::from_secs(4));
    let fronts: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.front).collect();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (fronts, record) = (fronts.clone(), record.clone());
            thread::spawn(move || StreamClient::new(number, record).play(&fronts))
        })
        .collect();
    sleep(Duration::from_millis(1_000));
    let mut restarted = None;
    if stage.has_trouble {
        store.fall_silent();
        let store_back_at = Instant::now() + STORE_DOWN;
        record.say("the store is down");
        sleep(Duration::from_millis(500));
        record.say("server i-1 (v1) crashes");
        old.kill();
        sleep(DOWN);
        restarted = start_engine("i-1", "v2", unix_ms(), old.spec.address, record);
        record.say("server i-1 is back, at v2");
        sleep(store_back_at.saturating_duration_since(Instant::now()));
        store.resume();
        record.say("the store is back");
        sleep(WRITTEN_AGAIN);
        if let Some(engine) = &restarted {
            store.put("servers/i-1", &engine.entry("writers", "z1"));
        }
    }
    let streams: Vec<ClientStream> =
        clients.into_iter().filter_map(|client| client.join().ok()).collect();
    drop(restarted);
    let joined = streams.iter().filter(|stream| stream.versions.len() > 1).count();
    let whole = streams.iter().filter(|stream| stream.is_whole).count();
    record.say(&format!(
        "{} streams, {whole} whole, {joined} with events of two software versions (allowed: {ALLOWED})",
        streams.len()
    ));
    match (joined > ALLOWED, whole) {
        (true, _) => Verdict::Broken,
        (false, 0) => Verdict::Unplayed,
        (false, _) => Verdict::Held,
    }
}

fn start_engine(
    id: &str,
    version: &str,
    born: u64,
    address: SocketAddr,
    record: &Record,
) -> Option<Engine> {
    let (id, version) = (id.to_owned(), version.to_owned());
    let spec = EngineSpec { id, version, born, address, events: EVENTS, gap_ms: GAP_MS };
    Engine::start(spec, record)
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    listener.local_addr().expect("free port")
}

fn config() -> String {
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
struct ClientStream {
    versions: BTreeSet<String>,
    is_whole: bool,
}

/// A client that takes its stream up at another daemon after a failure.
struct StreamClient {
    number: usize,
    record: Record,
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
    Refused(u16, Option<f64>),
}

impl StreamClient {
    fn new(number: usize, record: Record) -> Self {
        let versions = BTreeSet::new();
        Self { number, record, first_attempt: None, last_event: 0, versions }
    }

    fn play(mut self, fronts: &[SocketAddr]) -> ClientStream {
        let deadline = Instant::now() + Duration::from_millis(BUDGET_MS);
        // A first try and a few more, each at another daemon.
        for (attempt, front) in fronts.iter().enumerate() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let end = self.attempt(attempt, *front, left);
            let left = deadline.saturating_duration_since(Instant::now());
            let pause = match end {
                Ok(AttemptEnd::Whole) => {
                    return ClientStream { versions: self.versions, is_whole: true };
                }
                // Clients honour what they are told, up to a third of the time that is left.
                Ok(AttemptEnd::Refused(_, Some(seconds))) => {
                    Duration::from_secs_f64(seconds).min(left / 3)
                }
                _ => OWN_PAUSE,
            };
            sleep(pause);
        }
        ClientStream { versions: self.versions, is_whole: false }
    }

    fn attempt(
        &mut self,
        attempt: usize,
        front: SocketAddr,
        left: Duration,
    ) -> std::io::Result<AttemptEnd> {
        let id = format!("c{:02}-{attempt}", self.number);
        let mut head = format!(
            "POST /draft/{} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\n\
             X-Model: m\r\nX-Token-Count: 920,170\r\n\
             X-Prompt-Prefix: 5c1e07a2:512,{:x}:408\r\nX-Deadline-Ms: {}\r\n\
             Authorization: Token key1\r\nContent-Length: 4\r\n",
            self.number,
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
            return Ok(AttemptEnd::Refused(response.status(), retry_after));
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
