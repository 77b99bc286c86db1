//! Records which requests servers ran and which responses callers got, and checks that they agree.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use ggt_standin::server::lock;

use crate::log_book::LogBook;
use crate::soak::SoakOutcome;
use crate::soak::cuts::CutCounts;
use crate::soak::disruption::DisruptionState;

/// Time after the last request within which the daemons' lines about its end must arrive.
const END_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two looks at the daemons' lines.
const END_INTERVAL: Duration = Duration::from_millis(200);

/// Executions and not-executed responses by attempt id, and the outcome of the soak.
#[derive(Default)]
pub(super) struct InvariantChecker {
    runs: Mutex<BTreeMap<String, usize>>,
    not_executed: Mutex<BTreeMap<String, u16>>,
    sent: Mutex<Vec<SentRequest>>,
    cut_streams: Mutex<Vec<CutStream>>,
    outcome: Mutex<SoakOutcome>,
}

/// A request that a caller sent.
struct SentRequest {
    id: String,
    daemon: usize,
    /// Kill count of the daemon when the request's connection was opened.
    kill_count: usize,
    has_response: bool,
}

/// A stream that ended early before its deadline at an undisrupted daemon.
struct CutStream {
    id: String,
    after: Duration,
    /// Servers that were disrupted meanwhile.
    disrupted_servers: Vec<usize>,
}

impl InvariantChecker {
    /// Records that a server began to run a request; `once` if the request must not run twice.
    pub(super) fn record_run(&self, id: &str, once: bool) {
        let count = {
            let mut runs = lock(&self.runs);
            let count = runs.entry(id.to_owned()).or_default();
            *count += 1;
            *count
        };
        if once && count > 1 {
            self.record_violation(format!("{id} ran {count} times"));
        }
        if once && let Some(status) = lock(&self.not_executed).get(id) {
            self.record_violation(format!("{id} ran after it was answered with status {status}"));
        }
    }

    /// Records a response that guarantees that the request has not run and will not run.
    pub(super) fn record_not_executed(&self, id: &str, status: u16) {
        lock(&self.not_executed).insert(id.to_owned(), status);
        if lock(&self.runs).contains_key(id) {
            self.record_violation(format!(
                "{id} was answered with status {status} although it had run"
            ));
        }
    }

    pub(super) fn record_request(&self) {
        lock(&self.outcome).requests += 1;
    }

    pub(super) fn record_answered(&self) {
        lock(&self.outcome).answered += 1;
    }

    pub(super) fn record_crash(&self) {
        lock(&self.outcome).crashes += 1;
    }

    pub(super) fn record_late_call(&self) {
        lock(&self.outcome).late_calls += 1;
    }

    pub(super) fn record_change_check(&self) {
        lock(&self.outcome).change_checks += 1;
    }

    pub(super) fn record_limited_request(&self) {
        lock(&self.outcome).limited_requests += 1;
    }

    /// Records a request with whether the caller got at least the head of a response.
    pub(super) fn record_sent(
        &self,
        id: &str,
        daemon: usize,
        kill_count: usize,
        has_response: bool,
    ) {
        let id = id.to_owned();
        lock(&self.sent).push(SentRequest { id, daemon, kill_count, has_response });
    }

    /// Records a stream that ended early.
    pub(super) fn record_cut_stream(
        &self,
        id: &str,
        after: Duration,
        disrupted_servers: Vec<usize>,
    ) {
        lock(&self.cut_streams).push(CutStream { id: id.to_owned(), after, disrupted_servers });
    }

    /// Checks that the daemons have logged exactly one end of each request that they had read, unless
    /// they were killed.
    pub(super) fn check_ends(&self, daemons: &[Arc<DisruptionState>], book: &LogBook) {
        if book.has_gaps() {
            return self.record_violation("a daemon dropped log lines".to_owned());
        }
        let until = Instant::now() + END_TIMEOUT;
        let mut miscounted = self.miscounted_ends(daemons, book);
        while !miscounted.is_empty() && Instant::now() < until {
            thread::sleep(END_INTERVAL);
            miscounted = self.miscounted_ends(daemons, book);
        }
        lock(&self.outcome).miscounted_ends = miscounted.len();
        miscounted.into_iter().for_each(|what| self.record_violation(what));
    }

    fn miscounted_ends(&self, daemons: &[Arc<DisruptionState>], book: &LogBook) -> Vec<String> {
        let (sent, runs) = (lock(&self.sent), lock(&self.runs));
        let checked = sent.iter().filter_map(|request| {
            let SentRequest { id, daemon, kill_count, has_response } = request;
            let lines = book.lines_of(id);
            let was_read = *has_response || !lines.is_empty() || runs.contains_key(id);
            let ends = lines.iter().filter(|line| line.contains("event=end ")).count();
            let is_right = match daemons[*daemon].was_killed(*kill_count) {
                true => ends <= 1,
                false => ends == usize::from(was_read),
            };
            (!is_right).then(|| format!("{id} has {ends} ends in the logs: {lines:#?}"))
        });
        checked.collect()
    }

    /// Checks that streams that ended early had been sent to a server that was disrupted.
    pub(super) fn check_cut_streams(&self, book: &LogBook) {
        for CutStream { id, after, disrupted_servers } in lock(&self.cut_streams).iter() {
            let lines = book.lines_of(id);
            let is_excused = |line: &String| {
                server_of(line).is_some_and(|server| disrupted_servers.contains(&server))
            };
            if !lines.iter().any(is_excused) {
                self.record_violation(format!(
                    "{id} was cut after {} ms, and no server that it was sent to was disrupted: \
                     {lines:#?}",
                    after.as_millis()
                ));
            }
        }
    }

    /// Records how many entries with the links of others daemons have read.
    pub(super) fn record_foreign_links(&self, book: &LogBook) {
        lock(&self.outcome).foreign_links = book.peer_entries();
    }

    /// Records whether a new stream began.
    pub(super) fn record_new_stream(&self, has_begun: bool) {
        let (begun, all) = &mut lock(&self.outcome).new_streams;
        (*begun, *all) = (*begun + usize::from(has_begun), *all + 1);
    }

    /// Records whether a stream that was taken up went on.
    pub(super) fn record_taken_up(&self, went_on: bool) {
        let (gone_on, all) = &mut lock(&self.outcome).taken_up_streams;
        (*gone_on, *all) = (*gone_on + usize::from(went_on), *all + 1);
    }

    pub(super) fn record_cut_counts(&self, counts: CutCounts) {
        let total = &mut lock(&self.outcome).cut_counts;
        total.cut.merge(counts.cut);
        total.others.merge(counts.others);
    }

    pub(super) fn record_silences(&self, count: usize) {
        lock(&self.outcome).silences += count;
    }

    pub(super) fn record_fault(&self, fault: String) {
        lock(&self.outcome).faults.push(fault);
    }

    pub(super) fn record_violation(&self, what: String) {
        lock(&self.outcome).violations.push(what);
    }

    pub(super) fn outcome(&self) -> SoakOutcome {
        lock(&self.outcome).clone()
    }
}

/// Number of the server that a daemon's log line names: the first number in its id.
fn server_of(line: &str) -> Option<usize> {
    let (_, id) = line.split_once(" target=i-")?;
    let digits: String = id.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
