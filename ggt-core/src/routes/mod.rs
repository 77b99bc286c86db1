//! Routes by host and path, services and customers' keys: one accepted configuration.

use std::collections::HashMap;

use crate::ident::mix_hash;
use crate::ident::stable_hash;

/// A service's part of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShare {
    /// The service.
    pub service: String,
    /// Its part, relative to the others'.
    pub weight: f64,
}

/// Where requests under one path go, and what may be done with them.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteEntry {
    /// The route's name.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// Path that begins the requests' paths; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether the reply is a stream of events.
    pub is_stream: bool,
    /// Whether a request may run more than once; for streams, whether they may be resumed.
    pub is_idempotent: bool,
    /// Longest time in milliseconds that a request is kept waiting.
    pub timeout_ms: u64,
    /// Milliseconds within which a reply, or a stream's first event, is on time.
    pub goal_ms: u64,
    /// Longest pause in milliseconds between events that is still on time.
    pub max_gap_ms: u64,
    /// Rank, 0 is the highest.
    pub priority: u32,
    /// Targets to which one request may be sent at most.
    pub max_attempts: u32,
    /// Whether no key is asked for.
    pub is_public: bool,
    /// Whether requests carry prompts that targets cache.
    pub is_sticky: bool,
    /// The services that share the route's requests.
    pub shares: Vec<ServiceShare>,
}

impl RouteEntry {
    /// The service that takes the request with this hash.
    pub fn service_for(&self, hash: u64) -> Option<&str> {
        let total: f64 = self.shares.iter().map(|share| share.weight.max(0.0)).sum();
        let unit = (hash >> 11) as f64 / (1_u64 << 53) as f64;
        let mut left = unit * total;
        for share in &self.shares {
            left -= share.weight.max(0.0);
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.last().map(|share| share.service.as_str())
    }
}

/// What an engine can hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineShape {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens of running requests and cached parts that its memory holds.
    pub cache_tokens: u64,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceEntry {
    /// Its name.
    pub name: String,
    /// Connections that each of its targets accepts from all callers together.
    pub max_connections: Option<u32>,
    /// Shape of its engines, when its targets are model engines.
    pub engine: Option<EngineShape>,
}

/// What a customer's key grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerGrant {
    /// The customer's name.
    pub name: String,
    /// Its rank, which goes before a route's.
    pub priority: Option<u32>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Milliseconds within which a request's head must have come.
    pub head_timeout_ms: u64,
    /// Milliseconds for which a connection may stay idle.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One configuration: routes, services, customers and limits.
#[derive(Clone, Debug, Default)]
pub struct RouteBook {
    version: u64,
    hosts: HashMap<String, HashMap<String, RouteEntry>>,
    services: HashMap<String, ServiceEntry>,
    customers: Option<HashMap<String, CustomerGrant>>,
    limits: CallerLimits,
}

impl RouteBook {
    /// The book of one configuration; without `customers` no key is asked for.
    pub fn new(
        version: u64,
        routes: Vec<RouteEntry>,
        services: Vec<ServiceEntry>,
        customers: Option<HashMap<String, CustomerGrant>>,
        limits: CallerLimits,
    ) -> Self {
        let mut hosts: HashMap<String, HashMap<String, RouteEntry>> = HashMap::new();
        for route in routes {
            let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            host.insert(route.path_prefix.clone(), route);
        }
        let services = services.into_iter().map(|service| (service.name.clone(), service));
        Self { version, hosts, services: services.collect(), customers, limits }
    }

    /// The configuration's version, which rises.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Bounds on what callers may send.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// The route with the longest prefix of `path` among the routes of `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteEntry> {
        let prefixes = self.hosts.get(&host.to_ascii_lowercase())?;
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.map(|(end, _)| &path[..=end]).find_map(|prefix| prefixes.get(prefix))
    }

    /// Whether requests must bear a key.
    pub fn asks_key(&self) -> bool {
        self.customers.is_some()
    }

    /// What `key` grants.
    pub fn customer(&self, key: &str) -> Option<&CustomerGrant> {
        self.customers.as_ref()?.get(key)
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        self.services.get(name)
    }
}

/// Places one request of a caller among a route's services.
pub fn share_hash(attempt_id: &str) -> u64 {
    const SHARE_SEED: u64 = 0x9e37_79b9_7f4a_7c15;
    mix_hash(SHARE_SEED, stable_hash(attempt_id.as_bytes()))
}
