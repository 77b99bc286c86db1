//! Settings of a daemon that serves the users' platform.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

use crate::settings::InvalidSetting;
use crate::settings::SettingsError;
use crate::settings::parse_checked;
use ggt_core::connections::ConnectionLimits;
use ggt_core::retry_window::RetryLimit;
use ggt_core::routes::CallerLimits;
use ggt_core::routes::RegionMap;

const MILLIS_PER_SECOND: f64 = 1_000.0;
const BYTES_PER_MEGABYTE: f64 = 1_000_000.0;
/// Share of the memory that the bodies of requests may take together.
const REQUEST_BODIES_SHARE: f64 = 0.2;
/// Megabytes that they may take at least.
const MIN_REQUEST_BODIES_MB: f64 = 16.0;
/// Megabytes that they may take where the memory is not known.
const DEFAULT_REQUEST_BODIES_MB: f64 = 48.0;
/// Share of the memory that the connections of callers may take together, beside the bodies of their requests.
const CONNECTIONS_SHARE: f64 = 0.4;
/// Megabytes that they may take where the memory is not known.
const DEFAULT_CONNECTIONS_MB: f64 = 256.0;
/// Share of the open files that they may be; the rest is for targets, other daemons, the store and files.
const CALLERS_FILES_SHARE: f64 = 2.0 / 3.0;

/// Settings of one daemon that serves the users' platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontSettings {
    /// The daemon's name in logs.
    pub name: String,
    /// Data centre of the daemon's host.
    pub data_centre: String,
    /// Region of each data centre; empty if requests are not restricted to regions.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for the platform's readiness checks.
    pub ready: SocketAddr,
    /// Listen address for metrics.
    pub admin: SocketAddr,
    /// Listen address for other daemons, TCP and UDP.
    pub peer: SocketAddr,
    /// Addresses of some daemons; only the IP address is used, with the port of `peer`.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Seconds of changes that the store keeps, unless it discards them sooner. Accepted for settings files of earlier
    /// builds, without effect: nothing follows from it, since the store may discard them at any time.
    #[serde(default)]
    pub store_history_s: f64,
    /// The fleet's retry budget for each service.
    pub retries: RetrySettings,
    /// Bandwidth of the host's link in megabits per second.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// Megabytes of memory that the process may take; `None` if that is not known.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Megabytes that the bodies of requests may take together; unless given, a fifth of `memory_mb`.
    #[serde(default)]
    pub request_bodies_mb: Option<f64>,
    /// Megabytes that the connections of callers may take together, beside the bodies of their requests; unless given, two
    /// fifths of `memory_mb`.
    #[serde(default)]
    pub connections_mb: Option<f64>,
    /// Number of files that the process may have open, if the host allows fewer than the system; `None` if only the
    /// system's limit counts.
    #[serde(default)]
    pub max_files: Option<u64>,
    /// Whether the whole fleet starts for the first time, so that no target has anything cached
    /// yet.
    #[serde(default)]
    pub first_start: bool,
    /// Seconds from the stop signal until the process is killed.
    pub grace_s: f64,
    /// Milliseconds from the acknowledgement of a configuration until it must be in force at every daemon.
    #[serde(default = "default_change_delay_ms")]
    pub config_delay_ms: u64,
    /// Milliseconds from the acknowledgement that a target leaves until it must get no new requests.
    #[serde(default = "default_change_delay_ms")]
    pub leaving_delay_ms: u64,
    /// Milliseconds from the acknowledgement of an evacuation until its data centre must get no new requests.
    #[serde(default = "default_evacuation_delay_ms")]
    pub evacuation_delay_ms: u64,
    /// Seconds for which requests are refused after the crash of a target that they are blamed for;
    /// longer after each trial that crashes another one.
    #[serde(default = "default_crash_refusal_s")]
    pub crash_refusal_s: f64,
    /// Whether the durations of requests without a prompt show how fast targets are, so that slower ones get fewer.
    #[serde(default)]
    pub measure_work_times: bool,
    /// Whether customers' shares of an overloaded service are those of the whole fleet, by what all daemons report.
    #[serde(default)]
    pub fleet_shares: bool,
    /// Whether a request that finds no place waits for one that is certain within its latency objective.
    #[serde(default)]
    pub wait_for_room: bool,
    /// Least severe level to log: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

/// The fleet's retry budget for each service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries allowed per request, from 0 to 1.
    pub ratio: f64,
    /// Retries allowed in a window beyond the ratio.
    pub slack: f64,
    /// Length in seconds of the window over which requests and retries are counted.
    pub window_s: f64,
}

