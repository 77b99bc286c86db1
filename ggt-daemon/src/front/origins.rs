//! Which version began a stream that a caller takes up: recorded for the daemon's own streams, told to other
//! daemons, and asked of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::mono_now;
use crate::clock::wall_now;
use crate::front::job::FrontJob;
use crate::front::peers::fetch_origin;
use crate::front::response::FrontRefusal;
use crate::front::state::FrontState;
use crate::front::state::StoreFolder;
use crate::logging::quoted;
use ggt_core::clock::MonoTime;
use ggt_core::versions::ServiceKey;
use ggt_core::versions::SoftwareVersion;
use ggt_core::versions::StreamKey;
use ggt_core::versions::StreamOrigin;
use ggt_core::versions::VersionState;
use ggt_wire::origins::OriginReply;
use ggt_wire::origins::decode_origins;
use ggt_wire::origins::encode_origins;

/// Maximum number of streams whose origins are kept.
pub const MAX_ORIGINS: usize = 16_384;
/// Minimum time in milliseconds for which an origin, and a version of a service, is kept.
pub const MIN_MEMORY_MS: u64 = 15_000;
/// Maximum time in milliseconds for the same.
const MAX_MEMORY_MS: u64 = 600_000;
/// Milliseconds for which both are kept beyond the longest timeout of a stream.
const MEMORY_MARGIN_MS: u64 = 5_000;
/// Number of daemons that are told of a stream.
const TOLD_HOLDERS: usize = 2;
/// Number of daemons that are asked; more than are told, since one of those may be the asking daemon or
/// have ended.
const ASKED_HOLDERS: usize = 3;
/// Maximum time for the replies of the daemons that are asked.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay before origins are told, so that several go into one datagram.
const TELL_DELAY: Duration = Duration::from_millis(25);
/// Maximum number of origins in one datagram.
const MAX_TOLD: usize = 50;
/// Milliseconds since the latest reply of the platform, to this daemon or one that it hears, up to which
/// its view of the registrations counts as current.
const MAX_VIEW_AGE_MS: u64 = 4_000;
/// Milliseconds after the start of the youngest target for which a release may still be under way.
const RELEASE_MS: u64 = 20_000;
/// `retry-after` in milliseconds of a stream of unknown origin: another daemon may know it.
const UNKNOWN_RETRY_MS: u64 = 200;

/// Where the version of a stream is known from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OriginSource {
    /// The service has had one version only.
    Single,
    /// This daemon has served the stream or was told of it.
    Own,
    /// Another daemon knows the stream, or knows that the service has had one version only.
    Peer,
    /// This daemon has seen one version only; the caller names no attempt, or all daemons have restarted
    /// and no release is under way.
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
    let listed = match state.version_state(service) {
        VersionState::Single(version) => return Some((OriginSource::Single, version)),
        VersionState::Open { listed } => listed,
    };
    // A caller that names no attempt cannot be told from others by any daemon, so what this one has seen
    // decides.
    let Some(key) = key else {
        return listed.map(|version| (OriginSource::Assumed, version));
    };
    let asked = state.fleet.borrow().holders(key.0, ASKED_HOLDERS, mono_now());
    let replies = ask(&asked, key, service).await;
    if let Some(version) = agreed_version(&replies, listed) {
        return Some((OriginSource::Peer, version));
    }
    let assumed = listed.filter(|_| state.has_whole_fleet_restarted());
    let version = assumed.filter(|_| !state.may_be_releasing(&job.service))?;
    Some((OriginSource::Assumed, version))
}

