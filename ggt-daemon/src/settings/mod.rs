//! The daemon's settings file.

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

/// Shortest fleet key in characters.
const MIN_KEY_CHARS: usize = 16;

/// Why the settings are refused.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{}: cannot be read: {source}", file.display()))]
    Read {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A value is missing, unknown, of the wrong type or out of range.
    #[snafu(display("{}: {path}: {cause}", file.display()))]
    Value {
        /// The file.
        file: PathBuf,
        /// Path in the JSON.
        path: String,
        /// What is wrong.
        cause: String,
    },
}

/// What one daemon is told of itself and its surroundings.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// The daemon's name in the roster.
    pub name: DaemonName,
    /// Its data centre.
    pub data_centre: CentreName,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where other daemons reach it, by TCP and by UDP.
    pub peer: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// The key that operators present.
    pub admin_key: String,
    /// The platform's addresses, tried in turn.
    pub platform: Vec<SocketAddr>,
    /// Peers to ask for the configuration at the start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Keys that the fleet's daemons share, the signing one first.
    pub fleet_keys: Vec<String>,
    /// Limits on what callers may send.
    #[serde(default)]
    pub limits: EdgeLimits,
    /// Timing of the daemon's own work.
    #[serde(default)]
    pub timing: TimingSettings,
    /// File that the log is written to; standard error when absent.
    #[serde(default)]
    pub log_file: Option<PathBuf>,
    /// Least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EdgeLimits {
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Bytes of a one-time action's reply.
    pub max_action_reply_bytes: usize,
    /// Requests in flight at once.
    pub max_concurrent: usize,
    /// Claims kept for others.
    pub max_claims: usize,
    /// Bytes of replies kept with the claims.
    pub max_claim_reply_bytes: usize,
    /// Bytes of gossip that may be sent in a second; about as many come in.
    pub gossip_bytes: u32,
}

impl Default for EdgeLimits {
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

/// Timing of the daemon's own work, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimingSettings {
    /// Longest time that a request may take.
    pub request_ms: u64,
    /// Longest time to connect to a target, a peer or the platform.
    pub connect_ms: u64,
    /// Between pings of peers.
    pub gossip_ms: u64,
    /// Between probes of a target.
    pub probe_ms: u64,
    /// Longest time that a watch waits at the platform.
    pub watch_ms: u64,
    /// First pause after a failed fetch; it doubles, with jitter, up to `backoff_max_ms`.
    pub backoff_ms: u64,
    /// Longest pause after failed fetches.
    pub backoff_max_ms: u64,
    /// Longest time that a starting daemon gathers revisions before it takes the highest.
    pub bootstrap_ms: u64,
    /// A gap between ticks beyond which the daemon treats what it knows as old.
    pub pause_ms: u64,
    /// Longest time after a pause for which it waits for fresh facts.
    pub refresh_ms: u64,
    /// Time between a choice of target and the first byte, beyond which it must choose anew.
    pub send_ms: u64,
    /// From the order to stop until no new request is taken.
    pub drain_announce_ms: u64,
    /// From the order to stop until what is still in flight is cut.
    pub drain_ms: u64,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            request_ms: 600_000,
            connect_ms: 1_000,
            gossip_ms: 1_000,
            probe_ms: 3_000,
            watch_ms: 30_000,
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

fn default_log_level() -> String {
    "info".to_owned()
}

/// What is wrong with settings that could be read: the path in the JSON and the cause.
pub type SettingsFault = (&'static str, &'static str);

/// Parses and checks the text of a settings file.
///
/// # Errors
/// [`SettingsError::Value`] names the path in the JSON and the cause.
pub fn parse_settings(file: &Path, text: &str) -> Result<DaemonSettings, SettingsError> {
    parse_checked(file, text, find_fault)
}

/// Parses settings of any kind and checks them by `find_fault`.
///
/// # Errors
/// [`SettingsError::Value`] names the path in the JSON and the cause.
pub fn parse_checked<T, F>(file: &Path, text: &str, find_fault: F) -> Result<T, SettingsError>
where
    T: DeserializeOwned,
    F: Fn(&T) -> Option<SettingsFault>,
{
    let refused =
        |path: String, cause: String| SettingsError::Value { file: file.to_owned(), path, cause };
    let mut reader = serde_json::Deserializer::from_str(text);
    let settings: T = serde_path_to_error::deserialize(&mut reader)
        .map_err(|e| refused(e.path().to_string(), e.inner().to_string()))?;
    match find_fault(&settings) {
        Some((path, cause)) => Err(refused(path.to_owned(), cause.to_owned())),
        None => Ok(settings),
    }
}

fn find_fault(settings: &DaemonSettings) -> Option<SettingsFault> {
    let limits = &settings.limits;
    let timing = &settings.timing;
    let addresses = BTreeSet::from([settings.callers, settings.peer, settings.admin]);
    let level = settings.log_level.parse::<log::LevelFilter>();
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
            settings.fleet_keys.iter().any(|key| key.len() < MIN_KEY_CHARS),
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
            "is before the announcement",
        ),
        ("log_level", level.is_err(), "must be error, warn, info, debug or trace"),
    ];
    checks.into_iter().find(|(_, is_wrong, _)| *is_wrong).map(|(path, _, cause)| (path, cause))
}
