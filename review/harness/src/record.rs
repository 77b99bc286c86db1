//! The record of a case: what was sent, answered and run, with the time of each.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writes `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    /// Ids of the attempts that servers have run.
    ran: Arc<Mutex<BTreeSet<String>>>,
    started_at: Instant,
}

impl Record {
    /// Begins the record in this folder.
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            ran: Arc::default(),
            started_at: Instant::now(),
        })
    }

    /// Milliseconds since the case began.
    pub fn now_ms(&self) -> u128 {
        self.started_at.elapsed().as_millis()
    }

    /// Adds a line.
    pub fn add(&self, text: &str) {
        // A record that cannot be written shows by its absence.
        let _ = writeln!(lock(&self.file), "{:>6} ms  {text}", self.now_ms());
    }

    /// Notes that a server runs an attempt.
    pub fn note_run(&self, id: &str) {
        lock(&self.ran).insert(id.to_owned());
    }

    /// Whether a server has run an attempt.
    pub fn has_run(&self, id: &str) -> bool {
        lock(&self.ran).contains(id)
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: &str) {
        self.add(text);
        println!("{text}");
    }
}
