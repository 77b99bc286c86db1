//! Tells other daemons which version began each stream.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::clock::mono_now;
use crate::front::state::FrontState;
use crate::logging::quoted;
use ggt_core::versions::StreamOrigin;
use ggt_wire::origins::encode_origins;

/// Delay before origins are told, so that several go into one datagram.
const TELL_DELAY: Duration = Duration::from_millis(25);
/// Maximum number of origins in one datagram.
const MAX_TOLD: usize = 50;

/// Tells other daemons of the streams that have begun at a service with several versions, until the task is
/// dropped.
pub async fn run_origins(state: Rc<FrontState>, socket: Rc<UdpSocket>) {
    loop {
        state.origins_untold.notified().await;
        sleep(TELL_DELAY).await;
        let open = state.open_services();
        let untold = state.origins.borrow_mut().take_untold(|service| open.contains(&service));
        tell(&state, &socket, &untold).await;
    }
}

async fn tell(state: &FrontState, socket: &UdpSocket, origins: &[StreamOrigin]) {
    let now = mono_now();
    let mut by_peer: BTreeMap<SocketAddr, Vec<StreamOrigin>> = BTreeMap::new();
    for origin in origins {
        let fleet = state.fleet.borrow();
        for peer in fleet.holders(origin.key.0, fleet.origin_holders(now), now) {
            by_peer.entry(peer).or_default().push(*origin);
        }
    }
    for (peer, origins) in by_peer {
        for batch in origins.chunks(MAX_TOLD) {
            let sent = match encode_origins(batch) {
                Ok(bytes) => socket.send_to(&bytes, peer).await.map_err(|e| e.to_string()),
                Err(e) => Err(e.to_string()),
            };
            if let Err(e) = sent {
                log::info!("event=origins peer={peer} count={} cause={}", batch.len(), quoted(&e));
            }
        }
    }
}
