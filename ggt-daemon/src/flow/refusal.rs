//! Final answers that the daemon gives in a target's place.

use serde_json::json;

use ggt_core::verdict::RunVerdict;

/// A final answer in a target's place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The HTTP status.
    pub status: u16,
    /// Identifies the cause in logs and metrics.
    pub cause: &'static str,
    /// Tells the caller what is wrong.
    pub detail: String,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Milliseconds after which the caller may come back, where that makes sense.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(status: u16, cause: &'static str, detail: impl Into<String>) -> Self {
        let detail = detail.into();
        Self { status, cause, detail, verdict: RunVerdict::NotRun, retry_after_ms: None }
    }

    /// An answer to a request that may have run.
    pub fn unknown(status: u16, cause: &'static str, detail: impl Into<String>) -> Self {
        Self { verdict: RunVerdict::Unknown, ..Self::not_run(status, cause, detail) }
    }

    /// Tells the caller when to come back.
    pub fn retry_after(self, millis: u64) -> Self {
        Self { retry_after_ms: Some(millis), ..self }
    }

    /// The value of `Retry-After`, in whole seconds.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        const MILLIS_PER_SECOND: u64 = 1_000;
        self.retry_after_ms.map(|millis| millis.div_ceil(MILLIS_PER_SECOND).max(1))
    }

    /// The body.
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
