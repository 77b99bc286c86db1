//! Whether the target of a reply without a length has ended with it: then the end of its connection is no end of the
//! reply.
//!
//! The kernel closes the sockets of a process that has ended one after the other. So its listener may accept a
//! connection for some moments after the others have been closed.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use crate::front::attempt::FailureKind;
use crate::front::attempt::ReplyFailure;
use crate::front::attempt::SentTarget;
use crate::front::attempt::UpstreamAttempts;
use crate::front::attempt::crash_check::check_target;
use crate::front::call::get;
use crate::front::state::CONNECT_TIMEOUT;
use crate::upstream::TargetConnection;

/// Time in which all sockets of a process that has ended are closed.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// Time for the reply to a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);
/// Path of the health check of a service whose configuration names none; any reply will do.
const DEFAULT_HEALTH_PATH: &str = "/";

/// Shows that the end of a reply is its completion. Only [`UpstreamAttempts::check_end`] makes one.
#[derive(Clone, Copy, Debug)]
pub struct CompleteEnd {
    _checked: (),
}

impl UpstreamAttempts {
    /// Checks that the reply of the last send, which has ended, is complete. One that states its length or comes in
    /// chunks is (`is_framed`), or it would have ended with an error. Any other is only if its target has read the whole
    /// request (`has_sent_all`), since one that has not may have given up on it, and has not ended with its reply.
    ///
    /// # Errors
    /// [`ReplyFailure`] when the reply may have broken off.
    pub async fn check_end(
        &self,
        is_framed: bool,
        has_sent_all: bool,
    ) -> Result<CompleteEnd, ReplyFailure> {
        let complete = CompleteEnd { _checked: () };
        if is_framed {
            return Ok(complete);
        }
        if !has_sent_all {
            return Err(ReplyFailure::new(FailureKind::Reset, "ended before the request was read"));
        }
        match self.has_outlived_reply().await {
            true => Ok(complete),
            false => Err(ReplyFailure::new(FailureKind::Reset, "target ended with its reply")),
        }
    }

    /// Whether a reply of the last send that ended with its connection, without stating its length, may
    /// be taken as complete. Nothing shows that its target has ended; one that is leaving shows that it has not.
    async fn has_outlived_reply(&self) -> bool {
        let Some(target) = self.sent_target else { return false };
        if !self.is_staying(target) {
            // Its end is planned, so it blames no request.
            return self.replies_to_health_check(target.address).await;
        }
        if self.state.record_unframed_end(&self.job, target.crash) {
            return false;
        }
        sleep(SETTLE_TIME).await;
        // A host that lost power or is cut off sends no end of the connection, and an error of this
        // process says nothing about the target.
        let check = check_target(self.state.clone(), target).await;
        !check.is_err_and(|error| error.is_refused())
    }

    /// Whether a target is listed and has not announced that it leaves.
    fn is_staying(&self, target: SentTarget) -> bool {
        let pool = self.state.pool.borrow();
        let state = pool.target(target.key);
        state.is_some_and(|state| !state.record.is_leaving && state.remove_at.is_none())
    }

    /// Whether a target replies to a request, whatever it says.
    async fn replies_to_health_check(&self, address: SocketAddr) -> bool {
        let config = self.state.route_config();
        let service = config.as_ref().and_then(|config| config.service(&self.job.service));
        let path = service.and_then(|service| service.health_path.as_deref());
        let call = async {
            let mut connection = TargetConnection::open(address, CONNECT_TIMEOUT).await?;
            get(&mut connection, address, path.unwrap_or(DEFAULT_HEALTH_PATH)).await
        };
        let reply = timeout(HEALTH_TIMEOUT, call).await;
        reply.is_ok_and(|reply| reply.is_ok())
    }
}
