//! Processes a validated request: admission, choice of targets, attempts and the reply.

mod action;
mod context;
mod exchange;
mod job;
mod refusal;
mod repeatable;
mod sink;
mod worker;

pub use context::WorkContext;
pub(crate) use exchange::is_hop_by_hop;
pub(crate) use exchange::put;
pub use job::RequestJob;
pub use refusal::Refusal;
pub use sink::BrokenReply;
pub use sink::CallerLink;
pub use sink::CancelTicket;
pub use sink::ReplyBody;
pub use sink::ReplyHead;
pub use sink::ReplySink;
pub use sink::reply_channel;
pub use worker::WorkerPool;
pub use worker::run_job;
