//! Forwards the bytes of one direction of a connection.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::sleep;

use crate::proxy::FlowDirection;
use crate::proxy::ProxyRoute;

/// Interval at which a stalled direction checks whether the stall has ended.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(20);
const CHUNK_BYTES: usize = 16 * 1024;

/// Forwards bytes until the source ends or an error occurs; returns whether a limit of the fault
/// plan cut the connection.
pub(super) async fn transfer(
    route: Arc<ProxyRoute>,
    source: IpAddr,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    cuts_apply: bool,
    direction: FlowDirection,
) -> bool {
    let mut forwarded = 0_u64;
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        if cuts_apply && route.plan().cut_after(direction).is_some_and(|limit| forwarded >= limit) {
            return true;
        }
        let length = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        while route.plan().is_stalled(direction) || route.plan().blocked_sources.contains(&source) {
            sleep(STALL_POLL_INTERVAL).await;
        }
        let plan = route.plan();
        sleep(Duration::from_millis(plan.delay_ms)).await;
        let remaining = plan
            .cut_after(direction)
            .filter(|_| cuts_apply)
            .map_or(u64::MAX, |limit| limit.saturating_sub(forwarded));
        let allowed = usize::try_from(remaining).unwrap_or(usize::MAX).min(length);
        if to.write_all(&buffer[..allowed]).await.is_err() {
            break;
        }
        forwarded += allowed as u64;
        if allowed < length {
            return true;
        }
    }
    // Ignored: the peer may have closed the connection already.
    let _ = to.shutdown().await;
    false
}
