//! Finds out which version began a stream that a caller takes up.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::clock::mono_now;
use crate::front::job::FrontJob;
use crate::front::peers::fetch_origin;
use crate::front::response::FrontRefusal;
use crate::front::state::FrontState;
use crate::front::store::refresh_targets;
use crate::logging::quoted;
use ggt_core::versions::OriginReply;
use ggt_core::versions::OriginVerdict;
use ggt_core::versions::ServiceKey;
use ggt_core::versions::SoftwareVersion;
use ggt_core::versions::StreamKey;
use ggt_core::versions::VersionState;
use ggt_core::versions::judge_replies;

/// Number of daemons that are asked; more than are told, since one of those may be the asking daemon or
/// have ended.
const ASKED_HOLDERS: usize = 3;
/// Maximum time for the replies of the daemons that are asked.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// Stands for the stream of a caller that names no attempt, which no daemon knows.
const NO_STREAM: StreamKey = StreamKey(0);
/// `retry-after` in milliseconds of a stream of unknown origin: another daemon may know it.
const UNKNOWN_RETRY_MS: u64 = 200;

/// Where the version of a stream is known from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OriginSource {
    /// The service has had one version only, by this daemon's view, which the platform has confirmed or no other
    /// daemon can contradict.
    Single,
    /// This daemon has served the stream or was told of it.
    Own,
    /// Another daemon knows the stream, or knows that the service has had one version only.
    Peer,
    /// This daemon has seen one version only, though its view had gaps, and the caller names no attempt.
    Assumed,
}

impl OriginSource {
    /// The source as written in logs.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Single => "single",
            Self::Own => "own",
            Self::Peer => "peer",
            Self::Assumed => "assumed",
        }
    }
}

/// The version that must serve a request: that which began the stream that the request goes on with, or
/// `None` for a new stream.
///
/// # Errors
/// [`FrontRefusal`] when several versions are possible and it is not known which began the stream.
pub async fn required_version(
    state: &Rc<FrontState>,
    job: &FrontJob,
) -> Result<Option<SoftwareVersion>, FrontRefusal> {
    if let Some(handover) = &job.handover {
        return Ok(handover.version);
    }
    if !job.is_resumption() {
        return Ok(None);
    }
    let started_at = mono_now();
    let found = find_origin(state, job).await;
    log::info!(
        "event=origin request_id={} first_attempt={} service={} outcome={} software={} after_ms={}",
        quoted(&job.id),
        quoted(job.headers.first_attempt.as_deref().unwrap_or("-")),
        job.service,
        found.map_or("unknown", |(source, _)| source.as_str()),
        found.map_or("-".to_owned(), |(_, version)| version.to_string()),
        mono_now().millis_since(started_at),
    );
    match found {
        Some((_, version)) => Ok(Some(version)),
        None => Err(FrontRefusal::not_run("unknown-origin", UNKNOWN_RETRY_MS)),
    }
}

async fn find_origin(
    state: &Rc<FrontState>,
    job: &FrontJob,
) -> Option<(OriginSource, SoftwareVersion)> {
    let service = ServiceKey::named(&job.service);
    let key = job.stream_key();
    let own = key.and_then(|key| state.origins.borrow().version(key, mono_now()));
    if let Some(version) = own {
        return Some((OriginSource::Own, version));
    }
    let view = state.version_state(service);
    if let VersionState::Single(version) = view
        && state.is_alone()
    {
        return Some((OriginSource::Single, version));
    }
    let is_named = key.is_some();
    let key = key.unwrap_or(NO_STREAM);
    let asked = state.fleet.borrow().holders(key.0, ASKED_HOLDERS, mono_now());
    let replies = ask(&asked, key, service).await;
    match judge_replies(&replies, asked.len(), view) {
        OriginVerdict::Known(version) => Some((OriginSource::Peer, version)),
        OriginVerdict::Conflict => None,
        OriginVerdict::Unknown if is_named => confirm_single(state, service, view).await,
        OriginVerdict::Unknown => {
            let hears_peers = replies.len() * 2 > asked.len();
            assume_version(state, service, view, hears_peers).await
        }
    }
}

/// The only version of a service, if the platform shows that none has joined that this daemon does not know
/// of: its own word may be old, and its peers have not confirmed it.
async fn confirm_single(
    state: &FrontState,
    service: ServiceKey,
    view: VersionState,
) -> Option<(OriginSource, SoftwareVersion)> {
    if !matches!(view, VersionState::Single(_)) || !refresh_targets(state).await {
        return None;
    }
    match state.version_state(service) {
        VersionState::Single(version) => Some((OriginSource::Single, version)),
        VersionState::Open { .. } => None,
    }
}

/// The version of a stream whose caller names no attempt. No daemon can tell it from others, so what this one
/// has seen decides, unless it may have missed something: it hears neither its peers nor the platform.
async fn assume_version(
    state: &FrontState,
    service: ServiceKey,
    view: VersionState,
    hears_peers: bool,
) -> Option<(OriginSource, SoftwareVersion)> {
    if matches!(view, VersionState::Single(_)) {
        return confirm_single(state, service, view).await;
    }
    state.only_seen_version(service)?;
    if !hears_peers && !refresh_targets(state).await {
        return None;
    }
    let version = state.only_seen_version(service)?;
    Some((OriginSource::Assumed, version))
}

/// Asks daemons for the origin of a stream; returns the replies up to the first that knows it.
async fn ask(asked: &[SocketAddr], key: StreamKey, service: ServiceKey) -> Vec<OriginReply> {
    let (sender, mut receiver) = mpsc::channel(asked.len().max(1));
    for peer in asked.iter().copied() {
        let sender = sender.clone();
        spawn_local(async move {
            match fetch_origin(peer, key, service).await {
                // The receiver may have stopped waiting.
                Ok(reply) => drop(sender.send(reply).await),
                Err(e) => log::info!("event=origin peer={peer} cause={}", quoted(&e.to_string())),
            }
        });
    }
    drop(sender);
    let mut replies = Vec::new();
    let collect = async {
        while let Some(reply) = receiver.recv().await {
            replies.push(reply);
            if reply.version.is_some() {
                return;
            }
        }
    };
    // A daemon that does not reply in time knows as little as one that has ended.
    let _ = timeout(ASK_TIMEOUT, collect).await;
    replies
}
