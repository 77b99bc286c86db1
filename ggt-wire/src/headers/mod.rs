//! HTTP headers between callers, daemons and targets.

use ggt_core::routing::LoadReport;

/// Identifies a request; a target echoes it.
pub const REQUEST_ID: &str = "x-request-id";
/// Identifies the chat that a request belongs to.
pub const CHAT_ID: &str = "x-chat-id";
/// Hint that names the target with the chat's cached prefix, see [`crate::hint`].
pub const CHAT_HINT: &str = "x-chat-hint";
/// Value of [`CHAT_HINT`] in the first request of a chat, of which no target has a cached prefix.
pub const NEW_CHAT_HINT: &str = "new";
/// Whether the request has run on a target: `ran`, `not-run` or `unknown`.
pub const RUN_VERDICT: &str = "x-run-verdict";
/// Idempotency key of a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Time that the caller allows for the request, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Priority for engines that support priorities.
pub const PRIORITY: &str = "x-priority";
/// Fencing number of a non-idempotent request, for targets that check it.
pub const FENCING_NUMBER: &str = "x-fencing-number";
/// Incarnation of the target.
pub const INCARNATION: &str = "x-incarnation";
/// Load of the target, as `started=N finished=N`.
pub const LOAD: &str = "x-load";
/// Number of prompt tokens that the engine found in its prefix cache.
pub const CACHED_TOKENS: &str = "x-cached-tokens";
/// Present if the target is leaving.
pub const LEAVING: &str = "x-leaving";
/// Name of the target that served the request, for operators.
pub const SERVED_BY: &str = "x-served-by";

/// Formats a load report as the value of [`LOAD`].
pub fn format_load(report: &LoadReport) -> String {
    format!("started={} finished={}", report.started_total, report.finished_total)
}

/// Parses the value of [`LOAD`]; `None` unless both counters are present and consistent.
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
