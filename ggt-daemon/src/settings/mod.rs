//! Settings file of the daemon.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use ggt_core::ident::CentreName;
use ggt_core::ident::DaemonName;

/// Minimum length of a fleet key in bytes.
const MIN_FLEET_KEY_BYTES: usize = 16;

/// Why a settings file is rejected.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{}: cannot be read: {source}", file.display()))]
    Read {
        /// Path of the settings file.
        file: PathBuf,
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// A value is missing, unknown, of the wrong type or out of range.
    #[snafu(display("{}: {path}: {cause}", file.display()))]
    Value {
        /// Path of the settings file.
        file: PathBuf,
        /// Path of the value in the JSON document.
        path: String,
        /// Explanation of the error.
        cause: String,
    },
}

/// Settings of one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of the daemon in the roster.
    pub name: DaemonName,
    /// Data centre of the daemon.
    pub data_centre: CentreName,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for other daemons, over TCP and UDP.
    pub peer: SocketAddr,
    /// Listen address of the admin API.
    pub admin: SocketAddr,
    /// Bearer key of the admin API.
    pub admin_key: String,
    /// Addresses of the platform, tried in order.
    pub platform: Vec<SocketAddr>,
    /// Peer addresses from which published folders are fetched at start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Keys shared by all daemons of the fleet: the first signs, all verify.
    pub fleet_keys: Vec<String>,
    /// Limits on requests, memory and gossip traffic.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Timeouts and intervals.
    #[serde(default)]
    pub timing: TimingSettings,
    /// Path of the log file; standard error if absent.
    #[serde(default)]
    pub log_file: Option<PathBuf>,
    /// Least severe level to log: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

/// Limits on requests, memory and gossip traffic.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum size of a request's headers; at least 8192.
    pub max_head_bytes: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum size of the reply to a non-idempotent request.
    pub max_action_reply_bytes: usize,
    /// Maximum concurrent requests.
    pub max_concurrent: usize,
    /// Maximum number of claims that this daemon holds.
    pub max_claims: usize,
    /// Maximum total size of the replies stored with the claims.
    pub max_claim_reply_bytes: usize,
    /// Gossip bytes sent per second; about as many are received.
    pub gossip_bytes: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            max_action_reply_bytes: 1024 * 1024,
            max_concurrent: 1_024,
            max_claims: 100_000,
            max_claim_reply_bytes: 32 * 1024 * 1024,
            gossip_bytes: 700,
        }
    }
}

/// Time in milliseconds that a reply of the platform may take, in addition to the waiting time of a long poll.
pub const PLATFORM_REPLY_MS: u64 = 2_000;

/// Timeouts and intervals, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimingSettings {
    /// Maximum duration of a request, and the default deadline.
    pub request_ms: u64,
    /// Timeout for connecting to a target, a peer or the platform.
    pub connect_ms: u64,
    /// Interval between pings of peers.
    pub gossip_ms: u64,
    /// Interval between probes of a target.
    pub probe_ms: u64,
    /// Maximum time that a long poll waits at the platform.
    pub watch_ms: u64,
    /// Initial backoff after a failed read from the platform; doubles up to `backoff_max_ms`, with
    /// jitter.
    pub backoff_ms: u64,
    /// Maximum backoff after failed reads from the platform.
    pub backoff_max_ms: u64,
    /// Time limit for fetching folders from the seeds at start.
    pub bootstrap_ms: u64,
    /// Gap between ticks above which the process is assumed to have been paused and its data to be
    /// stale.
    pub pause_ms: u64,
    /// Maximum time that requests wait for fresh data after a pause.
    pub refresh_ms: u64,
    /// Maximum time from the choice of a target to the first byte sent; later, another target is
    /// tried.
    pub send_ms: u64,
    /// Time from the start of the drain until new connections are no longer accepted, and then again
    /// until idle connections are closed.
    pub drain_announce_ms: u64,
    /// Time from the start of the drain until requests in flight are aborted.
    pub drain_ms: u64,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            request_ms: 600_000,
            connect_ms: 1_000,
            gossip_ms: 1_000,
            probe_ms: 3_000,
            watch_ms: 8_000,
            backoff_ms: 200,
            backoff_max_ms: 10_000,
            bootstrap_ms: 3_000,
            pause_ms: 1_500,
            refresh_ms: 2_000,
            send_ms: 1_000,
            drain_announce_ms: 2_000,
            drain_ms: 120_000,
        }
    }
}

