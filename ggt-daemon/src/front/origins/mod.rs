//! Which version began a stream that a caller takes up: recorded for the daemon's own streams, told to other
//! daemons, and asked of them.
//!
//! Others are told of each stream, also while there is one version only: when a second one joins, the daemon that
//! would have to tell them may have been lost. If no daemon knows a stream, the targets' prefix caches decide.

mod cached;
mod inquiries;
mod inquiry;
mod lookup;
mod tell;

pub use inquiries::InquiryTable;
pub use inquiries::OpenInquiry;
pub use lookup::StreamStart;
pub use lookup::find_start;
pub use tell::run_origins;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::task::spawn_local;

use crate::clock::mono_now;
use crate::front::job::FrontJob;
use crate::front::origins::cached::answer_cached;
use crate::front::state::FrontState;
use crate::front::state::StoreFolder;
use ggt_core::clock::MonoTime;
use ggt_core::fleet::OriginCandidate;
use ggt_core::targets::TargetRecord;
use ggt_core::versions::OriginReply;
use ggt_core::versions::ServiceKey;
use ggt_core::versions::SoftwareVersion;
use ggt_core::versions::StreamKey;
use ggt_core::versions::StreamOrigin;
use ggt_core::versions::VersionState;
use ggt_wire::origins::OriginAnswer;
use ggt_wire::origins::decode_answer;
use ggt_wire::origins::decode_cache_answer;
use ggt_wire::origins::decode_cache_question;
use ggt_wire::origins::decode_origins;
use ggt_wire::origins::decode_question;
use ggt_wire::origins::encode_answer;

/// Maximum number of streams whose origins are kept.
pub const MAX_ORIGINS: usize = 16_384;
/// Minimum time in milliseconds for which an origin, and a version of a service, is kept.
pub const MIN_MEMORY_MS: u64 = 15_000;
/// Maximum time in milliseconds for the same.
const MAX_MEMORY_MS: u64 = 600_000;
/// Milliseconds for which both are kept beyond the longest timeout of a stream.
const MEMORY_MARGIN_MS: u64 = 5_000;
/// Milliseconds since the latest reply of the platform, to this daemon or one that it hears, up to which
/// its view of the registrations counts as current.
const MAX_VIEW_AGE_MS: u64 = 4_000;

impl FrontState {
    /// Records which version began the stream of a request, once its first event has arrived.
    pub fn record_origin(&self, job: &FrontJob, version: SoftwareVersion) {
        let Some(key) = job.stream_key() else { return };
        let expires_at = mono_now() + self.stream_memory_ms.get();
        self.origins.borrow_mut().record_own(StreamOrigin { key, version }, expires_at);
        self.origins_untold.notify_one();
    }

    /// Records that an incarnation of a target has ended.
    pub fn record_departure(&self, record: &TargetRecord) {
        let service = ServiceKey::named(&record.service);
        self.versions.borrow_mut().record_departure(service, record.version, mono_now());
    }

    /// Applies a datagram of another daemon with origins of streams.
    pub fn apply_origins(&self, bytes: &[u8]) {
        let expires_at = mono_now() + self.stream_memory_ms.get();
        match decode_origins(bytes) {
            Ok(origins) => {
                self.metrics.record_origins("heard", origins.len() as u64);
                let mut table = self.origins.borrow_mut();
                origins.into_iter().for_each(|origin| table.record_told(origin, expires_at));
            }
            Err(e) => log::warn!("event=origins outcome=unreadable cause=\"{e}\""),
        }
    }

    /// Replies to a daemon that asks which version began a stream.
    pub async fn answer_question(&self, bytes: &[u8], peer: SocketAddr) {
        let question = match decode_question(bytes) {
            Ok(question) => question,
            Err(e) => {
                log::warn!("event=origin peer={peer} outcome=unreadable cause=\"{e}\"");
                return;
            }
        };
        let reply = self.origin_reply(question.key, question.service);
        let answer = OriginAnswer { number: question.number, reply };
        self.send_encoded(encode_answer(&answer), peer, "origin").await;
    }

    /// Applies another daemon's reply to a question of this one.
    pub fn apply_answer(&self, bytes: &[u8], peer: SocketAddr) {
        match decode_answer(bytes) {
            Ok(answer) => self.inquiries.apply(answer.number, peer, Some(answer.reply)),
            Err(e) => log::warn!("event=origin peer={peer} outcome=unreadable cause=\"{e}\""),
        }
    }

