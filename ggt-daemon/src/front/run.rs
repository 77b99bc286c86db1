//! Starts the tasks of a daemon, reloads its settings and shuts it down.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clock::mono_now;
use crate::front::callers::serve_callers;
use crate::front::digests::run_digests;
use crate::front::digests::run_receiver;
use crate::front::forward::serve_peers;
use crate::front::internal::serve_internal;
use crate::front::lifetimes::run_lifetimes;
use crate::front::metrics::FrontMetrics;
use crate::front::origins::run_origins;
use crate::front::peers::run_fetch;
use crate::front::reach::run_reach;
use crate::front::settings::FrontSettings;
use crate::front::settings::parse_front_settings;
use crate::front::settings_change::SettingsChange;
use crate::front::settings_change::settings_digest;
use crate::front::state::FrontState;
use crate::front::state::StoreFolder;
use crate::front::store::run_past;
use crate::front::store::run_watch;
use crate::front::warmup::run_warmup;
use crate::lifecycle::RunningTimer;
use crate::lifecycle::spawn_loop;
use crate::logging::quoted;
use crate::metrics::MetricsError;

/// Milliseconds after the stop signal during which new connections are still accepted: the platform
/// only notices by its readiness checks, one per second.
const DRAIN_ANNOUNCE_MS: u64 = 2_800;
/// Milliseconds before the end of the grace period at which the process exits.
const GRACE_MARGIN_MS: u64 = 150;
/// Milliseconds before the exit at which the requests still in flight are ended, so that their callers get a
/// final response.
const CUT_MARGIN_MS: u64 = 200;
/// Interval at which a stopping daemon checks its open connections.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval at which the settings file is read again.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Why the daemon cannot start.
#[derive(Debug, Snafu)]
pub enum FrontError {
    /// The async runtime cannot be built.
    #[snafu(display("runtime: {source}"))]
    Runtime {
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// A listening address cannot be bound.
    #[snafu(display("{role} address {address}: {source}"))]
    Bind {
        /// Name of the setting that holds the address.
        role: &'static str,
        /// Address that cannot be bound.
        address: SocketAddr,
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// The metrics cannot be set up.
    #[snafu(display("{source}"), context(false))]
    Metrics {
        /// Underlying error of the exporter.
        source: MetricsError,
    },
}

/// Runs a daemon that serves the users' platform until it receives SIGTERM. `file` holds its
/// settings and is read again while it runs.
///
/// # Errors
/// [`FrontError`] when it cannot start.
pub fn run_front(file: &Path, settings: FrontSettings) -> Result<(), FrontError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    let local = LocalSet::new();
    let file = file.to_owned();
    local.block_on(&runtime, serve(file, settings))
}

async fn serve(file: PathBuf, settings: FrontSettings) -> Result<(), FrontError> {
    let mut stop_signals = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let reload_signals = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let state = Rc::new(FrontState::new(settings, FrontMetrics::new()?));
    let settings = state.settings();
    let callers = bind_tcp("callers", settings.callers).await?;
    let ready = bind_tcp("ready", settings.ready).await?;
    let admin = bind_tcp("admin", settings.admin).await?;
    let peers = bind_tcp("peer", settings.peer).await?;
    let context = BindSnafu { role: "peer", address: settings.peer };
    let socket = Rc::new(UdpSocket::bind(settings.peer).await.context(context)?);
    let socket = state.peer_socket.get_or_init(|| socket).clone();
    log::info!(
        "event=start name={} data_centre={} incarnation={} callers={} peer={} settings={:08x}",
        quoted(&settings.name),
        quoted(&settings.data_centre),
        state.incarnation,
        settings.callers,
        settings.peer,
        settings_digest(&settings),
    );
    for listener in [ready, admin] {
        spawn_local(serve_internal(state.clone(), listener));
    }
    spawn_local(serve_peers(state.clone(), peers));
    let looped = state.clone();
    spawn_loop("reach", move || run_reach(looped.clone()));
    let looped = state.clone();
    spawn_loop("watch", move || run_watch(looped.clone()));
    for folder in StoreFolder::ALL {
        let looped = state.clone();
        spawn_loop("fetch", move || run_fetch(looped.clone(), folder));
    }
    let looped = (state.clone(), socket.clone());
    spawn_loop("digests", move || run_digests(looped.0.clone(), looped.1.clone()));
    let looped = (state.clone(), socket.clone());
    spawn_loop("receiver", move || run_receiver(looped.0.clone(), looped.1.clone()));
    let looped = state.clone();
    spawn_loop("origins", move || run_origins(looped.clone()));
    let looped = state.clone();
    spawn_loop("lifetimes", move || run_lifetimes(looped.clone()));
    spawn_local(run_past(state.clone()));
    spawn_local(run_warmup(state.clone()));
    spawn_local(run_reload(state.clone(), file, reload_signals));
    spawn_local(serve_callers(state.clone(), callers));
    stop_signals.recv().await;
    shut_down(&state).await;
    Ok(())
}

async fn bind_tcp(role: &'static str, address: SocketAddr) -> Result<TcpListener, FrontError> {
    TcpListener::bind(address).await.context(BindSnafu { role, address })
}

/// Shuts down gracefully: requests that end within the grace period are not aborted.
///
/// First the daemon only reports that it is not ready and continues to serve, since the platform
/// and the callers notice with a delay. Then it closes its listener and idle connections, and waits
/// for the requests in flight. Those that outlast the grace period get a final response.
async fn shut_down(state: &FrontState) {
    let grace_ms = state.settings().grace_ms();
    let stopped_at = mono_now();
    let deadline = stopped_at + grace_ms.saturating_sub(GRACE_MARGIN_MS);
    let cut_at = stopped_at + grace_ms.saturating_sub(GRACE_MARGIN_MS + CUT_MARGIN_MS);
    let mut announcement = RunningTimer::new(DRAIN_ANNOUNCE_MS.min(grace_ms / 2), stopped_at);
    state.start_draining(cut_at);
    log::info!(
        "event=stop in_flight={} connections={}",
        state.in_flight.get(),
        state.edge.open_connections()
    );
    while !announcement.has_ended(mono_now()) && mono_now() < deadline {
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
    state.edge.close();
    // Connections already in the listener's backlog are served before idle ones are closed.
    sleep(DRAIN_CHECK_INTERVAL).await;
    state.edge.end();
    while mono_now() < cut_at && state.edge.open_connections() > 0 {
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
    if state.in_flight.get() > 0 {
        log::warn!("event=cut in_flight={}", state.in_flight.get());
    }
    state.edge.cut();
    while mono_now() < deadline && state.edge.open_connections() > 0 {
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
    log::info!("event=stopped in_flight={}", state.in_flight.get());
}

/// Reads the settings file again on SIGHUP and every [`RELOAD_INTERVAL`]; invalid settings are
/// logged and ignored.
async fn run_reload(state: Rc<FrontState>, file: PathBuf, mut reload_signals: Signal) {
    loop {
        tokio::select! {
            _ = reload_signals.recv() => {}
            () = sleep(RELOAD_INTERVAL) => {}
        }
        let text = match std::fs::read_to_string(&file) {
            Ok(text) => text,
            Err(e) => {
                log::warn!("event=reload file={} cause=\"{e}\" outcome=kept", file.display());
                continue;
            }
        };
        match parse_front_settings(&file, &text) {
            Ok(settings) if settings == *state.settings() => {}
            Ok(settings) => {
                let SettingsChange { in_force, after_restart } =
                    SettingsChange::between(&state.settings(), &settings);
                log::info!(
                    "event=reload file={} outcome=in-force settings={:08x} changed={} after_restart={}",
                    file.display(),
                    settings_digest(&settings),
                    quoted(&in_force.join(",")),
                    quoted(&after_restart.join(",")),
                );
                *state.settings.borrow_mut() = Rc::new(settings);
            }
            Err(e) => {
                log::warn!("event=reload cause={} outcome=kept", quoted(&e.to_string()));
            }
        }
    }
}
