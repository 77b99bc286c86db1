//! Forwards a request to a peer while this daemon is cut off from the service's targets.

use std::net::SocketAddr;

use crate::clock::mono_now;
use crate::front::attempt::SentTarget;
use crate::front::attempt::TargetReply;
use crate::front::attempt::UpstreamAttempts;
use crate::front::forward::PeerOutcome;
use crate::front::forward::send_to_peer;
use crate::front::job::SendGuard;
use crate::front::response::FrontRefusal;
use crate::logging::quoted;
use ggt_core::crashes::CrashId;
use ggt_core::fleet::FORWARD_PROTOCOL;
use ggt_core::prompts::PrefixChain;
use ggt_core::targets::TargetKey;
use ggt_platform::parse_reply_headers;
use ggt_wire::forward::ForwardedRequest;
use ggt_wire::forward::ForwardedRoute;

/// Result of a forwarded request: the peer's reply or the final response; `None` if no peer has taken it.
type ForwardResult = Option<Result<TargetReply, FrontRefusal>>;

impl UpstreamAttempts {
    /// Whether the request has to go to a peer: this daemon is cut off from the service, and the request
    /// was not forwarded to it.
    pub(super) fn must_forward(&self) -> bool {
        self.job.handover.is_none() && self.state.is_cut_off(&self.job.service)
    }

    /// Whether the request can go to a peer.
    pub(super) fn can_forward(&self) -> bool {
        self.must_forward() && self.state.reaches_by_peer(&self.job.service)
    }

    /// Offers the request to one peer after another until one takes it.
    pub(super) async fn forward(&mut self, last_event: Option<u64>) -> ForwardResult {
        if !self.must_forward() {
            return None;
        }
        self.moving_since.take();
        self.has_reserved_forward.take();
        let mut peers = self.state.forward_peers(&self.job);
        // A peer whose reply was lost may have ended and still accept a connection.
        if let Some(last) = self.last_peer.filter(|_| peers.len() > 1) {
            peers.retain(|peer| *peer != last);
        }
        for peer in peers {
            if mono_now() >= self.job.deadline {
                return Some(Err(self.timeout_refusal()));
            }
            let result = self.offer(peer, last_event).await;
            if result.is_some() {
                return result;
            }
        }
        None
    }

    /// Offers the request to a peer; `None` if it may be offered to another one.
    async fn offer(&mut self, peer: SocketAddr, last_event: Option<u64>) -> ForwardResult {
        let forwarded = self.envelope(last_event);
        let attempts = forwarded.attempts;
        let sent_at = mono_now();
        // What happens at the peer says nothing about the target of an earlier send.
        self.sent_target = None;
        self.job.has_begun_send.set(true);
        let outcome = send_to_peer(&self.state, peer, &self.job, &forwarded).await;
        let after_ms = mono_now().millis_since(sent_at);
        let log = |outcome: &'static str, cause: &str| {
            self.state.metrics.record_forward(outcome);
            log::info!(
                "event=forward request_id={} peer={peer} service={} outcome={outcome} cause={} \
                 last_event={} after_ms={after_ms}",
                quoted(&self.job.id),
                self.job.service,
                quoted(cause),
                last_event.map_or("-".to_owned(), |event| event.to_string()),
            );
        };
        match outcome {
            PeerOutcome::NotTaken { cause } => {
                log("not-taken", &cause);
                None
            }
            PeerOutcome::Refused(refusal) => {
                log("refused", refusal.cause);
                Some(Err(self.peer_refusal(refusal)))
            }
            PeerOutcome::Deadline => {
                log("timed-out", "deadline");
                self.may_have_run = true;
                Some(Err(self.timeout_refusal()))
            }
            PeerOutcome::Lost { cause } => {
                log("lost", &cause);
                self.sends += attempts;
                self.last_peer = Some(peer);
                self.may_have_run = true;
                match self.try_next_send() {
                    true => None,
                    false => Some(Err(self.send_failure_refusal())),
                }
            }
            PeerOutcome::Served { response, connection, version } => {
                log("served", "-");
                self.sends += attempts;
                self.may_have_run = true;
                self.forwarded_version = version;
                self.last_peer = Some(peer);
                let (parts, body) = response.into_parts();
                let headers = parse_reply_headers(parts.status, &parts.headers);
                // No target of this daemon: what concerns one has no effect.
                let key = TargetKey::default();
                let version = version.unwrap_or_default();
                let target = SentTarget { key, address: peer, crash: CrashId(0), version };
                let guard = SendGuard::new(self.state.clone(), key, &PrefixChain::default(), false);
                Some(Ok(TargetReply {
                    target,
                    peer: Some(peer),
                    status: parts.status,
                    raw_headers: parts.headers,
                    headers,
                    body,
                    next_frame: None,
                    connection,
                    guard,
                }))
            }
        }
    }

    /// A peer's refusal, with a status that is true of all sends of the request.
    fn peer_refusal(&self, refusal: FrontRefusal) -> FrontRefusal {
        match self.may_have_run {
            true => FrontRefusal::new(http::StatusCode::BAD_GATEWAY, refusal.cause),
            false => refusal,
        }
    }

    /// What the peer has to know. One send of an idempotent request stays with this daemon, for a peer
    /// that ends with the request.
    fn envelope(&self, last_event: Option<u64>) -> ForwardedRequest {
        let job = &self.job;
        let left = job.route.max_attempts.saturating_sub(self.sends).max(1);
        let reserved = u32::from(job.route.is_idempotent && left > 1);
        let first_attempt = job.headers.first_attempt.clone();
        ForwardedRequest {
            protocol: FORWARD_PROTOCOL,
            sender: self.state.settings().peer,
            incarnation: self.state.incarnation,
            config_version: job.version,
            route: ForwardedRoute {
                name: job.route.name.clone(),
                is_stream: job.route.is_stream,
                is_idempotent: job.route.is_idempotent,
                is_sticky: job.route.is_sticky,
                goal_ms: job.route.goal_ms,
                max_gap_ms: job.route.max_gap_ms,
            },
            service: job.service.clone(),
            customer: job.customer.clone(),
            priority: job.priority,
            attempts: left - reserved,
            remaining_ms: job.remaining_ms().max(1),
            may_have_run: self.may_have_run,
            last_event,
            first_attempt: first_attempt.or_else(|| last_event.map(|_| job.id.clone())),
            version: self.version.get(),
            allowed_centres: job.allowed_centres.clone(),
        }
    }
}
