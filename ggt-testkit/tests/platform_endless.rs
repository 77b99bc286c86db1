//! Servers that send bytes without end, in a head or a body, on the users' platform: the wait and the
//! memory are bounded, the connection is closed, and the response does not deny that the request ran.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::WireRequest;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::wait::wait_until;

/// Requests at the same time.
const CONCURRENT_REQUESTS: usize = 12;
/// Peak memory of a daemon in KiB: the first letter's 128 MB.
const MAX_MEMORY_KIB: u64 = 128 * 1024;

/// Where a server's bytes do not end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndlessPart {
    /// Bytes that are no response.
    Garbage,
    /// One header line.
    HeaderLine,
    /// The list of header lines.
    HeaderList,
    /// A body without a length or chunks.
    Body,
    /// The body of an error response.
    ErrorBody,
    /// Chunks of a body.
    Chunks,
    /// A stream's first event.
    Event,
}

impl EndlessPart {
    const ALL: [Self; 7] = [
        Self::Garbage,
        Self::HeaderLine,
        Self::HeaderList,
        Self::Body,
        Self::ErrorBody,
        Self::Chunks,
        Self::Event,
    ];

    /// What the server sends first, and what it repeats until the connection is closed.
    fn text(self, request: &WireRequest) -> (String, String) {
        let id = request.attempt_id();
        let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s-{id}\r\n");
        let block = "0123456789abcdef".repeat(1_024);
        match self {
            Self::Garbage => (String::new(), block),
            Self::HeaderLine => (format!("{head}X-Long: "), block),
            Self::HeaderList => (head, "X-Other: 0123456789\r\n".repeat(512)),
            Self::Body => (format!("{head}\r\n"), block),
            Self::ErrorBody => (format!("{}\r\n", head.replace("200 OK", "500 Error")), block),
            Self::Chunks => {
                let chunk = format!("{:x}\r\n{block}\r\n", block.len());
                (format!("{head}Transfer-Encoding: chunked\r\n\r\n"), chunk)
            }
            Self::Event => (format!("{head}\r\nid: 1\ndata: "), block),
        }
    }
}

fn send_without_end(part: EndlessPart, request: &WireRequest, stream: &mut TcpStream) {
    let (first, repeated) = part.text(request);
    let mut is_open = stream.write_all(first.as_bytes()).is_ok();
    while is_open {
        is_open = stream.write_all(repeated.as_bytes()).is_ok();
    }
}

/// Peak resident memory of a process in KiB.
fn peak_memory_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("a status file");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("a peak");
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).expect("a number")
}

fn check_endless(route: &str, part: EndlessPart) {
    let fleet = FrontFleet::start(3, 1);
    let (begun, ended) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    for server in &fleet.servers {
        let (begun, ended) = (begun.clone(), ended.clone());
        server.set_script(move |request, stream| {
            begun.fetch_add(1, Ordering::SeqCst);
            send_without_end(part, request, stream);
            ended.fetch_add(1, Ordering::SeqCst);
            AfterResponse::Close
        });
    }
    thread::scope(|scope| {
        for number in 0..CONCURRENT_REQUESTS {
            let path = format!("/{route}/{number}");
            let request = fleet.request(0, "POST", &path, &format!("{route}-{number}"));
            let request = request.body("body");
            scope.spawn(move || {
                let response = request.send().expect("should respond");
                let is_cut = response.status == 200 && !response.is_complete;
                let is_failure = matches!(response.status, 502 | 504);
                assert!(is_cut || is_failure, "{part:?} on /{route}/: {}", response.status);
            });
        }
    });
    wait_until("the connections to the servers are closed", || {
        ended.load(Ordering::SeqCst) == begun.load(Ordering::SeqCst)
    });
    let memory = peak_memory_kib(fleet.daemons[0].process.id());
    assert!(memory <= MAX_MEMORY_KIB, "{part:?} on /{route}/: {memory} KiB");
}

// Guards against a server whose bytes fill a daemon's memory.
#[test]
fn endless_bytes_of_a_server_end_with_the_request() {
    for part in EndlessPart::ALL {
        check_endless("read", part);
        check_endless("chat", part);
    }
}

// Guards against the same, and a denied run, for requests that may not run twice.
#[test]
fn endless_bytes_in_response_to_a_non_idempotent_request_end_with_it() {
    for part in EndlessPart::ALL {
        check_endless("once", part);
        check_endless("talk", part);
    }
}
