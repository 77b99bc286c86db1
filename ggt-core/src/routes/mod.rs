//! Routing configuration of the front end: routes, services, API keys of customers and limits.

mod regions;

pub use regions::AllowedRegions;
pub use regions::RegionMap;

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::ident::mix_hash;
use crate::ident::stable_hash;
use crate::targets::ColdStartLimit;

/// A service that serves part of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceWeight {
    /// Name of the service.
    pub service: String,
    /// Its weight among the services of the route; negative counts as 0.
    pub weight: f64,
}

/// One route: the requests that it matches, the services that serve them and how they may be
/// treated.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteEntry {
    /// Name of the route.
    pub name: String,
    /// Host name in the requests, in any case.
    pub host: String,
    /// Prefix of the requests' paths; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether the response is a stream of server-sent events.
    pub is_stream: bool,
    /// Whether a request may run more than once and, for a stream, be resumed.
    pub is_idempotent: bool,
    /// Timeout of a request in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective in milliseconds for a response, or for a stream's first event; 0 if not
    /// configured.
    pub goal_ms: u64,
    /// Objective in milliseconds for the gap between events of a stream; 0 if not configured.
    pub max_gap_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Whether requests carry prompts whose prefixes targets cache.
    pub is_sticky: bool,
    /// Services among which the requests are split.
    pub services: Vec<ServiceWeight>,
    /// Regions in which requests may be processed.
    pub allowed_regions: AllowedRegions,
}

impl RouteEntry {
    /// The service for the request with this hash, by weight; `None` if the route has no service.
    pub fn service_for(&self, hash: u64) -> Option<&str> {
        let total: f64 = self.services.iter().map(|service| service.weight.max(0.0)).sum();
        // The upper 53 bits of the hash, which an `f64` represents exactly.
        let fraction = (hash >> 11) as f64 / (1_u64 << 53) as f64;
        let mut remaining = fraction * total;
        for service in &self.services {
            remaining -= service.weight.max(0.0);
            if remaining < 0.0 {
                return Some(&service.service);
            }
        }
        self.services.last().map(|service| service.service.as_str())
    }
}

/// Capacity of a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCapacity {
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Size of its KV cache in tokens, for running requests and cached prefixes together.
    pub cache_tokens: u64,
    /// Number of tokens in each event of a stream but its last one, if it is stated.
    pub event_tokens: Option<u32>,
}

/// A group of targets that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: String,
    /// Path of its targets' health checks.
    pub health_path: Option<String>,
    /// Maximum number of connections that each of its targets accepts, from all daemons together.
    pub max_connections: Option<u32>,
    /// Capacity of its engines, if its targets are model engines.
    pub engine: Option<EngineCapacity>,
    /// What its targets take while they are cold, if that is limited.
    pub cold_start: Option<ColdStartLimit>,
    /// Whether the configuration states a limit of cold targets that is not usable, so that there is none.
    pub is_cold_start_malformed: bool,
}

/// The customer to whom an API key belongs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerEntry {
    /// Name of the customer.
    pub name: String,
    /// Priority of its requests; overrides that of the route.
    pub priority: Option<u32>,
    /// Regions in which its requests may be processed.
    pub allowed_regions: AllowedRegions,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request's head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Timeout of an idle connection, in milliseconds.
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

/// Routes, services, customers and limits of one configuration version.
#[derive(Clone, Debug, Default)]
pub struct RouteConfig {
    version: u64,
    hosts: HashMap<String, HashMap<String, RouteEntry>>,
    services: HashMap<String, ServiceEntry>,
    customers: Option<HashMap<String, CustomerEntry>>,
    limits: CallerLimits,
}

impl RouteConfig {
    /// Indexes one configuration. `customers` is keyed by API key; with `None` requests need no
    /// key.
    pub fn new(
        version: u64,
        routes: Vec<RouteEntry>,
        services: Vec<ServiceEntry>,
        customers: Option<HashMap<String, CustomerEntry>>,
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

    /// Version of the configuration; a newer one has a higher version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Bounds on what callers may send.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// The longest timeout of a route with streams, in milliseconds; 0 if there is none.
    pub fn longest_stream_ms(&self) -> u64 {
        let streams = self.hosts.values().flat_map(HashMap::values).filter(|route| route.is_stream);
        streams.map(|route| route.timeout_ms).max().unwrap_or_default()
    }

    /// The route of `host` with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteEntry> {
        let by_prefix = self.hosts.get(&host.to_ascii_lowercase())?;
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.map(|(end, _)| &path[..=end]).find_map(|prefix| by_prefix.get(prefix))
    }

    /// Whether requests of routes that are not public need an API key.
    pub fn requires_key(&self) -> bool {
        self.customers.is_some()
    }

    /// The customer to whom an API key belongs.
    pub fn customer(&self, key: &str) -> Option<&CustomerEntry> {
        self.customers.as_ref()?.get(key)
    }

    /// All regions that routes and customers name.
    pub fn named_regions(&self) -> BTreeSet<&str> {
        let routes = self.hosts.values().flat_map(HashMap::values);
        let customers = self.customers.iter().flat_map(HashMap::values);
        let of_routes = routes.flat_map(|route| route.allowed_regions.names());
        let of_customers = customers.flat_map(|customer| customer.allowed_regions.names());
        of_routes.chain(of_customers).collect()
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceEntry> {
        self.services.values()
    }

    /// Looks up a service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        self.services.get(name)
    }
}

/// Hash by which a request is assigned to one of its route's services.
pub fn split_hash(attempt_id: &str) -> u64 {
    const SPLIT_SEED: u64 = 0x9e37_79b9_7f4a_7c15;
    mix_hash(SPLIT_SEED, stable_hash(attempt_id.as_bytes()))
}
