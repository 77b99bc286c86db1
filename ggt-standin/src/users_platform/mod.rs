//! Stand-ins for the users' platform: its key-value store, servers that take requests, and
//! links to them that can be cut.
//!
//! They run on threads of the test process, so that a test can script each response byte for byte
//! and inspect every request that was received.

mod caller;
mod endless;
mod fragile;
mod link;
mod part_cache;
mod request;
mod server;
mod silence;
mod store;

pub use caller::API_KEY;
pub use caller::HOST;
pub use caller::caller_headers;
pub use caller::prompt_headers;
pub use caller::prompt_headers_of;
pub use caller::test_config;
pub use endless::EndlessKind;
pub use endless::send_events;
pub use endless::send_without_end;
pub use fragile::FragileQueue;
pub use fragile::QueueLimits;
pub use link::LinkCounts;
pub use link::LinkKind;
pub use link::LinkStandin;
pub use part_cache::PartCache;
pub use request::WireRequest;
pub use request::read_request;
pub use server::AfterResponse;
pub use server::ServerStandin;
pub use server::event_chunk;
pub use server::limit_line;
pub use server::respond;
pub use server::respond_with;
pub use server::respond_with_event;
pub use server::stream_head;
pub use server::stream_head_with;
pub use silence::SilenceGate;
pub use silence::SilenceKind;
pub use store::StoreCopy;
pub use store::StoreStandin;
