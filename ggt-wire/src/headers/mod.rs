//! HTTP headers between callers, daemons and targets.

use ggt_core::routing::LoadReport;

/// Identifies a request; a target echoes it.
pub const REQUEST_ID: &str = "x-request-id";
/// Identifies the chat that a request belongs to.
pub const CHAT_ID: &str = "x-chat-id";
/// Tells which target holds the chat's prefix cache.
pub const CHAT_HINT: &str = "x-chat-hint";
/// The hint of a chat that begins: no target holds anything of it.
pub const NEW_CHAT_HINT: &str = "new";
/// Says whether the request may have run: `ran`, `not-run` or `unknown`.
pub const RUN_VERDICT: &str = "x-run-verdict";
/// Identifies a one-time action.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The milliseconds that a caller gives its request.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// The priority that an engine honours.
pub const PRIORITY: &str = "x-priority";
/// The fencing number of a one-time action, for targets that check it.
pub const FENCING_NUMBER: &str = "x-fencing-number";
/// The target's incarnation.
pub const INCARNATION: &str = "x-incarnation";
/// The target's load, as `started=N finished=N`.
pub const LOAD: &str = "x-load";
/// Tokens of the prompt that the engine found in its prefix cache.
pub const CACHED_TOKENS: &str = "x-cached-tokens";
/// Says that a target is leaving.
pub const LEAVING: &str = "x-leaving";
/// Which target answered, for operators.
pub const SERVED_BY: &str = "x-served-by";

/// Writes a load report as a header value.
pub fn format_load(report: &LoadReport) -> String {
    format!("started={} finished={}", report.started_total, report.finished_total)
}

/// Reads a load report from a header value.
pub fn parse_load(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    let mut seen = 0;
    for pair in text.split_ascii_whitespace() {
        match pair.split_once('=')? {
            ("started", number) => report.started_total = number.parse().ok()?,
            ("finished", number) => report.finished_total = number.parse().ok()?,
            _ => continue,
        }
        seen += 1;
    }
    (seen == 2 && report.started_total >= report.finished_total).then_some(report)
}
