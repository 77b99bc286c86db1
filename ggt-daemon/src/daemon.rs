//! Starts the daemon's threads and servers and shuts them down gracefully.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::bounded;
use http::Method;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

use crate::admin::serve_admin;
use crate::clock::mono_now;
use crate::dispatch::CancelRequest;
use crate::dispatch::RequestSpawner;
use crate::edge::EdgeContext;
use crate::edge::EdgeHandle;
use crate::edge::serve_callers;
use crate::lifecycle::RunningTimer;
use crate::lock::lock;
use crate::metrics::DaemonMetrics;
use crate::metrics::MetricsError;
use crate::peers::PeerLinks;
use crate::peers::announce_departure;
use crate::peers::run_epoch_queries;
use crate::peers::run_gossip;
use crate::peers::serve_peers;
use crate::peers::sweep_items;
use crate::probes::run_probes;
use crate::settings::DaemonSettings;
use crate::state::SharedState;
use crate::sync::run_fetching;
use crate::sync::run_watching;
use crate::upstream::blocking_call;
use ggt_wire::platform::FolderKind;

/// Worker threads of the async runtime.
const RUNTIME_WORKER_THREADS: usize = 1;
/// Capacity of the queue of fetch hints.
const MAX_FETCH_HINTS: usize = 64;
/// Capacity of the queue of requests to cancel at targets.
const MAX_CANCELS: usize = 1_024;
/// Milliseconds before the drain deadline at which requests in flight are ended, so that their callers get a
/// final response.
const CUT_MARGIN_MS: u64 = 200;
/// Poll interval of the shutdown; also the time that remaining tasks get at its end.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which expired claims, crash records, idle connections and gossip items are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a cancel call to a target.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Why the daemon cannot start.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// An address cannot be bound.
    #[snafu(display("{role} address {address}: {source}"))]
    Bind {
        /// Key of the address in the settings: callers, peer or admin.
        role: &'static str,
        /// Configured address.
        address: SocketAddr,
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// The async runtime cannot start.
    #[snafu(display("runtime: {source}"))]
    Runtime {
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// The metrics exporter cannot be built.
    #[snafu(display("{source}"), context(false))]
    Metrics {
        /// Underlying exporter error.
        source: MetricsError,
    },
}

/// Result of a shutdown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOutcome {
    /// Ids of the requests that were aborted at the drain deadline.
    pub aborted: Vec<String>,
}

/// Runs a daemon until a signal or an operator starts the drain, and drains it.
///
/// # Errors
/// [`DaemonError`] when it cannot start.
pub fn run_daemon(settings: DaemonSettings) -> Result<StopOutcome, DaemonError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(RUNTIME_WORKER_THREADS)
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let callers = bind_tcp(&runtime, "callers", settings.callers)?;
    let peers = bind_tcp(&runtime, "peer", settings.peer)?;
    let socket = UdpSocket::bind(settings.peer)
        .context(BindSnafu { role: "peer", address: settings.peer })?;
    let admin = bind_tcp(&runtime, "admin", settings.admin)?;
    let (fetch_hints, fetch_receiver) = bounded(MAX_FETCH_HINTS);
    let (drain_requests, drain_receiver) = bounded(1);
    let (cancels, cancel_receiver) = bounded(MAX_CANCELS);
    let state = Arc::new(SharedState::new(settings, DaemonMetrics::new()?, fetch_hints, socket));
    let links = Arc::new(PeerLinks::new(state.clone()));
    log::info!(
        "event=start data_centre={} incarnation={} callers={} peer={} admin={}",
        state.settings.data_centre,
        state.incarnation,
        state.settings.callers,
        state.settings.peer,
        state.settings.admin,
    );
    start_threads(&state, &links, &runtime, fetch_receiver, cancel_receiver);
    runtime.spawn(serve_admin(state.clone(), admin, drain_requests.clone()));
    start_signals(drain_requests);
    let edge = start_edge(&state, &links, &runtime, cancels, callers);
    let server = serve_peers(state.clone(), peers);
    runtime.spawn(async move {
        if let Err(e) = server.await {
            log::error!("event=peer-server cause=\"{e}\"");
        }
    });
    // Fails only if all senders are gone; no drain can be requested then, so the daemon stops.
    let _ = drain_receiver.recv();
    let outcome = shut_down(&state, &edge);
    runtime.shutdown_timeout(DRAIN_CHECK_INTERVAL);
    Ok(outcome)
}

