//! Tells other daemons which version began each stream.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::clock::mono_now;
use crate::front::state::FrontState;
use ggt_core::fleet::OPEN_ORIGIN_HOLDERS;
use ggt_core::fleet::ORIGIN_HOLDERS;
use ggt_core::versions::OPEN_TELL_DELAY_MS;
use ggt_core::versions::StreamOrigin;
use ggt_core::versions::TELL_DELAY_MS;
use ggt_wire::origins::encode_origins;

/// Maximum number of origins in one datagram.
const MAX_TOLD: usize = 50;

/// Tells other daemons of the streams that have begun, until the task is dropped.
pub async fn run_origins(state: Rc<FrontState>) {
    loop {
        state.origins_untold.notified().await;
        let delay_ms = match state.has_open_service() {
            true => OPEN_TELL_DELAY_MS,
            false => TELL_DELAY_MS,
        };
        sleep(Duration::from_millis(delay_ms)).await;
        if state.fleet.borrow().alive(mono_now()).next().is_some() {
            let untold = state.origins.borrow_mut().take_untold();
            tell(&state, &untold).await;
        }
    }
}

async fn tell(state: &FrontState, origins: &[StreamOrigin]) {
    let now = mono_now();
    let count = match state.has_open_service() {
        true => OPEN_ORIGIN_HOLDERS,
        false => ORIGIN_HOLDERS,
    };
    let mut by_peer: BTreeMap<SocketAddr, Vec<StreamOrigin>> = BTreeMap::new();
    for origin in origins {
        for peer in state.fleet.borrow().origin_holders(origin.key, count, now) {
            by_peer.entry(peer).or_default().push(*origin);
        }
    }
    for (peer, origins) in by_peer {
        for batch in origins.chunks(MAX_TOLD) {
            if state.send_encoded(encode_origins(batch), peer, "origins").await {
                state.metrics.record_origins("told", batch.len() as u64);
            }
        }
    }
}
