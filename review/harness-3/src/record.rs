//! `record.txt`: what was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// The record of a case.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Begins a record in this file.
    pub fn begin(path: &Path) -> std::io::Result<Self> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Self { started_at: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Adds a line.
    pub fn add(&self, line: &str) {
        let millis = self.started_at.elapsed().as_millis();
        let mut file = self.file.lock().expect("record");
        let written = writeln!(file, "{:8.3} s  {line}", millis as f64 / 1_000.0);
        if let Err(e) = written.and_then(|()| file.flush()) {
            eprintln!("record: {e}");
        }
    }

    /// Adds a line, and prints it.
    pub fn say(&self, line: &str) {
        println!("{line}");
        self.add(line);
    }
}
