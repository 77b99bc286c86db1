//! Servers that send bytes without end, in a head or a body, on the users' platform: the wait and the
//! memory are bounded, the connection is closed, and the response does not deny that the request ran.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::EndlessKind;
use ggt_standin::users_platform::send_without_end;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::wait::wait_until;

/// Requests at the same time.
const CONCURRENT_REQUESTS: usize = 12;
/// Peak memory of a daemon in KiB, with the pages of its program.
const MAX_MEMORY_KIB: u64 = 128 * 1024;
/// Bytes that a server sends per second in each response.
const BYTES_PER_SECOND: u64 = 50_000_000;

/// Peak resident memory of a process in KiB.
fn peak_memory_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("a status file");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("a peak");
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).expect("a number")
}

fn check_endless(route: &str, kind: EndlessKind) {
    let fleet = FrontFleet::start(3, 1);
    let (begun, ended) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    for server in &fleet.servers {
        let (begun, ended) = (begun.clone(), ended.clone());
        server.set_script(move |request, stream| {
            begun.fetch_add(1, Ordering::SeqCst);
            send_without_end(kind, request, stream, BYTES_PER_SECOND);
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
                let is_whole = kind.has_complete_reply() && response.body == "id: 1\ndata: a\n\n";
                let is_cut = response.status == 200 && !response.is_complete;
                let is_failure = matches!(response.status, 502 | 504);
                assert!(
                    is_whole || is_cut || is_failure,
                    "{kind:?} on /{route}/: {}",
                    response.status
                );
            });
        }
    });
    wait_until("the connections to the servers are closed", || {
        ended.load(Ordering::SeqCst) == begun.load(Ordering::SeqCst)
    });
    let memory = peak_memory_kib(fleet.daemons[0].process.id());
    assert!(memory <= MAX_MEMORY_KIB, "{kind:?} on /{route}/: {memory} KiB");
}

// Guards against a server whose bytes fill a daemon's memory.
#[test]
fn endless_bytes_of_a_server_end_with_the_request() {
    for kind in EndlessKind::ALL {
        check_endless("read", kind);
        check_endless("chat", kind);
    }
}

// Guards against the same, and a denied run, for requests that may not run twice.
#[test]
fn endless_bytes_in_response_to_a_non_idempotent_request_end_with_it() {
    for kind in EndlessKind::ALL {
        check_endless("once", kind);
        check_endless("talk", kind);
    }
}
