//! Log lines of daemons that name a request, by request.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::process::ChildStdout;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use ggt_standin::server::lock;

/// Field that names the request that a line is about.
const REQUEST_FIELD: &str = " request_id=";
/// Beginning of the line that daemons log instead of lines that they dropped.
const DROPPED_EVENT: &str = "event=log-lines-dropped";
/// Part of the line about a changed entry of a server.
const ENTRY_EVENT: &str = "event=target ";
/// Field of that line that says that another daemon sent the entry.
const PEER_SOURCE: &str = " source=peer";

/// The lines that any daemon has logged about each request, and numbers of others.
#[derive(Debug, Default)]
pub struct LogBook {
    lines: Mutex<BTreeMap<String, Vec<String>>>,
    /// Number of lines by their event and its outcome or status.
    counts: Mutex<BTreeMap<(String, String), usize>>,
    /// Lines that say that daemons dropped others.
    dropped: Mutex<usize>,
    peer_entries: Mutex<usize>,
}

impl LogBook {
    /// Reads the standard output of a daemon on a thread until it ends; prints it too if
    /// `GGT_SHOW_LOGS` is set.
    pub fn read_from(self: &Arc<Self>, output: ChildStdout) {
        let (book, is_shown) = (self.clone(), std::env::var_os("GGT_SHOW_LOGS").is_some());
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if is_shown {
                    println!("{line}");
                }
                book.add(line);
            }
        });
    }

    /// The lines about a request, in the order in which each daemon logged them.
    pub fn lines_of(&self, request_id: &str) -> Vec<String> {
        lock(&self.lines).get(request_id).cloned().unwrap_or_default()
    }

    /// Whether daemons dropped lines because they logged faster than was read.
    pub fn has_gaps(&self) -> bool {
        *lock(&self.dropped) > 0
    }

    /// Number of lines of this event with this outcome or status.
    pub fn count(&self, event: &str, outcome: &str) -> usize {
        let key = (event.to_owned(), outcome.to_owned());
        lock(&self.counts).get(&key).copied().unwrap_or_default()
    }

    /// Number of entries of servers that daemons have read from other daemons, not from the store.
    pub fn peer_entries(&self) -> usize {
        *lock(&self.peer_entries)
    }

    fn add(&self, line: String) {
        *lock(&self.dropped) += usize::from(line.contains(DROPPED_EVENT));
        let is_peer_entry = line.contains(ENTRY_EVENT) && line.contains(PEER_SOURCE);
        *lock(&self.peer_entries) += usize::from(is_peer_entry);
        let outcome = field(&line, "outcome=").or_else(|| field(&line, "status="));
        if let (Some(event), Some(outcome)) = (field(&line, "event="), outcome) {
            *lock(&self.counts).entry((event, outcome)).or_default() += 1;
        }
        let Some((_, rest)) = line.split_once(REQUEST_FIELD) else { return };
        let id = rest.split(' ').next().unwrap_or_default().to_owned();
        lock(&self.lines).entry(id).or_default().push(line);
    }
}

/// Value of the field of a line that begins with `name` and the equals sign.
fn field(line: &str, name: &str) -> Option<String> {
    line.split(' ').find_map(|field| field.strip_prefix(name)).map(str::to_owned)
}
