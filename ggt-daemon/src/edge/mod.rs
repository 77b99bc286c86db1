//! The callers' edge: HTTP/1.1 with streamed replies.
//!
//! `astra` cannot stream a body as its bytes come, so this edge stands on `hyper`, which `astra`
//! wraps; `docs/design/edge.md` has the trial.

mod handle;
mod intake;
mod listen;

pub use handle::EdgeHandle;
pub use handle::OpenGuard;
pub use handle::accept_callers;
pub use intake::IntakeError;
pub use listen::EdgeContext;
pub use listen::serve_callers;