impl TimingSettings {
    /// Longest time in milliseconds from a change until a daemon that watches the platform reads it, while the
    /// platform replies on new connections: the change comes just after a watch that hangs was sent.
    pub const fn longest_change_ms(&self) -> u64 {
        let overdue_ms = self.connect_ms + self.watch_ms + PLATFORM_REPLY_MS;
        overdue_ms + self.backoff_ms + self.connect_ms + PLATFORM_REPLY_MS
    }
}

fn default_log_level() -> String {
    "info".to_owned()
}

/// An invalid value in settings of the right form: its JSON path and the explanation.
pub type InvalidSetting = (&'static str, &'static str);

/// Parses and validates the text of a settings file.
///
/// # Errors
/// [`SettingsError::Value`] with the JSON path and the explanation.
pub fn parse_settings(file: &Path, text: &str) -> Result<DaemonSettings, SettingsError> {
    parse_checked(file, text, find_invalid)
}

/// Parses settings of any type and validates them with `find_invalid`.
///
/// # Errors
/// [`SettingsError::Value`] with the JSON path and the explanation.
pub fn parse_checked<T, F>(file: &Path, text: &str, find_invalid: F) -> Result<T, SettingsError>
where
    T: DeserializeOwned,
    F: Fn(&T) -> Option<InvalidSetting>,
{
    let invalid =
        |path: String, cause: String| SettingsError::Value { file: file.to_owned(), path, cause };
    let mut reader = serde_json::Deserializer::from_str(text);
    let settings: T = serde_path_to_error::deserialize(&mut reader)
        .map_err(|e| invalid(e.path().to_string(), e.inner().to_string()))?;
    match find_invalid(&settings) {
        Some((path, cause)) => Err(invalid(path.to_owned(), cause.to_owned())),
        None => Ok(settings),
    }
}

fn find_invalid(settings: &DaemonSettings) -> Option<InvalidSetting> {
    let limits = &settings.limits;
    let timing = &settings.timing;
    let addresses = BTreeSet::from([settings.callers, settings.peer, settings.admin]);
    let log_level = settings.log_level.parse::<log::LevelFilter>();
    let checks = [
        ("name", settings.name.as_str().is_empty(), "must not be empty"),
        ("data_centre", settings.data_centre.as_str().is_empty(), "must not be empty"),
        ("callers", addresses.len() < 3, "callers, peer and admin must be three addresses"),
        ("peer", settings.peer.ip().is_unspecified(), "must be an address that peers can reach"),
        ("admin_key", settings.admin_key.is_empty(), "must not be empty"),
        ("platform", settings.platform.is_empty(), "must hold an address"),
        ("fleet_keys", settings.fleet_keys.is_empty(), "must hold a key"),
        (
            "fleet_keys",
            settings.fleet_keys.iter().any(|key| key.len() < MIN_FLEET_KEY_BYTES),
            "a key must have 16 characters or more",
        ),
        ("limits.max_concurrent", limits.max_concurrent == 0, "must be 1 or more"),
        ("limits.max_head_bytes", limits.max_head_bytes < 8_192, "must be 8192 or more"),
        ("timing.gossip_ms", timing.gossip_ms == 0, "must be 1 or more"),
        ("timing.probe_ms", timing.probe_ms == 0, "must be 1 or more"),
        ("timing.pause_ms", timing.pause_ms < 500, "must be 500 or more"),
        (
            "timing.drain_ms",
            timing.drain_ms < timing.drain_announce_ms,
            "must be at least timing.drain_announce_ms",
        ),
        ("log_level", log_level.is_err(), "must be error, warn, info, debug or trace"),
    ];
    checks.into_iter().find(|(_, is_invalid, _)| *is_invalid).map(|(path, _, cause)| (path, cause))
}
