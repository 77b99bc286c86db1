//! One request of a caller, from its head to its end.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;

use crate::clock::mono_now;
use crate::front::state::FrontState;
use crate::logging::quoted;
use ggt_core::blame::RequestPrint;
use ggt_core::clock::MonoTime;
use ggt_core::prompts::PromptChain;
use ggt_core::routes::RouteEntry;
use ggt_core::targets::SentNote;
use ggt_core::targets::TargetKey;
use ggt_platform::RequestFacts;

/// One request whose form has been checked.
pub struct FrontJob {
    /// What the caller says of it.
    pub facts: RequestFacts,
    /// Names it in logs and towards targets.
    pub id: String,
    /// The route that takes it.
    pub route: RouteEntry,
    /// The version of the configuration that the route stands in.
    pub version: u64,
    /// The service that takes it.
    pub service: String,
    /// The customer's name.
    pub customer: Option<String>,
    /// Rank, 0 is the highest.
    pub priority: u32,
    /// Its prompt, when targets of the route cache prompts.
    pub chain: Option<PromptChain>,
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The caller's headers.
    pub head: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When it was read.
    pub received_at: MonoTime,
    /// When the caller or the route's timeout gives it up.
    pub deadline: MonoTime,
}

impl FrontJob {
    /// Identifies requests with the same caller, path and body.
    pub fn print(&self) -> RequestPrint {
        let caller = self.customer.as_deref().unwrap_or_default();
        RequestPrint::of(&format!("{caller} {}", self.path), &self.body)
    }

    /// Milliseconds until the deadline.
    pub fn wait_ms(&self) -> u64 {
        self.deadline.millis_since(mono_now())
    }
}

/// Counts a request as in flight, and logs that its caller left when nothing else ended it.
pub struct JobGuard {
    state: Rc<FrontState>,
    id: String,
    began_at: MonoTime,
    is_ended: Cell<bool>,
}

impl JobGuard {
    /// Counts a request as in flight.
    pub fn new(state: Rc<FrontState>, id: &str, began_at: MonoTime) -> Self {
        state.in_flight.set(state.in_flight.get() + 1);
        Self { state, id: id.to_owned(), began_at, is_ended: Cell::new(false) }
    }

    /// Logs how the request ended.
    pub fn end(&self, outcome: &'static str, status: u16, cause: &str) {
        if self.is_ended.replace(true) {
            return;
        }
        let millis = mono_now().millis_since(self.began_at);
        self.state.metrics.note_end(outcome, millis);
        if outcome == "refused" {
            self.state.metrics.note_refusal(cause);
        }
        log::info!(
            "event=end request_id={} outcome={outcome} status={status} cause={} after_ms={millis}",
            quoted(&self.id),
            quoted(cause),
        );
    }
}

impl Drop for JobGuard {
    fn drop(&mut self) {
        self.end("caller-left", 0, "connection-closed");
        self.state.in_flight.set(self.state.in_flight.get().saturating_sub(1));
    }
}

/// Counts one send as in flight at its target until it is dropped.
pub struct SendGuard {
    state: Rc<FrontState>,
    key: TargetKey,
    backlog_tokens: Cell<u32>,
    note: SentNote,
    has_run: Cell<bool>,
}

impl SendGuard {
    /// Counts a send.
    pub fn new(
        state: Rc<FrontState>,
        key: TargetKey,
        chain: &PromptChain,
        is_copied: bool,
    ) -> Self {
        let note = state.pool.borrow_mut().note_sent(key, chain, is_copied, mono_now());
        let backlog_tokens = Cell::new(note.backlog_tokens);
        Self { state, key, backlog_tokens, note, has_run: Cell::new(false) }
    }

    /// Records that the target began to answer.
    pub fn note_run(&self) {
        self.has_run.set(true);
    }

    /// Records that the target did not run the request, and so has not read its prompt.
    pub fn take_back(&self) {
        self.state.pool.borrow_mut().take_back(self.key, &self.note);
    }

    /// Records that the target has read the prompt.
    pub fn note_read(&self) {
        let tokens = self.backlog_tokens.take();
        if tokens > 0 {
            self.state.pool.borrow_mut().note_read(self.key, tokens);
        }
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        self.note_read();
        let mut pool = self.state.pool.borrow_mut();
        pool.note_ended(self.key);
        if self.has_run.get() {
            let held_ms = mono_now().millis_since(self.note.sent_at);
            pool.note_held(self.key, self.note.load, held_ms);
        }
    }
}
