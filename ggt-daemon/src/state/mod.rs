//! What the daemon's threads share.

mod folders;
mod force;
mod gossip;
mod pace;

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

use ggt_core::blame::BlameTable;
use ggt_core::claims::AttemptId;
use ggt_core::claims::ClaimHolder;
use ggt_core::ident::CustomerName;
use ggt_core::ident::DaemonName;
use ggt_core::ident::WorkloadName;
use ggt_core::limits::ShareBook;
use ggt_core::membership::PeerOptions;
use ggt_core::membership::PeerTable;
use ggt_core::retries::RetryBudget;
use ggt_core::routing::RoutingTable;
use ggt_core::routing::TargetKey;
use ggt_wire::platform::FolderKind;
use ggt_wire::seal::FleetKeys;

pub use folders::FolderStore;
pub use force::ForceConfig;
pub use gossip::GossipState;
pub use pace::PaceGuard;

use crate::clock::mono_now;
use crate::clock::wall_now;
use crate::lifecycle::DrainState;
use crate::lock::lock;
use crate::metrics::DaemonMetrics;
use crate::settings::DaemonSettings;
use crate::upstream::KeptChannels;

/// Requests under suspicion of crashing their targets, at most.
const MAX_SUSPECTS: usize = 4_096;

/// Questions for epochs that have not been answered, by their nonces.
pub type OpenQuestions = BTreeMap<u64, DaemonName>;

/// Asks to fetch a folder that a peer has shown.
#[derive(Clone, Debug)]
pub struct FetchHint {
    /// The folder.
    pub folder: FolderKind,
    /// The peer's address.
    pub peer: std::net::SocketAddr,
}

/// What the daemon's threads share.
pub struct SharedState {
    /// The settings.
    pub settings: DaemonSettings,
    /// The fleet's keys.
    pub keys: FleetKeys,
    /// The instruments.
    pub metrics: DaemonMetrics,
    /// This life of the daemon, later than any former one.
    pub incarnation: u64,
    /// Targets and their loads.
    pub routing: Mutex<RoutingTable>,
    /// Connections to targets that wait for a request.
    pub channels: KeptChannels<TargetKey>,
    /// Customers' shares.
    pub shares: Mutex<ShareBook<WorkloadName, CustomerName>>,
    /// The retry budget.
    pub retries: Mutex<RetryBudget>,
    /// Requests that crash targets.
    pub blame: Mutex<BlameTable>,
    /// Claims held for others.
    pub holder: Mutex<ClaimHolder>,
    /// Peers and news.
    pub gossip: Mutex<GossipState>,
    /// Questions for epochs that have not been answered.
    pub questions: Mutex<OpenQuestions>,
    /// The published folders.
    pub folders: Mutex<FolderStore>,
    /// Notices pauses of the process.
    pub pace: PaceGuard,
    /// Whether the daemon is stopping, and what is in flight.
    pub drain: DrainState,
    /// Carries datagrams to and from peers.
    pub socket: UdpSocket,
    /// Wakes the thread that fetches folders from peers.
    pub fetch_hints: Sender<FetchHint>,
    /// Set once the seeds have been asked, so that an old platform is not believed before them.
    pub bootstrapped: OnceLock<()>,
    force: RwLock<Option<Arc<ForceConfig>>>,
    next_number: AtomicU64,
}

impl SharedState {
    /// State of a daemon that starts now.
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
            PeerOptions { period_millis: settings.timing.gossip_ms, ..PeerOptions::default() };
        let options = PeerOptions { direct_millis: options.period_millis * 2 / 5, ..options };
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
            channels: KeptChannels::default(),
            shares: Mutex::default(),
            retries: Mutex::default(),
            blame: Mutex::new(BlameTable::new(u32::MAX, MAX_SUSPECTS)),
            holder: Mutex::new(ClaimHolder::new(settings.name.clone(), started_at)),
            gossip: Mutex::new(GossipState::new(peers, settings.limits.gossip_bytes, now)),
            questions: Mutex::default(),
            folders: Mutex::default(),
            pace: PaceGuard::new(now, settings.timing.pause_ms),
            drain: DrainState::default(),
            socket,
            fetch_hints,
            bootstrapped: OnceLock::new(),
            force: RwLock::default(),
            next_number: AtomicU64::new(1),
            settings,
        }
    }

    /// The configuration in force, if there is one.
    pub fn force(&self) -> Option<Arc<ForceConfig>> {
        self.force.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a configuration in force.
    pub fn set_force(&self, config: Arc<ForceConfig>) {
        *self.force.write().unwrap_or_else(PoisonError::into_inner) = Some(config);
    }

    /// A number that this life of the daemon has not used before.
    pub fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// The id of a new attempt to run a one-time action.
    pub fn new_attempt(&self) -> AttemptId {
        AttemptId {
            daemon: self.settings.name.clone(),
            incarnation: self.incarnation,
            number: self.next_number(),
        }
    }

    /// Whether the daemon takes requests: a configuration and a host list are in force and it is
    /// not stopping.
    pub fn is_ready(&self) -> bool {
        self.force().is_some()
            && lock(&self.routing).list_version() > 0
            && !self.drain.is_draining()
    }
}
