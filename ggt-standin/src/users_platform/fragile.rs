//! Script of a server that runs a few requests at a time, queues a few more, and may fall over when it
//! has to turn away too many.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::server::lock;
use crate::users_platform::request::WireRequest;
use crate::users_platform::server::AfterResponse;
use crate::users_platform::server::ServerStandin;

/// Span in which a server counts the requests that it turns away.
const COUNTED_TIME: Duration = Duration::from_secs(1);

/// What a server with a queue can take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Number of requests that run at a time.
    pub slots: usize,
    /// Number of requests that may wait for a slot; the server turns away all others.
    pub waiting: usize,
    /// Time for which each request runs.
    pub run_time: Duration,
    /// The requests turned away in a second that the server names as its maximum; `None` if it names
    /// none.
    pub max_rejections: Option<u32>,
    /// Whether the server falls over when it turns away more than that.
    pub may_fall: bool,
}

/// Queue and slots of one server, and what it has turned away.
#[derive(Debug)]
pub struct FragileQueue {
    state: Mutex<QueueState>,
    slot_freed: Condvar,
}

#[derive(Debug)]
struct QueueState {
    limits: QueueLimits,
    running: usize,
    waiting: usize,
    /// When the latest requests were turned away.
    rejected_at: Vec<Instant>,
    served: usize,
    rejected: usize,
    falls: usize,
    /// When the server fell over, until it is started again.
    fell_at: Option<Instant>,
}

/// What happens to a request that arrives.
enum Entry {
    /// It has a slot; the number is that of the server's falls before.
    Runs(usize),
    TurnedAway,
    /// The server has fallen over, or does so now.
    Fallen(AfterResponse),
}

impl FragileQueue {
    /// An empty queue.
    pub fn new(limits: QueueLimits) -> Arc<Self> {
        let state = QueueState {
            limits,
            running: 0,
            waiting: 0,
            rejected_at: Vec::new(),
            served: 0,
            rejected: 0,
            falls: 0,
            fell_at: None,
        };
        Arc::new(Self { state: Mutex::new(state), slot_freed: Condvar::new() })
    }

    /// Lets a server respond to all requests from now on by this queue.
    pub fn serve_at(self: &Arc<Self>, server: &ServerStandin) {
        let queue = self.clone();
        server.set_script(move |request, stream| queue.serve(request, stream));
    }

    /// Sets other limits for requests that arrive from now on.
    pub fn set_limits(&self, limits: QueueLimits) {
        lock(&self.state).limits = limits;
    }

    /// Number of requests that were served completely.
    pub fn served(&self) -> usize {
        lock(&self.state).served
    }

    /// Number of requests that were turned away.
    pub fn rejected(&self) -> usize {
        lock(&self.state).rejected
    }

    /// Number of times that the server fell over.
    pub fn falls(&self) -> usize {
        lock(&self.state).falls
    }

    /// For how long the server has been down; `None` if it has not fallen over since it was started
    /// last.
    pub fn down_time(&self) -> Option<Duration> {
        lock(&self.state).fell_at.map(|fell_at| fell_at.elapsed())
    }

    /// Records that the server is started again.
    pub fn record_start(&self) {
        lock(&self.state).fell_at = None;
    }

    fn serve(&self, request: &WireRequest, stream: &mut TcpStream) -> AfterResponse {
        match self.enter() {
            Entry::Fallen(after) => after,
            Entry::TurnedAway => {
                let line = "X-Not-Executed: full\r\n";
                self.respond(request, stream, "503 Service Unavailable", line)
            }
            Entry::Runs(falls) => {
                let run_time = lock(&self.state).limits.run_time;
                thread::sleep(run_time);
                if !self.leave(falls) {
                    return AfterResponse::Close;
                }
                let line = format!("X-Server-Stamp: stamp-{}\r\n", request.attempt_id());
                self.respond(request, stream, "200 OK", &line)
            }
        }
    }

    /// Takes a slot, waits for one, or turns the request away.
    fn enter(&self) -> Entry {
        let mut state = lock(&self.state);
        let falls = state.falls;
        if state.fell_at.is_some() {
            return Entry::Fallen(AfterResponse::Close);
        }
        if state.running >= state.limits.slots {
            if state.waiting >= state.limits.waiting {
                let entry = state.turn_away(Instant::now());
                self.slot_freed.notify_all();
                return entry;
            }
            state.waiting += 1;
            while state.falls == falls && state.running >= state.limits.slots {
                state = self.slot_freed.wait(state).unwrap_or_else(PoisonError::into_inner);
            }
            if state.falls != falls {
                return Entry::Fallen(AfterResponse::Close);
            }
            state.waiting -= 1;
        }
        state.running += 1;
        Entry::Runs(falls)
    }

    /// Frees a slot; false if the server has fallen over since the request began.
    fn leave(&self, falls: usize) -> bool {
        let mut state = lock(&self.state);
        if state.falls != falls {
            return false;
        }
        state.running -= 1;
        state.served += 1;
        drop(state);
        self.slot_freed.notify_one();
        true
    }

    fn respond(
        &self,
        request: &WireRequest,
        stream: &mut TcpStream,
        status: &str,
        lines: &str,
    ) -> AfterResponse {
        let (load, named) = {
            let state = lock(&self.state);
            let QueueLimits { slots, max_rejections, .. } = state.limits;
            let load = format!("{},{},{slots}", state.running, state.waiting);
            let named = max_rejections.map(|maximum| format!("Server-Brittle: {maximum}\r\n"));
            (load, named.unwrap_or_default())
        };
        let (id, body) = (request.attempt_id(), "whole");
        let text = format!(
            "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\n{lines}{named}X-Server-Load: {load}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        match stream.write_all(text.as_bytes()) {
            Ok(()) => AfterResponse::Keep,
            Err(_) => AfterResponse::Close,
        }
    }
}

impl QueueState {
    /// Counts a request that finds no room, which may make the server fall over.
    fn turn_away(&mut self, now: Instant) -> Entry {
        self.rejected += 1;
        self.rejected_at.retain(|at| now.duration_since(*at) < COUNTED_TIME);
        self.rejected_at.push(now);
        let maximum = self.limits.max_rejections.map_or(usize::MAX, |maximum| maximum as usize);
        if !self.limits.may_fall || self.rejected_at.len() <= maximum {
            return Entry::TurnedAway;
        }
        self.falls += 1;
        self.fell_at = Some(now);
        (self.running, self.waiting) = (0, 0);
        self.rejected_at.clear();
        Entry::Fallen(AfterResponse::Crash)
    }
}