/// The version that the replies agree on. A reply that the service has had one version only counts if
/// this daemon has seen no other.
fn agreed_version(
    replies: &[OriginReply],
    listed: Option<SoftwareVersion>,
) -> Option<SoftwareVersion> {
    let mut known = replies.iter().filter_map(|reply| reply.version);
    if let Some(version) = known.next() {
        return known.all(|other| other == version).then_some(version);
    }
    let only = replies.iter().filter_map(|reply| reply.only_version);
    only.into_iter().find(|version| listed == Some(*version))
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
        for peer in state.fleet.borrow().holders(origin.key.0, TOLD_HOLDERS, now) {
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

impl FrontState {
    /// Records which version began the stream of a request, once its first event has arrived.
    pub fn record_origin(&self, job: &FrontJob, version: SoftwareVersion) {
        let Some(key) = job.stream_key() else { return };
        let service = ServiceKey::named(&job.service);
        let expires_at = mono_now() + self.stream_memory_ms.get();
        let origin = StreamOrigin { key, version };
        self.origins.borrow_mut().record_own(origin, service, expires_at);
        if matches!(self.version_state(service), VersionState::Open { .. }) {
            self.origins_untold.notify_one();
        }
    }

    /// Applies a datagram of another daemon with origins of streams.
    pub fn apply_origins(&self, bytes: &[u8]) {
        let expires_at = mono_now() + self.stream_memory_ms.get();
        match decode_origins(bytes) {
            Ok(origins) => {
                let mut table = self.origins.borrow_mut();
                origins.into_iter().for_each(|origin| table.record_told(origin, expires_at));
            }
            Err(e) => log::warn!("event=origins outcome=unreadable cause=\"{e}\""),
        }
    }

    /// Reply to a daemon that asks which version began a stream.
    pub fn origin_reply(&self, key: StreamKey, service: ServiceKey) -> OriginReply {
        let only_version = match self.version_state(service) {
            VersionState::Single(version) => Some(version),
            VersionState::Open { .. } => None,
        };
        let version = self.origins.borrow().version(key, mono_now());
        OriginReply { version, only_version }
    }

    /// Records the versions that targets have now, and drops what is too old to matter.
    pub fn update_versions(&self) {
        let now = mono_now();
        let memory_ms = self.stream_memory_ms.get();
        let mut versions = self.versions.borrow_mut();
        versions.record_view(self.has_current_view(now), now);
        for (_, target) in self.pool.borrow().iter() {
            let service = ServiceKey::named(&target.record.service);
            versions.record_target(service, target.record.version, now);
        }
        versions.expire(memory_ms, now);
        let is_any_open = !versions.open_services(memory_ms, now).is_empty();
        drop(versions);
        self.origins.borrow_mut().expire(now);
        if is_any_open {
            self.origins_untold.notify_one();
        }
    }

    /// Keeps origins for as long as a stream with this timeout can last.
    pub fn extend_stream_memory(&self, timeout_ms: u64) {
        let memory_ms = (timeout_ms + MEMORY_MARGIN_MS).min(MAX_MEMORY_MS);
        self.stream_memory_ms.set(self.stream_memory_ms.get().max(memory_ms));
    }

    fn version_state(&self, service: ServiceKey) -> VersionState {
        self.versions.borrow().state(service, self.stream_memory_ms.get(), mono_now())
    }

    fn open_services(&self) -> Vec<ServiceKey> {
        self.versions.borrow().open_services(self.stream_memory_ms.get(), mono_now())
    }

    /// Whether this daemon has all registrations up to a few seconds ago.
    fn has_current_view(&self, now: MonoTime) -> bool {
        if self.cache(StoreFolder::Targets).borrow().revision() == 0
            || self.is_behind(StoreFolder::Targets)
        {
            return false;
        }
        let fleet = self.fleet.borrow();
        let peer_ages = fleet.alive(now).map(|peer| {
            now.millis_since(peer.received_at) + u64::from(peer.digest.platform_age_ms)
        });
        let own_age = now.millis_since(self.platform_replied_at.get());
        peer_ages.chain([own_age]).min().unwrap_or(u64::MAX) <= MAX_VIEW_AGE_MS
    }

    /// Whether no daemon can know the streams of before: this one and all that it hears have started
    /// since, and its view is current.
    fn has_whole_fleet_restarted(&self) -> bool {
        let now = mono_now();
        let memory_ms = self.stream_memory_ms.get();
        let fleet = self.fleet.borrow();
        now.millis_since(self.started_at) < memory_ms
            && fleet.alive(now).all(|peer| peer.digest.age_ms < memory_ms)
            && self.has_current_view(now)
    }

    /// Whether a target of a service has started so recently, or may have, that it may replace one of
    /// another version.
    fn may_be_releasing(&self, service: &str) -> bool {
        let pool = self.pool.borrow();
        let targets = pool.of_service(service).iter().filter_map(|key| pool.target(*key));
        let mut started_at = targets.map(|target| target.record.incarnation);
        let now = wall_now().as_millis();
        started_at.any(|started_at| started_at == 0 || now < started_at + RELEASE_MS)
    }
}
