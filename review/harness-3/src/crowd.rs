//! A crowd of clients that send all but the end of a body of legal size, and stay. It has processes of its own.
//!
//! `review-cases-3 crowd ADDRESS FIRST COUNT` prints the number of its channels once all have sent.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::ExitCode;
use std::process::Stdio;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

/// Channels of one process.
const PART: usize = 700;
/// Threads of one process that open channels.
const THREADS: usize = 4;
/// Length of a body; the configuration allows 4 MiB.
const BODY_BYTES: usize = 12_500;
/// Bytes of it that are held back.
const HELD_BACK: usize = 100;
/// Headers of a request beside the usual ones, and the length of their values: 15.6 kB, of 16,384 bytes allowed.
const PADS: usize = 85;
const PAD_BYTES: usize = 165;
/// Pause between two bytes of a body that comes piece by piece: the idle timeout is 15 s.
const PIECE_PAUSE: Duration = Duration::from_secs(2);

/// The processes of a crowd; they are killed when this is dropped.
pub struct Crowd {
    processes: Vec<Child>,
    pub channels: usize,
}

impl Crowd {
    /// Starts a crowd of `size` channels, and waits until all have sent.
    pub fn start(front: SocketAddr, size: usize) -> Option<Self> {
        let program = std::env::current_exe().ok()?;
        let mut crowd = Self { processes: Vec::new(), channels: 0 };
        for first in (0..size).step_by(PART) {
            let count = PART.min(size - first);
            let mut command = Command::new(&program);
            let words = [front.to_string(), first.to_string(), count.to_string()];
            command.arg("crowd").args(words).stdin(Stdio::null()).stdout(Stdio::piped());
            crowd.processes.push(command.spawn().ok()?);
        }
        let mut channels = 0;
        for process in &mut crowd.processes {
            let mut line = String::new();
            BufReader::new(process.stdout.take()?).read_line(&mut line).ok()?;
            channels += line.trim().parse::<usize>().ok()?;
        }
        crowd.channels = channels;
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
    let (Ok(front), [first, count]) = (front.parse::<SocketAddr>(), numbers.as_slice()) else {
        return ExitCode::from(2);
    };
    let (first, count) = (*first, *count);
    let mut channels = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|part| {
                scope.spawn(move || {
                    let numbers = (first..first + count).filter(|n| n % THREADS == part);
                    numbers.filter_map(|number| join(front, number).ok()).collect::<Vec<_>>()
                })
            })
            .collect();
        threads.into_iter().filter_map(|part| part.join().ok()).flatten().collect::<Vec<_>>()
    });
    println!("{}", channels.len());
    // Piece by piece: each body needs another minutes to its end.
    for _ in 0..HELD_BACK - 1 {
        sleep(PIECE_PAUSE);
        channels.retain_mut(|channel| channel.write_all(b"x").is_ok());
    }
    ExitCode::SUCCESS
}

fn join(front: SocketAddr, number: usize) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(5))?;
    stream.set_write_timeout(Some(Duration::from_secs(5)))?;
    let pads: String =
        (0..PADS).map(|pad| format!("X-Pad-{pad:03}: {}\r\n", "p".repeat(PAD_BYTES))).collect();
    let text = format!(
        "POST /file/ HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: crowd-{number}\r\n\
         X-Deadline-Ms: 60000\r\nAuthorization: Token key1\r\n{pads}\
         Content-Length: {BODY_BYTES}\r\n\r\n{}",
        "x".repeat(BODY_BYTES - HELD_BACK)
    );
    stream.write_all(text.as_bytes())?;
    Ok(stream)
}
