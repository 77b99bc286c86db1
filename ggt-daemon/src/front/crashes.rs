//! Requests that were in flight when targets crashed, and what they share: records, logs and refusals.

use http::StatusCode;

use crate::clock::mono_now;
use crate::front::job::FrontJob;
use crate::front::response::FrontRefusal;
use crate::front::state::FrontState;
use crate::logging::quoted;
use ggt_core::clock::MonoTime;
use ggt_core::crashes::CrashId;
use ggt_core::crashes::CrashJudgement;
use ggt_core::crashes::CrashOptions;
use ggt_core::crashes::CrashOutcome;
use ggt_core::crashes::CrashRecord;
use ggt_core::crashes::CrashRefusal;
use ggt_core::crashes::CrashReport;
use ggt_core::crashes::CrashSource;
use ggt_core::crashes::CrashSummary;
use ggt_core::crashes::DroppedSuspect;
use ggt_core::crashes::LostReply;
use ggt_core::crashes::SuspectKey;
use ggt_core::fleet::PeerDigest;
use ggt_core::ident::stable_hash;
use ggt_core::prompts::PromptPart;

/// Limits of the table of suspects of crashes; the settings hold the duration of the first refusal. The
/// users' rule allows three sends after the refusal, so there are at most three trials.
pub const CRASH_OPTIONS: CrashOptions = CrashOptions {
    limit: 3,
    capacity: 4_096,
    first_refusal_ms: u64::MAX,
    refusal_factor: 4,
    max_refusal_ms: u64::MAX,
    max_failed_trials: 3,
    below_limit_ms: 1_200_000,
};
/// Milliseconds for which a crash counts against what reached the limit.
const SUSPICION_MS: u64 = 24 * 3_600_000;
/// Milliseconds between the starts of trials on two daemons that follow each other in rank: enough for
/// the first to be told of as a crash.
const TRIAL_STAGGER_MS: u64 = 5_000;
/// `retry-after` in milliseconds while a trial is another daemon's, or in progress.
const TRIAL_RETRY_MS: u64 = 5_000;
/// Milliseconds between the loss of a reply and the end of its target within which the two count as
/// one crash; longer than the platform takes to list a target that started again.
const LOSS_WINDOW_MS: u64 = 8_000;

/// Maximum number of prompt parts that one log line names.
const MAX_LOGGED_PARTS: usize = 8;

/// The shared parts of a prompt as written in logs, each with the key of its crashes; `-` if there are
/// none.
fn part_names(parts: &[PromptPart]) -> String {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let name = |part: &PromptPart| format!("{:x}/{:016x}", part.hash, SuspectKey::of_part(*part).0);
    let names: Vec<_> = shared.iter().take(MAX_LOGGED_PARTS).map(name).collect();
    if names.is_empty() { "-".to_owned() } else { names.join(",") }
}

fn lost_reply(job: &FrontJob) -> LostReply {
    LostReply { request_id: job.id.clone(), suspects: job.suspects.clone() }
}

impl FrontState {
    /// Records that a request was sent and its reply lost, which counts as a crash if the target
    /// turns out to have ended. Returns whether it is already known to have; `cause` is logged.
    pub fn record_loss(&self, job: &FrontJob, crash: CrashId, cause: &str) -> bool {
        let reply = lost_reply(job);
        let expires_at = mono_now() + LOSS_WINDOW_MS;
        let has_ended = self.losses.borrow_mut().record_loss(reply.clone(), crash, expires_at);
        self.log_loss(job, &reply, crash, has_ended, cause);
        has_ended
    }

    /// Records a reply that ended with its connection and without a length, like a lost one; it counts
    /// as complete once the target replies to a later request.
    pub fn record_unframed_end(&self, job: &FrontJob, crash: CrashId) -> bool {
        let (reply, now) = (lost_reply(job), mono_now());
        let expires_at = now + LOSS_WINDOW_MS;
        let mut losses = self.losses.borrow_mut();
        let has_ended = losses.record_unframed_end(reply.clone(), crash, now, expires_at);
        drop(losses);
        self.log_loss(job, &reply, crash, has_ended, "reply without length ended");
        has_ended
    }

