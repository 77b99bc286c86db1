//! What serving tasks share.

use std::sync::Arc;

use crate::peers::PeerLinks;
use crate::state::SharedState;

/// What a serving task works with.
#[derive(Clone)]
pub struct WorkContext {
    /// The daemon's state.
    pub state: Arc<SharedState>,
    /// Links to other daemons.
    pub links: Arc<PeerLinks>,
}