fn bind_tcp(
    runtime: &Runtime,
    role: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, DaemonError> {
    runtime.block_on(TcpListener::bind(address)).context(BindSnafu { role, address })
}

fn start_threads(
    state: &Arc<SharedState>,
    links: &Arc<PeerLinks>,
    runtime: &Runtime,
    fetch_hints: Receiver<crate::state::FetchHint>,
    cancels: Receiver<CancelRequest>,
) {
    let handle = runtime.handle().clone();
    spawn("gossip", state.clone(), |state| run_gossip(&state));
    spawn(
        "fetch",
        (state.clone(), links.clone(), handle.clone()),
        move |(state, links, handle)| {
            run_fetching(&state, &links, &handle, &fetch_hints);
        },
    );
    spawn("vouch", state.clone(), |state| run_epoch_queries(&state));
    for kind in FolderKind::ALL {
        spawn("watch", state.clone(), move |state| run_watching(&state, kind));
    }
    spawn("probe", state.clone(), |state| run_probes(&state));
    spawn("sweep", state.clone(), |state| run_sweeping(&state));
    spawn("cancel", state.clone(), move |state| run_cancelling(&state, &cancels));
}

fn spawn<T, F>(name: &str, value: T, work: F)
where
    T: Send + 'static,
    F: FnOnce(T) + Send + 'static,
{
    if let Err(e) = thread::Builder::new().name(name.to_owned()).spawn(move || work(value)) {
        log::error!("event=thread name={name} cause=\"{e}\"");
    }
}

fn start_signals(drain_requests: Sender<()>) {
    match Signals::new([SIGTERM, SIGINT]) {
        Ok(mut signals) => spawn("signals", (), move |()| {
            for signal in signals.forever() {
                log::info!("event=drain cause=signal signal={signal}");
                let _ = drain_requests.try_send(());
            }
        }),
        Err(e) => log::error!("event=signals cause=\"{e}\""),
    }
}

fn start_edge(
    state: &Arc<SharedState>,
    links: &Arc<PeerLinks>,
    runtime: &Runtime,
    cancels: Sender<CancelRequest>,
    listener: TcpListener,
) -> EdgeHandle {
    let handle = EdgeHandle::default();
    let max_concurrent = state.settings.limits.max_concurrent;
    let spawner = RequestSpawner::new(state.clone(), links.clone(), max_concurrent);
    let context = EdgeContext { state: state.clone(), spawner, cancels, handle: handle.clone() };
    runtime.spawn(serve_callers(Arc::new(context), listener));
    handle
}

fn run_sweeping(state: &SharedState) {
    loop {
        thread::sleep(SWEEP_INTERVAL);
        lock(&state.claim_holder).expire(crate::clock::wall_now());
        lock(&state.crashes).expire(mono_now());
        state.connections.sweep();
        sweep_items(state);
    }
}

fn run_cancelling(state: &SharedState, cancels: &Receiver<CancelRequest>) {
    for cancel in cancels {
        let path = format!("/cancel/{}", cancel.request_id);
        let connect = Duration::from_millis(state.settings.timing.connect_ms).min(CANCEL_TIMEOUT);
        let call =
            blocking_call(cancel.address, &Method::POST, &path, connect, CANCEL_TIMEOUT, None);
        let outcome = if call.is_ok() { "told" } else { "silent" };
        log::info!("event=cancel request_id={} outcome={outcome}", cancel.request_id);
    }
}

/// Shuts down without aborting requests that end before the drain deadline. The others get a final response
/// unless their response has begun.
///
/// The daemon first only announces its departure and still accepts connections, as the balancer
/// and the callers react with a delay. Then it closes its listener, and finally its idle
/// connections.
fn shut_down(state: &SharedState, edge: &EdgeHandle) -> StopOutcome {
    let timing = &state.settings.timing;
    let mut announce_timer = RunningTimer::new(timing.drain_announce_ms, mono_now());
    let deadline = mono_now() + timing.drain_ms;
    let cut_at = mono_now() + timing.drain_ms.saturating_sub(CUT_MARGIN_MS);
    state.drain.start();
    state.drain.set_end(cut_at);
    announce_departure(state);
    log::info!("event=draining in_flight={}", state.drain.count());
    while !announce_timer.has_ended(mono_now()) && mono_now() < cut_at {
        thread::sleep(DRAIN_CHECK_INTERVAL);
    }
    edge.close();
    // Waits for another `drain_announce_ms`, as the next response on a kept-alive connection carries
    // `connection: close`. Connections that are idle after that are closed.
    let mut idle_timer = RunningTimer::new(timing.drain_announce_ms, mono_now());
    while !idle_timer.has_ended(mono_now()) && mono_now() < cut_at && edge.open_connections() > 0 {
        thread::sleep(DRAIN_CHECK_INTERVAL);
    }
    edge.end();
    while mono_now() < cut_at && (state.drain.count() > 0 || edge.open_connections() > 0) {
        thread::sleep(DRAIN_CHECK_INTERVAL);
    }
    let aborted = state.drain.request_ids();
    edge.cut();
    while mono_now() < deadline && edge.open_connections() > 0 {
        thread::sleep(DRAIN_CHECK_INTERVAL);
    }
    aborted.iter().for_each(|id| log::warn!("event=cut-by-drain request_id={id}"));
    log::info!("event=stopped cut={}", aborted.len());
    StopOutcome { aborted }
}
