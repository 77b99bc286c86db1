//! Finds out which version began a stream that a caller takes up.

use std::rc::Rc;
use std::time::Duration;

use crate::clock::mono_now;
use crate::front::job::FrontJob;
use crate::front::origins::cached::find_cached;
use crate::front::origins::inquiry::OriginInquiry;
use crate::front::response::FrontRefusal;
use crate::front::state::FrontState;
use crate::front::store::refresh_targets;
use crate::logging::quoted;
use ggt_core::versions::ASK_MS;
use ggt_core::versions::CacheVerdict;
use ggt_core::versions::FIRST_ASK_MS;
use ggt_core::versions::OriginVerdict;
use ggt_core::versions::ServiceKey;
use ggt_core::versions::SoftwareVersion;
use ggt_core::versions::StreamKey;
use ggt_core::versions::VersionState;

/// Number of daemons that are asked first. If none of them knows the stream, all others that may are asked.
const FIRST_ASKED: usize = 3;
const FIRST_ASK_TIMEOUT: Duration = Duration::from_millis(FIRST_ASK_MS);
const ASK_TIMEOUT: Duration = Duration::from_millis(ASK_MS);
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
    /// Another daemon knows the stream.
    Peer,
    /// Other daemons know that the service has had one version only.
    Agreed,
    /// This daemon has seen one version only, though its view had gaps, and the caller names no attempt.
    Assumed,
    /// Only targets of one version have the prompt's own part cached.
    Cached,
}

impl OriginSource {
    /// The source as written in logs.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Single => "single",
            Self::Own => "own",
            Self::Peer => "peer",
            Self::Agreed => "agreed",
            Self::Assumed => "assumed",
            Self::Cached => "cached",
        }
    }
}

/// What a request has to go on with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamStart {
    /// The version that must serve the request; `None` if any may.
    pub version: Option<SoftwareVersion>,
    /// Whether a daemon knows that the stream has begun.
    pub has_begun: bool,
}

/// Finds out what a request has to go on with: the version that began its stream, or nothing for a new stream.
///
/// # Errors
/// [`FrontRefusal`] when several versions are possible and it is not known which began the stream.
pub async fn find_start(
    state: &Rc<FrontState>,
    job: &FrontJob,
) -> Result<StreamStart, FrontRefusal> {
    if let Some(handover) = &job.handover {
        return Ok(StreamStart { version: handover.version, has_begun: false });
    }
    if !job.is_resumption() {
        return Ok(StreamStart::default());
    }
    let started_at = mono_now();
    let key = job.stream_key().unwrap_or(NO_STREAM);
    let mut inquiry = OriginInquiry::new(state, key, ServiceKey::named(&job.service));
    let mut found = find_origin(state, job, &mut inquiry).await;
    let mut caches = "-";
    if found.is_none() {
        let verdict = find_cached(state, job).await;
        caches = verdict.as_str();
        if let CacheVerdict::Cached(version) = verdict {
            found = Some((OriginSource::Cached, version));
        }
    }
    log::info!(
        "event=origin request_id={} first_attempt={} service={} outcome={} software={} asked={} \
         replied={} caches={caches} after_ms={}",
        quoted(&job.id),
        quoted(job.headers.first_attempt.as_deref().unwrap_or("-")),
        job.service,
        found.map_or("unknown", |(source, _)| source.as_str()),
        found.map_or("-".to_owned(), |(_, version)| version.to_string()),
        inquiry.asked(),
        inquiry.replied(),
        mono_now().millis_since(started_at),
    );
    match found {
        Some((source, version)) => {
            let has_begun =
                matches!(source, OriginSource::Own | OriginSource::Peer | OriginSource::Cached);
            Ok(StreamStart { version: Some(version), has_begun })
        }
        None => Err(FrontRefusal::not_run("unknown-origin", UNKNOWN_RETRY_MS)),
    }
}

async fn find_origin(
    state: &Rc<FrontState>,
    job: &FrontJob,
    inquiry: &mut OriginInquiry,
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
    match ask_peers(state, key, inquiry, view).await {
        OriginVerdict::Known(version) => Some((OriginSource::Peer, version)),
        OriginVerdict::Only(version) => Some((OriginSource::Agreed, version)),
        OriginVerdict::Conflict => None,
        OriginVerdict::Unknown if key.is_some() => confirm_single(state, service, view).await,
        OriginVerdict::Unknown => {
            let hears_peers = inquiry.replied() * 2 > inquiry.asked();
            assume_version(state, service, view, hears_peers).await
        }
    }
}

/// Asks the daemons that may know a stream. For a caller that names none, a few are asked which versions they have
/// seen.
async fn ask_peers(
    state: &FrontState,
    key: Option<StreamKey>,
    inquiry: &mut OriginInquiry,
    view: VersionState,
) -> OriginVerdict {
    let candidates = state.origin_candidates(key.unwrap_or(NO_STREAM));
    let (first, others) = candidates.split_at(candidates.len().min(FIRST_ASKED));
    if key.is_none() || others.is_empty() {
        inquiry.ask(first, ASK_TIMEOUT).await;
        return inquiry.verdict(view);
    }
    inquiry.ask(first, FIRST_ASK_TIMEOUT).await;
    if !matches!(inquiry.verdict(view), OriginVerdict::Known(_) | OriginVerdict::Only(_)) {
        inquiry.ask(others, ASK_TIMEOUT).await;
    }
    inquiry.verdict(view)
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
