//! Bounded queue of log lines, written to standard output by a separate thread.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::bounded;

/// Capacity of the queue in lines.
const MAX_QUEUED_LINES: usize = 4_096;
/// Pause between writes, so that several lines are written at once.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Sending end of the queue; never blocks.
pub struct LineQueue {
    lines: Sender<String>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Enqueues a line, or counts it as dropped if the queue is full.
    pub fn push(&self, line: String) {
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Starts the writer thread and returns its queue.
pub fn start_line_queue() -> LineQueue {
    let (lines, receiver) = bounded(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = dropped.clone();
    let thread = thread::Builder::new().name("log".to_owned());
    if let Err(e) = thread.spawn(move || write_lines(&receiver, &counter)) {
        eprintln!("event=thread name=log cause=\"{e}\"");
    }
    LineQueue { lines, dropped }
}

fn write_lines(lines: &Receiver<String>, dropped: &AtomicU64) {
    while let Ok(first) = lines.recv() {
        let mut text = first;
        lines.try_iter().for_each(|line| text.push_str(&line));
        let dropped_count = dropped.swap(0, Ordering::Relaxed);
        if dropped_count > 0 {
            text.push_str(&format!("event=log-lines-dropped count={dropped_count}\n"));
        }
        // If standard output is closed, there is nowhere to report it.
        let _ = std::io::stdout().write_all(text.as_bytes());
        thread::sleep(WRITE_INTERVAL);
    }
}
