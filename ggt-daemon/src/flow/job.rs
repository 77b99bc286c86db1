//! One admitted request.

use bytes::Bytes;
use http::HeaderMap;
use http::Method;

use ggt_core::blame::RequestPrint;
use ggt_core::claims::ActionKey;
use ggt_core::clock::MonoTime;
use ggt_core::config::CustomerSection;
use ggt_core::config::WorkloadSection;
use ggt_core::ident::CustomerName;
use ggt_core::ident::WorkloadName;
use ggt_wire::hint::ChatHint;

/// One request whose form has been checked.
#[derive(Debug)]
pub struct RequestJob {
    /// Counts the daemon's requests.
    pub number: u64,
    /// Identifies the request towards targets and in logs; no other request of any daemon has it.
    pub request_id: String,
    /// Identifies the request towards its caller, who may have chosen it.
    pub shown_id: String,
    /// The customer.
    pub customer: CustomerName,
    /// The customer's settings.
    pub customer_section: CustomerSection,
    /// The workload.
    pub workload: WorkloadName,
    /// The workload's settings.
    pub workload_section: WorkloadSection,
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The headers that go on to the target.
    pub head: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Places the request among the targets.
    pub chat_hash: u64,
    /// Whether the request belongs to a chat.
    pub has_chat: bool,
    /// Whether the caller says that the chat begins with this request.
    pub is_new_chat: bool,
    /// The hint that the caller brought.
    pub hint: Option<ChatHint>,
    /// The key of a one-time action.
    pub key: Option<ActionKey>,
    /// When the answer must be there.
    pub deadline: MonoTime,
}

impl RequestJob {
    /// The request's fingerprint.
    pub fn print(&self) -> RequestPrint {
        RequestPrint::of(&self.path, &self.body)
    }
}
