//! HTTP/1.1 server for callers, with streamed responses.
//!
//! Uses `hyper` instead of its wrapper `astra`, which cannot stream a body as its bytes arrive; see
//! `docs/design/edge.md`.

mod activity;
mod handle;
mod listen;
mod prepare;

pub use activity::BusyGuard;
pub use activity::ConnectionActivity;
pub use handle::ConnectionGuard;
pub use handle::EdgeHandle;
pub use handle::accept_connections;
pub use handle::accept_with_room;
pub use listen::EdgeContext;
pub use listen::serve_callers;
pub use prepare::RequestError;