    /// Logs a reply that was or may be lost, and counts it as a crash if its target has ended.
    fn log_loss(
        &self,
        job: &FrontJob,
        reply: &LostReply,
        crash: CrashId,
        has_ended: bool,
        cause: &str,
    ) {
        log::info!(
            "event=loss request_id={} print={:016x} parts={} death={:016x} has_ended={has_ended} \
             cause={}",
            quoted(&job.id),
            job.suspects.request().0,
            part_names(&job.headers.parts),
            crash.0,
            quoted(cause),
        );
        if has_ended {
            self.record_crash(reply, crash, cause);
        }
    }

    /// Records that a target has replied to a request sent at `sent_at`, so that it has not ended.
    pub fn record_target_reply(&self, crash: CrashId, sent_at: MonoTime) {
        let complete = self.losses.borrow_mut().record_reply(crash, sent_at);
        for LostReply { request_id, suspects } in &complete {
            self.clear_suspects(request_id, suspects.keys());
        }
    }

    /// Records that a target has ended: each reply lost at it counts as a crash. `cause` is logged.
    pub fn record_target_end(&self, crash: CrashId, cause: &str) {
        let now = mono_now();
        self.record_lifetime_end(crash, cause);
        let replies = self.losses.borrow_mut().record_end(crash, now, now + LOSS_WINDOW_MS);
        for reply in &replies {
            self.record_crash(reply, crash, cause);
        }
    }

    /// Counts a crash against all suspects of a request whose reply was lost by it.
    fn record_crash(&self, reply: &LostReply, crash: CrashId, cause: &str) {
        if self.has_fallen(crash) {
            log::info!(
                "event=crash-unclear request_id={} death={:016x} cause=fell-over",
                quoted(&reply.request_id),
                crash.0,
            );
            return;
        }
        for suspect in reply.suspects.keys() {
            let report = CrashReport { suspect: *suspect, crash, noticed_at: mono_now() };
            let outcome = self.store_crash(report, CrashSource::Own);
            let is_new = outcome.is_new();
            self.metrics.record_crashes("seen", u64::from(is_new));
            if is_new {
                // The caller may repeat the request at another daemon at any moment.
                self.digest_requested.notify_one();
            }
            log::warn!(
                "event=crash request_id={} print={:016x} death={:016x} is_news={is_new} outcome={} \
                 crashes={} cause={}",
                quoted(&reply.request_id),
                suspect.0,
                crash.0,
                outcome.as_str(),
                self.crash_count(*suspect),
                quoted(cause),
            );
        }
    }

    /// Applies a digest's crashes, and its suspected requests that completed on the other daemon.
    pub fn apply_peer_crashes(&self, digest: &PeerDigest) {
        let now = mono_now();
        for suspect in &digest.exonerated {
            let count = self.crashes.borrow_mut().record_peer_completion(*suspect, now);
            if count > 0 {
                self.metrics.record_crashes("cleared", count as u64);
                log::info!(
                    "event=crash-cleared print={:016x} crashes={count} peer={}",
                    suspect.0,
                    digest.address,
                );
            }
        }
        for report in digest.crash_reports(now) {
            if !self.store_crash(report, CrashSource::Peer).is_new() {
                continue;
            }
            self.metrics.record_crashes("told", 1);
            log::info!(
                "event=crash-told print={:016x} death={:016x} age_ms={} crashes={} peer={}",
                report.suspect.0,
                report.crash.0,
                now.millis_since(report.noticed_at),
                self.crash_count(report.suspect),
                digest.address,
            );
        }
    }

    /// Records a target's complete reply with this status, which clears the suspects that it proves
    /// harmless: all of them if the target has answered the prompt, otherwise the request itself.
    pub fn record_completion(&self, job: &FrontJob, status: StatusCode) {
        let suspects = job.suspects.keys();
        let cleared = if status.is_success() { suspects } else { &suspects[..1] };
        self.losses.borrow_mut().clear(job.suspects.request());
        self.clear_suspects(&job.id, cleared);
    }

    fn clear_suspects(&self, request_id: &str, suspects: &[SuspectKey]) {
        for suspect in suspects {
            let count = self.crashes.borrow_mut().record_completion(*suspect, mono_now());
            if count > 0 {
                self.metrics.record_crashes("cleared", count as u64);
                log::info!(
                    "event=crash-cleared request_id={} print={:016x} crashes={count}",
                    quoted(request_id),
                    suspect.0,
                );
            }
        }
    }

