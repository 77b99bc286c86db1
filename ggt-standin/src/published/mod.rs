//! Stand-ins for the users' platform: its store, and servers that take requests.
//!
//! They run on threads of the test that starts them, so that a test can script each answer down to its
//! bytes and look at everything that was received.

mod caller;
mod request;
mod server;
mod store;

pub use caller::HOST;
pub use caller::KEY;
pub use caller::caller_head;
pub use caller::config;
pub use caller::prompt_head;
pub use request::WireRequest;
pub use request::read_request;
pub use server::AfterAnswer;
pub use server::ServerStandin;
pub use server::answer;
pub use server::event;
pub use server::stream_head;
pub use store::StoreStandin;
