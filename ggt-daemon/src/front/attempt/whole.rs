//! A target's reply that has been read to its end.

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use tokio::time::timeout;

use crate::clock::time_until;
use crate::front::attempt::CompleteEnd;
use crate::front::attempt::ReplyFailure;
use crate::front::attempt::TargetReply;
use crate::front::attempt::UpstreamAttempts;
use crate::front::buffers::ReadError;
use crate::front::buffers::read_body;
use crate::front::response::ResponseBody;
use crate::front::response::forwarded_response;
use ggt_core::targets::SendOutcome;

/// A reply of a target whose body is complete. [`UpstreamAttempts::read_whole`] is the only way to one.
pub struct WholeReply {
    pub status: StatusCode,
    raw_headers: HeaderMap,
    body: Bytes,
    _end: CompleteEnd,
}

impl WholeReply {
    /// The response that forwards it.
    pub fn into_response(self) -> Response<ResponseBody> {
        let body = ResponseBody::Complete(Some(self.body));
        forwarded_response(self.status, &self.raw_headers, body)
    }
}

impl UpstreamAttempts {
    /// Reads a reply to its end, and keeps its connection for reuse if the target allows it.
    ///
    /// # Errors
    /// [`ReplyFailure`] when the reply is not complete by the deadline, too long, or ended with its target.
    pub async fn read_whole(&self, reply: TargetReply) -> Result<WholeReply, ReplyFailure> {
        let (state, job) = (&self.state, &self.job);
        let key = reply.key();
        let TargetReply { peer, status, raw_headers, headers, body, connection, guard, .. } = reply;
        let body = timeout(time_until(job.deadline), read_body(&state.buffers, body)).await;
        let body = body.unwrap_or(Err(ReadError::Deadline));
        let body = body.map_err(|e| e.into_failure().with_bytes(connection.received_bytes()))?;
        let has_sent_all = connection.has_written_all();
        let outcome = if status.is_server_error() { SendOutcome::Bad } else { SendOutcome::Good };
        state.record_outcome(key, outcome);
        // A connection on which the request is still being written holds its body.
        if !headers.closes_connection && job.route.is_idempotent && has_sent_all {
            state.keep_connection(key, peer, connection, headers.keep_alive_seconds);
        }
        drop(guard);
        let end = self.check_end(headers.is_framed, has_sent_all).await?;
        if headers.is_framed && peer.is_none() && !status.is_server_error() {
            state.record_completion(job, status);
        }
        Ok(WholeReply { status, raw_headers, body, _end: end })
    }
}
