//! A bounded queue of log lines, written out by a thread of its own.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::bounded;

/// Lines that wait to be written at most.
const MAX_LINES: usize = 4_096;
/// Pause between writes, so that lines are written together.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// Takes log lines without ever waiting.
pub struct LineQueue {
    lines: Sender<String>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Takes a line, or counts it as dropped when the queue is full.
    pub fn push(&self, line: String) {
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Starts the thread that writes lines to standard output.
pub fn start_line_queue() -> LineQueue {
    let (lines, receiver) = bounded(MAX_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = dropped.clone();
    let thread = thread::Builder::new().name("log".to_owned());
    if let Err(e) = thread.spawn(move || run_writing(&receiver, &counter)) {
        eprintln!("event=thread name=log cause=\"{e}\"");
    }
    LineQueue { lines, dropped }
}

fn run_writing(lines: &Receiver<String>, dropped: &AtomicU64) {
    while let Ok(first) = lines.recv() {
        let mut text = first;
        lines.try_iter().for_each(|line| text.push_str(&line));
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            text.push_str(&format!("event=log-lines-dropped count={lost}\n"));
        }
        // Nobody can be told when standard output is closed.
        let _ = std::io::stdout().write_all(text.as_bytes());
        thread::sleep(WRITE_PAUSE);
    }
}