impl FrontSettings {
    /// Peer addresses of the seeds.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let hosts = self.seeds.iter().map(SocketAddr::ip);
        hosts.map(|host: IpAddr| SocketAddr::new(host, self.peer.port())).collect()
    }

    /// The region of each data centre.
    pub fn region_map(&self) -> RegionMap<'_> {
        RegionMap::new(&self.regions)
    }

    /// Bytes that the bodies of requests may take together.
    pub fn request_body_bytes(&self) -> usize {
        let share_mb = self.memory_mb.map(|memory_mb| memory_mb * REQUEST_BODIES_SHARE);
        let default_mb =
            share_mb.map_or(DEFAULT_REQUEST_BODIES_MB, |mb| mb.max(MIN_REQUEST_BODIES_MB));
        (self.request_bodies_mb.unwrap_or(default_mb) * BYTES_PER_MEGABYTE) as usize
    }

    /// What connections of callers may take, where callers have these limits and the system lets the process have so many
    /// files open.
    pub fn connection_limits(
        &self,
        callers: &CallerLimits,
        system_files: Option<u64>,
    ) -> ConnectionLimits {
        let share_mb = self.memory_mb.map(|memory_mb| memory_mb * CONNECTIONS_SHARE);
        let max_mb = self.connections_mb.or(share_mb).unwrap_or(DEFAULT_CONNECTIONS_MB);
        let max_files = self.max_files.into_iter().chain(system_files).min();
        let max_connections =
            max_files.map_or(usize::MAX, |files| (files as f64 * CALLERS_FILES_SHARE) as usize);
        ConnectionLimits {
            max_connections,
            max_bytes: (max_mb * BYTES_PER_MEGABYTE) as usize,
            max_head_bytes: callers.max_head_bytes,
        }
    }

    /// The fleet's retry budget for each service.
    pub fn retry_limit(&self) -> RetryLimit {
        RetryLimit {
            ratio: self.retries.ratio,
            slack: self.retries.slack,
            window_ms: (self.retries.window_s * MILLIS_PER_SECOND) as u64,
        }
    }

    /// Milliseconds from the acknowledgement of any change until every daemon must know it.
    pub fn change_delay_ms(&self) -> u64 {
        self.config_delay_ms.min(self.leaving_delay_ms).min(self.evacuation_delay_ms)
    }

    /// Milliseconds of the first refusal of requests that are blamed for crashes.
    pub fn crash_refusal_ms(&self) -> u64 {
        (self.crash_refusal_s * MILLIS_PER_SECOND) as u64
    }

    /// Milliseconds from the stop signal until the process is killed.
    pub fn grace_ms(&self) -> u64 {
        (self.grace_s * MILLIS_PER_SECOND) as u64
    }
}

fn default_crash_refusal_s() -> f64 {
    60.0
}

fn default_link_mbps() -> f64 {
    1_000.0
}

fn default_change_delay_ms() -> u64 {
    2_000
}

fn default_evacuation_delay_ms() -> u64 {
    5_000
}

fn default_log_level() -> String {
    "info".to_owned()
}

/// Whether a settings file is for the users' platform, which is the case if it has the key `store`.
pub fn is_front_settings(text: &str) -> bool {
    let value: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
    value.get("store").is_some()
}

/// Parses and checks the text of a settings file.
///
/// # Errors
/// [`SettingsError`] names the file, the path in the JSON and the cause.
pub fn parse_front_settings(file: &Path, text: &str) -> Result<FrontSettings, SettingsError> {
    parse_checked(file, text, find_invalid)
}

fn find_invalid(settings: &FrontSettings) -> Option<InvalidSetting> {
    let retries = &settings.retries;
    let log_level = settings.log_level.parse::<log::LevelFilter>();
    let checks = [
        ("name", settings.name.is_empty(), "must not be empty"),
        ("data_centre", settings.data_centre.is_empty(), "must not be empty"),
        ("peer", settings.peer.ip().is_unspecified(), "must be an address that peers can reach"),
        ("store_history_s", settings.store_history_s < 0.0, "must not be negative"),
        ("retries.ratio", !(0.0..=1.0).contains(&retries.ratio), "must lie between 0 and 1"),
        ("retries.slack", retries.slack < 0.0, "must not be negative"),
        ("retries.window_s", retries.window_s <= 0.0, "must be more than 0"),
        ("memory_mb", settings.memory_mb.is_some_and(|mb| mb <= 0.0), "must be more than 0"),
        (
            "request_bodies_mb",
            settings.request_bodies_mb.is_some_and(|mb| mb <= 0.0),
            "must be more than 0",
        ),
        (
            "connections_mb",
            settings.connections_mb.is_some_and(|mb| mb <= 0.0),
            "must be more than 0",
        ),
        ("max_files", settings.max_files == Some(0), "must be more than 0"),
        ("grace_s", settings.grace_s <= 0.0, "must be more than 0"),
        ("crash_refusal_s", settings.crash_refusal_s <= 0.0, "must be more than 0"),
        ("log_level", log_level.is_err(), "must be error, warn, info, debug or trace"),
    ];
    checks.into_iter().find(|(_, is_invalid, _)| *is_invalid).map(|(path, _, cause)| (path, cause))
}
