//! Processes a validated request: admission, choice of targets, attempts and the response.

mod context;
mod end;
mod exchange;
mod failure;
mod idempotent;
mod job;
mod non_idempotent;
mod refusal;
mod sink;
mod spawner;

pub use context::RequestContext;
pub use end::EndGuard;
pub use end::RequestEnd;
pub(crate) use exchange::is_hop_by_hop;
pub(crate) use exchange::set_header;
pub use job::RequestJob;
pub use refusal::Refusal;
pub use sink::CallerConnection;
pub use sink::CancelRequest;
pub use sink::IncompleteResponse;
pub use sink::ResponseBody;
pub use sink::ResponseHead;
pub use sink::ResponseSink;
pub use sink::response_channel;
pub use spawner::RequestSpawner;
pub use spawner::serve_job;
