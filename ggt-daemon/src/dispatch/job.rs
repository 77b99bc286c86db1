//! A validated request on its way to a target.

use bytes::Bytes;
use http::HeaderMap;
use http::Method;

use crate::dispatch::RequestEnd;
use ggt_core::claims::ActionKey;
use ggt_core::clock::MonoTime;
use ggt_core::config::CustomerSection;
use ggt_core::config::WorkloadSection;
use ggt_core::crashes::RequestSuspects;
use ggt_core::crashes::SuspectKey;
use ggt_core::ident::CustomerName;
use ggt_core::ident::WorkloadName;
use ggt_wire::hint::ChatHint;

/// A request that passed authentication and validation, with its matched configuration.
#[derive(Debug)]
pub struct RequestJob {
    /// Sequence number, unique within this process.
    pub number: u64,
    /// Id sent to targets and written to logs; unique over all daemons and their restarts.
    pub request_id: String,
    /// Id returned to the caller: the caller's own if it sent one, else `request_id`.
    pub caller_id: String,
    /// Customer that the bearer key belongs to.
    pub customer: CustomerName,
    /// Configuration of the customer.
    pub customer_section: CustomerSection,
    /// Workload of the matching rule.
    pub workload: WorkloadName,
    /// Configuration of the workload.
    pub workload_section: WorkloadSection,
    /// HTTP method, forwarded unchanged.
    pub method: Method,
    /// Path and query, forwarded unchanged.
    pub path: String,
    /// Headers that are forwarded to the target.
    pub head: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
    /// Hash of customer and chat id (or request id) for rendezvous hashing over the targets.
    pub chat_hash: u64,
    /// Whether the caller sent a chat id.
    pub has_chat: bool,
    /// Whether the caller marked the chat as new, meaning that no target has its prefix cached.
    pub is_new_chat: bool,
    /// Verified routing hint of the chat's previous response.
    pub hint: Option<ChatHint>,
    /// Idempotency key; set for non-idempotent requests only.
    pub key: Option<ActionKey>,
    /// Point at which the response must be complete.
    pub deadline: MonoTime,
    /// Whether the end of the request is logged.
    pub end: RequestEnd,
}

impl RequestJob {
    /// What may be to blame if a target crashes while it runs the request: path and body, and the
    /// chat that it continues.
    pub fn suspects(&self) -> RequestSuspects {
        let suspects = RequestSuspects::new(SuspectKey::of_request(&self.path, &self.body));
        if self.has_chat { suspects.with_chat(self.chat_hash) } else { suspects }
    }
}
