//! State shared by the daemon's threads and tasks.

mod active_config;
mod folders;
mod gossip;
mod pause;

use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crossbeam::channel::Sender;

use ggt_core::claims::AttemptId;
use ggt_core::claims::ClaimHolder;
use ggt_core::crashes::CrashId;
use ggt_core::crashes::CrashOptions;
use ggt_core::crashes::CrashTable;
use ggt_core::crashes::SuspectKey;
use ggt_core::ident::CustomerName;
use ggt_core::ident::DaemonName;
use ggt_core::ident::WorkloadName;
use ggt_core::limits::ShareTable;
use ggt_core::membership::PeerOptions;
use ggt_core::membership::PeerTable;
use ggt_core::retries::RetryBudget;
use ggt_core::routing::RoutingTable;
use ggt_core::routing::TargetKey;
use ggt_wire::auth::FleetKeys;
use ggt_wire::platform::FolderKind;

pub use active_config::ActiveConfig;
pub use folders::FolderStore;
pub use gossip::GossipState;
pub use pause::PauseDetector;

use crate::clock::mono_now;
use crate::clock::wall_now;
use crate::lifecycle::DrainState;
use crate::lock::lock;
use crate::metrics::DaemonMetrics;
use crate::settings::DaemonSettings;
use crate::upstream::ConnectionPool;

/// Unanswered epoch queries: the queried daemon by nonce.
pub type EpochQueries = BTreeMap<u64, DaemonName>;

/// Requests that failed at a silent target, by the crash that they would be suspected of: the id of
/// each request, and its suspects.
pub type SilentTargets = BTreeMap<CrashId, Vec<(String, Vec<SuspectKey>)>>;

/// Hint that a peer has a newer revision of a folder.
#[derive(Clone, Debug)]
pub struct FetchHint {
    /// Folder to fetch.
    pub folder: FolderKind,
    /// Address of the peer.
    pub peer: std::net::SocketAddr,
}

/// State shared by the daemon's threads and tasks.
pub struct SharedState {
    /// Settings of this daemon.
    pub settings: DaemonSettings,
    /// Keys for signing and verifying messages between daemons.
    pub keys: FleetKeys,
    /// Metric instruments.
    pub metrics: DaemonMetrics,
    /// Start time of this process in milliseconds of the wall clock, so above any earlier one.
    pub incarnation: u64,
    /// Targets, their status and their loads.
    pub routing: Mutex<RoutingTable>,
    /// Idle connections to targets.
    pub connections: ConnectionPool<TargetKey>,
    /// Requests in flight by workload and customer, for fair sharing.
    pub shares: Mutex<ShareTable<WorkloadName, CustomerName>>,
    /// Budget that bounds retries to a ratio of first attempts.
    pub retry_budget: Mutex<RetryBudget>,
    /// Requests suspected of crashing targets.
    pub crashes: Mutex<CrashTable>,
    /// Silent targets that are being probed, with the requests that wait for the result.
    pub silent_targets: Mutex<SilentTargets>,
    /// Claims on idempotency keys that this daemon holds.
    pub claim_holder: Mutex<ClaimHolder>,
    /// Peers and gossip items.
    pub gossip: Mutex<GossipState>,
    /// Epoch queries without a reply.
    pub epoch_queries: Mutex<EpochQueries>,
    /// Published folders: configuration and host list.
    pub folders: Mutex<FolderStore>,
    /// Detects pauses of the process.
    pub pause_detector: PauseDetector,
    /// Drain flag and requests in flight.
    pub drain: DrainState,
    /// UDP socket for gossip.
    pub socket: UdpSocket,
    /// Queue of the thread that fetches folders from peers.
    pub fetch_hints: Sender<FetchHint>,
    /// Set once the seeds have been queried; the platform is read only afterwards, as it may serve
    /// an older revision than the seeds have.
    pub bootstrapped: OnceLock<()>,
    active_config: RwLock<Option<Arc<ActiveConfig>>>,
    next_number: AtomicU64,
}

impl SharedState {
    /// Creates the state of a daemon that starts now.
    pub fn new(
        settings: DaemonSettings,
        metrics: DaemonMetrics,
        fetch_hints: Sender<FetchHint>,
        socket: UdpSocket,
    ) -> Self {
        let started_at = wall_now();
        let incarnation = started_at.as_millis();
        let now = mono_now();
        let options =
            PeerOptions { period_ms: settings.timing.gossip_ms, ..PeerOptions::default() };
        // The same fraction of the period as in the default options: 400 ms of 1 s.
        let options = PeerOptions { indirect_after_ms: options.period_ms * 2 / 5, ..options };
        let peers = PeerTable::new(
            settings.name.clone(),
            settings.data_centre.clone(),
            incarnation,
            options,
            now,
        );
        Self {
            keys: FleetKeys::new(&settings.fleet_keys),
            metrics,
            incarnation,
            routing: Mutex::default(),
            connections: ConnectionPool::default(),
            shares: Mutex::default(),
            retry_budget: Mutex::default(),
            // The limit is set when a configuration is activated.
            crashes: Mutex::new(CrashTable::new(CrashOptions {
                limit: u32::MAX,
                ..CrashOptions::default()
            })),
            silent_targets: Mutex::default(),
            claim_holder: Mutex::new(ClaimHolder::new(settings.name.clone(), started_at)),
            gossip: Mutex::new(GossipState::new(peers, settings.limits.gossip_bytes, now)),
            epoch_queries: Mutex::default(),
            folders: Mutex::default(),
            pause_detector: PauseDetector::new(now, settings.timing.pause_ms),
            drain: DrainState::default(),
            socket,
            fetch_hints,
            bootstrapped: OnceLock::new(),
            active_config: RwLock::default(),
            next_number: AtomicU64::new(1),
            settings,
        }
    }

    /// The active configuration; `None` before the first activation.
    pub fn active_config(&self) -> Option<Arc<ActiveConfig>> {
        self.active_config.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the active configuration.
    pub fn set_active_config(&self, config: Arc<ActiveConfig>) {
        *self.active_config.write().unwrap_or_else(PoisonError::into_inner) = Some(config);
    }

    /// A sequence number, unique within this process.
    pub fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Id for a new attempt of a non-idempotent request.
    pub fn new_attempt(&self) -> AttemptId {
        AttemptId {
            daemon: self.settings.name.clone(),
            incarnation: self.incarnation,
            number: self.next_number(),
        }
    }

    /// Whether a configuration and a host list are active, and the daemon is neither draining nor cut
    /// off from the targets that its peers reach.
    pub fn is_ready(&self) -> bool {
        if self.active_config().is_none() || self.drain.is_draining() {
            return false;
        }
        let routing = lock(&self.routing);
        routing.list_version() > 0 && !routing.is_cut_off(mono_now())
    }
}
