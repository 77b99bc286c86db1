//! Forwards the bytes of one direction of a connection.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::sleep;

use crate::proxy::FlowWay;
use crate::proxy::ProxyRoute;

/// Interval at which a stalled direction checks whether the stall has ended.
const STALL_STEP: Duration = Duration::from_millis(20);
const CHUNK_BYTES: usize = 16 * 1024;

/// Forwards bytes until the source ends or an error occurs; returns whether a limit of the fault
/// plan cut the connection.
pub(super) async fn pump(
    route: Arc<ProxyRoute>,
    source: IpAddr,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    is_cut: bool,
    way: FlowWay,
) -> bool {
    let mut moved = 0_u64;
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        if is_cut && route.plan().cut_after(way).is_some_and(|limit| moved >= limit) {
            return true;
        }
        let length = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        while route.plan().stalls(way) || route.plan().blocked.contains(&source) {
            sleep(STALL_STEP).await;
        }
        let plan = route.plan();
        sleep(Duration::from_millis(plan.delay_ms)).await;
        let left = plan
            .cut_after(way)
            .filter(|_| is_cut)
            .map_or(u64::MAX, |limit| limit.saturating_sub(moved));
        let passed = usize::try_from(left).unwrap_or(usize::MAX).min(length);
        if to.write_all(&buffer[..passed]).await.is_err() {
            break;
        }
        moved += passed as u64;
        if passed < length {
            return true;
        }
    }
    // Ignored: the peer may have closed the connection already.
    let _ = to.shutdown().await;
    false
}