    /// The refusal of a request that is to blame for too many crashes; `None` if it may be sent.
    pub fn refuse_crashing(&self, job: &FrontJob) -> Option<FrontRefusal> {
        let now = mono_now();
        let judgement = self.crashes.borrow().judge(job.suspects.keys(), now);
        let refusal = match judgement {
            CrashJudgement::Clear => return None,
            CrashJudgement::Explained { suspect, by } => {
                log::info!(
                    "event=crash-explained request_id={} print={:016x} by={:016x}",
                    quoted(&job.id),
                    suspect.0,
                    by.0,
                );
                return None;
            }
            CrashJudgement::Trial(refusal) if self.begin_trial(job, &refusal, now) => return None,
            CrashJudgement::Trial(refusal) => {
                CrashRefusal { until: now + TRIAL_RETRY_MS, ..refusal }
            }
            CrashJudgement::Refused(refusal) => refusal,
        };
        let CrashRefusal { suspect, summary: CrashSummary { count, first_at, last_at, .. }, until } =
            refusal;
        let left_ms = until.millis_since(now);
        log::info!(
            "event=refuse-crashing request_id={} print={:016x} is_shared={} crashes={count} \
             first_age_ms={} last_age_ms={} left_ms={left_ms}",
            quoted(&job.id),
            suspect.0,
            suspect != job.suspects.request(),
            now.millis_since(first_at),
            now.millis_since(last_at),
        );
        Some(FrontRefusal::not_run("crashes-targets", left_ms))
    }

    /// Whether a request is to blame for too many crashes.
    pub fn is_suspected(&self, job: &FrontJob) -> bool {
        let judgement = self.crashes.borrow().judge(job.suspects.keys(), mono_now());
        !matches!(judgement, CrashJudgement::Clear | CrashJudgement::Explained { .. })
    }

    /// Begins a trial of a request whose refusal has ended, if none is in progress. Daemons take turns,
    /// so that one of them sends first and the others are told if that crashes another target.
    fn begin_trial(&self, job: &FrontJob, refusal: &CrashRefusal, now: MonoTime) -> bool {
        let rank = self.fleet.borrow().rank(refusal.suspect.0, now) as u64;
        if now < refusal.until + rank * TRIAL_STAGGER_MS {
            return false;
        }
        let call_hash = stable_hash(job.id.as_bytes());
        let mut table = self.crashes.borrow_mut();
        let is_begun = table.begin_trial(refusal.suspect, call_hash, now, job.deadline);
        if is_begun {
            log::info!(
                "event=crash-trial request_id={} print={:016x} crashes={} rank={rank}",
                quoted(&job.id),
                refusal.suspect.0,
                refusal.summary.count,
            );
        }
        is_begun
    }

    /// Whether one more crash may lead to the refusal of the request.
    pub fn is_next_crash_decisive(&self, job: &FrontJob) -> bool {
        let counts = job.suspects.keys().iter().map(|suspect| self.crash_count(*suspect));
        counts.max().unwrap_or_default() + 1 >= CRASH_OPTIONS.limit as usize
    }

    /// Drops expired records.
    pub fn expire_crashes(&self, now: MonoTime) {
        self.losses.borrow_mut().expire(now);
        let expired = self.crashes.borrow_mut().expire(now);
        for (suspect, count) in &expired {
            log::info!("event=crash-expired print={:016x} crashes={count}", suspect.0);
        }
        self.metrics.record_crashes("expired", expired.len() as u64);
    }

    /// Stores a crash that has not expired.
    fn store_crash(&self, report: CrashReport, source: CrashSource) -> CrashOutcome {
        let CrashReport { suspect, crash, noticed_at } = report;
        let expires_at = noticed_at + SUSPICION_MS;
        let record = CrashRecord { suspect, crash, noticed_at, expires_at, source };
        if mono_now() >= expires_at {
            return CrashOutcome::Known;
        }
        let outcome = self.crashes.borrow_mut().record_crash(record);
        if let CrashOutcome::New { dropped: Some(dropped) } = outcome {
            let DroppedSuspect { suspect, crashes } = dropped;
            self.metrics.record_crashes("dropped", crashes as u64);
            log::info!("event=crash-dropped print={:016x} crashes={crashes}", suspect.0);
        }
        outcome
    }

    fn crash_count(&self, suspect: SuspectKey) -> usize {
        self.crashes.borrow().summary(suspect).map_or(0, |summary| summary.count)
    }
}
