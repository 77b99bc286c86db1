//! Splits a stream of server-sent events into events, and drops those that the caller already has.

mod order;
mod relay;
mod splitter;

pub use order::EventAction;
pub use order::EventOrder;
pub use relay::EventRelay;
pub use relay::RelayError;
pub use splitter::EventSplitter;
pub use splitter::SplitError;
pub use splitter::StreamEvent;