    /// Replies to a daemon that asks which targets have a prompt part cached, once they are listed.
    pub fn answer_cache_question(self: &Rc<Self>, bytes: &[u8], peer: SocketAddr) {
        match decode_cache_question(bytes) {
            Ok(question) => {
                let state = self.clone();
                spawn_local(async move { answer_cached(&state, question, peer).await });
            }
            Err(e) => {
                log::warn!("event=cache-question peer={peer} outcome=unreadable cause=\"{e}\"")
            }
        }
    }

    /// Applies another daemon's reply to such a question of this one.
    pub fn apply_cache_answer(&self, bytes: &[u8], peer: SocketAddr) {
        match decode_cache_answer(bytes) {
            Ok(answer) => self.cache_inquiries.apply(answer.number, peer, answer.listed),
            Err(e) => {
                log::warn!("event=cache-question peer={peer} outcome=unreadable cause=\"{e}\"")
            }
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
        let pool = self.pool.borrow();
        let mut services = BTreeMap::new();
        let mut versions = self.versions.borrow_mut();
        versions.record_view(self.has_current_view(now), now);
        for (_, target) in pool.iter().filter(|(_, target)| !target.lifetime.has_ended()) {
            let service = ServiceKey::named(&target.record.service);
            versions.record_target(service, target.record.version, now);
            services.insert(service, target.record.service.as_str());
        }
        versions.expire(memory_ms, now);
        for (service, name) in services {
            self.log_version_state(service, name, versions.state(service, memory_ms, now));
        }
        self.listings.borrow_mut().expire(now);
        let mut origins = self.origins.borrow_mut();
        origins.expire(now);
        // Those that could not be told, as no other daemon was known.
        if origins.has_untold() {
            self.origins_untold.notify_one();
        }
    }

    /// Logs the versions that may have begun streams of a service, when they change.
    fn log_version_state(&self, service: ServiceKey, name: &str, state: VersionState) {
        let before = self.version_states.borrow_mut().insert(service, state);
        if before == Some(state) {
            return;
        }
        let (outcome, version) = match state {
            VersionState::Single(version) => ("single", Some(version)),
            VersionState::Open { listed: Some(version) } => ("uncertain", Some(version)),
            VersionState::Open { listed: None } => ("several", None),
        };
        log::info!(
            "event=versions service={name} outcome={outcome} software={}",
            version.map_or("-".to_owned(), |version| version.to_string()),
        );
    }

    /// Keeps origins for as long as a stream with this timeout can last.
    pub fn extend_stream_memory(&self, timeout_ms: u64) {
        let memory_ms = timeout_ms.saturating_add(MEMORY_MARGIN_MS).min(MAX_MEMORY_MS);
        self.stream_memory_ms.set(self.stream_memory_ms.get().max(memory_ms));
    }

    pub(super) fn version_state(&self, service: ServiceKey) -> VersionState {
        self.versions.borrow().state(service, self.stream_memory_ms.get(), mono_now())
    }

    /// The version of a service that this daemon has seen for as long as a stream can last, if it is the
    /// only one.
    pub(super) fn only_seen_version(&self, service: ServiceKey) -> Option<SoftwareVersion> {
        self.versions.borrow().only_seen(service, self.stream_memory_ms.get(), mono_now())
    }

    /// Whether there is no other daemon, as far as the seeds and the digests of others show.
    pub(super) fn is_alone(&self) -> bool {
        let settings = self.settings();
        let has_other_seed = settings.seed_peers().iter().any(|seed| *seed != settings.peer);
        !has_other_seed && self.fleet.borrow().is_empty()
    }

    /// Whether the streams of any service may have begun at several versions.
    pub(super) fn has_open_service(&self) -> bool {
        self.versions.borrow().has_open_service(self.stream_memory_ms.get(), mono_now())
    }

    /// Other daemons that may have been told which version began a stream.
    pub(super) fn origin_candidates(&self, key: StreamKey) -> Vec<OriginCandidate> {
        let memory_ms = self.stream_memory_ms.get();
        self.fleet.borrow().origin_candidates(key, memory_ms, mono_now())
    }

    /// Whether this daemon has all registrations up to a few seconds ago.
    pub(super) fn has_current_view(&self, now: MonoTime) -> bool {
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
}
