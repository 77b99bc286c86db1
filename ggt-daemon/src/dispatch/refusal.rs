//! Error responses that the daemon generates itself.

use serde_json::json;

use ggt_core::verdict::RunVerdict;

/// An error response of the daemon itself, sent when there is no target's reply to forward.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Name of the cause in the body, logs and metrics.
    pub cause: &'static str,
    /// Explanation for the caller.
    pub detail: String,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Milliseconds until a retry makes sense; `None` where retrying does not help.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// An error for a request that did not run.
    pub fn not_run(status: u16, cause: &'static str, detail: impl Into<String>) -> Self {
        let detail = detail.into();
        Self { status, cause, detail, verdict: RunVerdict::NotRun, retry_after_ms: None }
    }

    /// An error for a request that may have run.
    pub fn unknown(status: u16, cause: &'static str, detail: impl Into<String>) -> Self {
        Self { verdict: RunVerdict::Unknown, ..Self::not_run(status, cause, detail) }
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(self, millis: u64) -> Self {
        Self { retry_after_ms: Some(millis), ..self }
    }

    /// Value of `Retry-After` in whole seconds, rounded up and at least one.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        const MILLIS_PER_SECOND: u64 = 1_000;
        self.retry_after_ms.map(|millis| millis.div_ceil(MILLIS_PER_SECOND).max(1))
    }

    /// JSON body of the error response.
    pub fn to_json(&self, request_id: &str) -> String {
        json!({
            "error": self.cause,
            "detail": self.detail,
            "verdict": self.verdict.as_str(),
            "request_id": request_id,
            "retry_after_ms": self.retry_after_ms,
        })
        .to_string()
    }
}
