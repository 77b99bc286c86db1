//! A crowd of clients that send all but the end of a body of legal size, and stay. It has processes of its own.
//!
//! `review-cases-3 crowd ADDRESS FIRST COUNT PADS BODY_BYTES` runs until it is killed.

use std::io::Write;
use std::net::SocketAddr;
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

/// Channels of one process.
const PART: usize = 700;
/// Threads of one process that open channels.
const THREADS: usize = 4;
/// Bytes of a body that are held back.
const HELD_BACK: usize = 100;
/// Length of the value of a header beside the usual ones.
const PAD_BYTES: usize = 165;
/// Pause of a thread between two channels.
const OPEN_PAUSE: Duration = Duration::from_millis(15);
/// Pause between two bytes of a body that comes piece by piece: the idle timeout is 15 s.
const PIECE_PAUSE: Duration = Duration::from_secs(2);

/// What each client of a crowd sends; the configuration allows heads of 16,384 bytes and bodies of 4 MiB.
#[derive(Clone, Copy, Debug)]
pub struct CrowdRequest {
    /// Headers beside the usual ones, of some 180 bytes each.
    pub pads: usize,
    /// Length of the body.
    pub body_bytes: usize,
}

/// The processes of a crowd; they are killed when this is dropped.
pub struct Crowd {
    processes: Vec<Child>,
}

impl Crowd {
    /// Starts a crowd of `size` channels, which open within some seconds.
    pub fn start(front: SocketAddr, size: usize, request: CrowdRequest) -> Option<Self> {
        let program = std::env::current_exe().ok()?;
        let mut crowd = Self { processes: Vec::new() };
        for first in (0..size).step_by(PART) {
            let count = PART.min(size - first);
            let mut command = Command::new(&program);
            let numbers = [first, count, request.pads, request.body_bytes];
            command.arg("crowd").arg(front.to_string()).args(numbers.map(|n| n.to_string()));
            command.stdin(Stdio::null());
            crowd.processes.push(command.spawn().ok()?);
        }
        Some(crowd)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// Plays a part of a crowd in this process until it is killed.
pub fn run(arguments: &[String]) -> ExitCode {
    let [front, numbers @ ..] = arguments else { return ExitCode::from(2) };
    let numbers: Vec<usize> = numbers.iter().filter_map(|text| text.parse().ok()).collect();
    let (Ok(front), [first, count, pads, body_bytes]) =
        (front.parse::<SocketAddr>(), numbers.as_slice())
    else {
        return ExitCode::from(2);
    };
    let (first, count) = (*first, *count);
    let request = CrowdRequest { pads: *pads, body_bytes: *body_bytes };
    let channels = Arc::new(Mutex::new(Vec::new()));
    let opening: Vec<_> = (0..THREADS)
        .map(|part| {
            let channels = channels.clone();
            thread::spawn(move || {
                for number in (first..first + count).filter(|number| number % THREADS == part) {
                    let channel = join(front, number, request);
                    channels.lock().expect("crowd").extend(channel);
                    sleep(OPEN_PAUSE);
                }
            })
        })
        .collect();
    thread::spawn(move || send_pieces(&channels));
    for part in opening {
        let _ = part.join();
    }
    // Until it is killed.
    loop {
        thread::park();
    }
}

/// Sends a byte of each body now and then: each needs some minutes to its end.
fn send_pieces(channels: &Mutex<Vec<TcpStream>>) {
    for _ in 0..HELD_BACK - 1 {
        sleep(PIECE_PAUSE);
        let mut channels = channels.lock().expect("crowd");
        channels.retain_mut(|channel| channel.write_all(b"x").is_ok());
    }
}

fn join(front: SocketAddr, number: usize, request: CrowdRequest) -> std::io::Result<TcpStream> {
    let CrowdRequest { pads, body_bytes } = request;
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(5))?;
    stream.set_write_timeout(Some(Duration::from_secs(5)))?;
    let pads: String =
        (0..pads).map(|pad| format!("X-Pad-{pad:03}: {}\r\n", "p".repeat(PAD_BYTES))).collect();
    let text = format!(
        "POST /file/ HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: crowd-{number}\r\n\
         X-Deadline-Ms: 60000\r\nAuthorization: Token key1\r\n{pads}\
         Content-Length: {body_bytes}\r\n\r\n{}",
        "x".repeat(body_bytes - HELD_BACK)
    );
    stream.write_all(text.as_bytes())?;
    Ok(stream)
}
