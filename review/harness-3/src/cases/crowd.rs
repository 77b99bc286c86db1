//! Many clients send all but the end of a body of legal size and stay. Do ordinary clients still get answers?

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use crate::Stage;
use crate::Verdict;
use crate::client::request;
use crate::daemon::Plan;
use crate::server::Next;
use crate::server::serve;
use crate::server::write_answer;
use crate::server::write_misdirected;
use crate::store::Store;

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let number = |name: &str, default: usize| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let crowd_size = number("CROWD", 4_100);
    let max_files = number("FILES", 4_100) as u64;
    let shape = std::env::var("SHAPE").unwrap_or("body".to_owned());
    let store = Store::start();
    let address = serve(|request, writer| {
        if request.is_misdirected("i-1") {
            return write_misdirected(writer, request, "i-1");
        }
        if request.head.path().starts_with("/health") {
            return write_answer(writer, request, "i-1", 200, "");
        }
        sleep(Duration::from_millis(15));
        match write_answer(writer, request, "i-1", 200, "filed") {
            Next::Keep => Next::Keep,
            Next::Close => Next::Close,
        }
    });
    store.put("servers/i-1", &format!("{{\"Service\":\"desk\",\"Address\":\"{address}\",\"Zone\":\"z1\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":1,\"born\":1700000000000}}"));
    store.put("op/config", "{\"Version\":7,\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"desk.example\",\"PathPrefix\":\"/file/\",\"Kind\":\"non_idempotent\",\"TimeoutMs\":800,\"GoalMs\":100,\"Priority\":2,\"Service\":\"desk\",\"Attempts\":1,\"Public\":false,\"Sticky\":false,\"CanResume\":false}],\"Services\":[{\"Name\":\"desk\",\"HealthPath\":\"/health\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"t1\",\"ApiKeys\":[\"key1\"],\"Priority\":1}]}");
    let mut plan = Plan::new(&stage.folder, store.address, &["127.0.0.1"], &["z1"]);
    plan.max_files = Some(max_files);
    let mut daemon = plan.start(0);
    if !daemon.wait_until_ready(Duration::from_secs(10)) {
        return Verdict::Unplayed;
    }
    sleep(Duration::from_secs(3));
    record.say(&format!("rss {} files {}", daemon.resident_bytes(), daemon.open_files()));
    let mut crowd = Vec::new();
    if stage.has_trouble {
        let (front, shape) = (daemon.front, &shape);
        let parts = 16;
        crowd = std::thread::scope(|scope| {
            let threads: Vec<_> = (0..parts)
                .map(|part| {
                    scope.spawn(move || {
                        let numbers = (0..crowd_size).filter(|n| n % parts == part);
                        numbers.filter_map(|n| join(front, n, shape).ok()).collect::<Vec<_>>()
                    })
                })
                .collect();
            threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
        });
        record.say(&format!("crowd of {} channels", crowd.len()));
    }
    let mut unanswered = 0;
    for n in 0..20 {
        let head = format!("POST /file/{n} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: a{n}\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token key1\r\nContent-Length: 4\r\n\r\n");
        let outcome = request(daemon.front, &head, b"form", Duration::from_millis(1_500));
        record.say(&format!("request {n}: {} after {:?}; rss {} files {}", outcome.status_text(), outcome.after, daemon.resident_bytes(), daemon.open_files()));
        if outcome.status.is_none() {
            unanswered += 1;
        }
        sleep(Duration::from_millis(200));
    }
    drop(crowd);
    record.say(&format!("unanswered {unanswered} running {}", daemon.is_running()));
    if unanswered > 5 { Verdict::Broken } else { Verdict::Held }
}

fn join(address: SocketAddr, n: usize, shape: &str) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_write_timeout(Some(Duration::from_secs(2)))?;
    let base = format!("POST /file/c{n} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: c{n}\r\nX-Deadline-Ms: 60000\r\nAuthorization: Token key1\r\n");
    let text = match shape {
        "body" => format!("{base}Content-Length: 4000\r\n\r\n{}", "x".repeat(3_900)),
        "body60" => format!("{base}Content-Length: 60000\r\n\r\n{}", "x".repeat(59_900)),
        "head" => format!("{base}X-Pad: {}", "x".repeat(15_800)),
        "head31" => format!("{base}X-Pad: {}", "x".repeat(32_000)),
        "mix" => format!("{base}X-Pad: {}\r\nContent-Length: 12000\r\n\r\n{}", "p".repeat(15_000), "x".repeat(11_900)),
        "mixc" => format!("{base}X-Pad: {}\r\nTransfer-Encoding: chunked\r\n\r\n2ee0\r\n{}", "p".repeat(15_000), "x".repeat(11_999)),
        "many" => {
            let pad: String = (0..85).map(|k| format!("X-Pad-{k:03}: {}\r\n", "p".repeat(165))).collect();
            format!("{base}{pad}Content-Length: 12500\r\n\r\n{}", "x".repeat(12_400))
        }
        "many4" => {
            let pad: String = (0..85).map(|k| format!("X-Pad-{k:03}: {}\r\n", "p".repeat(10))).collect();
            format!("{base}{pad}Content-Length: 12500\r\n\r\n{}", "x".repeat(12_400))
        }
        "chunked" => format!("{base}Transfer-Encoding: chunked\r\n\r\nff0\r\n{}", "x".repeat(0xff0)),
        "chunk60" => format!("{base}X-Pad: {}\r\nTransfer-Encoding: chunked\r\n\r\nea60\r\n{}", "p".repeat(15_000), "x".repeat(59_999)),
        _ => base,
    };
    stream.write_all(text.as_bytes())?;
    Ok(stream)
}
