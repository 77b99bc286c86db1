//! The record of a run: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

/// File to which lines are appended.
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    /// Creates the file, in place of an earlier one.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("should create the record");
        Self { file: Mutex::new(file), started_at: Instant::now() }
    }

    /// Appends a line.
    pub fn line(&self, text: &str) {
        let millis = self.started_at.elapsed().as_millis();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        writeln!(file, "{millis:>7} ms  {text}").expect("should write the record");
    }
}
