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
/// Maximum time for which the end of the process waits for the last lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(120);

/// Entry of the queue.
enum QueueEntry {
    /// A line to be written.
    Line(String),
    /// To be answered once all entries before it have been written.
    Flush(Sender<()>),
}

/// Sending end of the queue; only [`LineQueue::flush`] blocks.
#[derive(Clone)]
pub struct LineQueue {
    entries: Sender<QueueEntry>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Enqueues a line, or counts it as dropped if the queue is full.
    pub fn push(&self, line: String) {
        if self.entries.try_send(QueueEntry::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until all lines have been written, for a limited time: a reader of the output may have
    /// stopped.
    pub fn flush(&self) {
        let (done, is_done) = bounded(1);
        if self.entries.send_timeout(QueueEntry::Flush(done), FLUSH_TIMEOUT).is_ok() {
            // After the timeout the remaining lines are lost.
            let _ = is_done.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Starts the writer thread and returns its queue.
pub fn start_line_queue() -> LineQueue {
    let (entries, receiver) = bounded(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = dropped.clone();
    let thread = thread::Builder::new().name("log".to_owned());
    if let Err(e) = thread.spawn(move || write_lines(&receiver, &counter)) {
        eprintln!("event=thread name=log cause=\"{e}\"");
    }
    LineQueue { entries, dropped }
}

fn write_lines(entries: &Receiver<QueueEntry>, dropped: &AtomicU64) {
    while let Ok(first) = entries.recv() {
        let (mut text, mut flushes) = (String::new(), Vec::new());
        for entry in [first].into_iter().chain(entries.try_iter()) {
            match entry {
                QueueEntry::Line(line) => text.push_str(&line),
                QueueEntry::Flush(done) => flushes.push(done),
            }
        }
        let dropped_count = dropped.swap(0, Ordering::Relaxed);
        if dropped_count > 0 {
            text.push_str(&format!("event=log-lines-dropped count={dropped_count}\n"));
        }
        // If standard output is closed, there is nowhere to report it.
        let _ = std::io::stdout().write_all(text.as_bytes());
        for done in flushes {
            // The process may have stopped waiting.
            let _ = done.try_send(());
        }
        thread::sleep(WRITE_INTERVAL);
    }
}
