//! Dependencies shared by all request tasks.

use std::sync::Arc;

use crate::peers::PeerLinks;
use crate::state::SharedState;

/// Dependencies of a request task.
#[derive(Clone)]
pub struct RequestContext {
    /// State shared with the daemon's threads.
    pub state: Arc<SharedState>,
    /// RPC client for other daemons.
    pub links: Arc<PeerLinks>,
}
