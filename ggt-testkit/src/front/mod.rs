//! A test fleet on the users' platform: daemons as processes, with the store and the servers as stand-ins on
//! threads of the test.

mod asked_peer;
mod links;
mod versions;

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use serde_json::Value;
use serde_json::json;

use ggt_platform::CONFIG_KEY;
use ggt_platform::READY_PATH;
use ggt_platform::TARGET_PREFIX;
use ggt_standin::users_platform::LinkKind;
use ggt_standin::users_platform::ServerStandin;
use ggt_standin::users_platform::StoreStandin;
use ggt_standin::users_platform::caller_headers;
use ggt_standin::users_platform::test_config;

pub use crate::front::asked_peer::AskedPeer;
pub use crate::front::links::DaemonLinks;
pub use crate::front::versions::VersionScript;
pub use crate::front::versions::versions_in;

use crate::address::LoopbackNet;
use crate::http::HttpRequest;
use crate::layout::merge;
use crate::log_book::LogBook;
use crate::process::ChildProcess;
use crate::wait::wait_until;

/// Deadline that callers send with each request.
const DEADLINE_MS: u64 = 20_000;
/// Last octet of the address of the daemon with number 0.
const FIRST_DAEMON_OCTET: usize = 100;
/// Port for gossip and calls between daemons, the same on each daemon's address.
const PEER_PORT: u16 = 1_990;

/// A daemon that runs on the users' platform.
pub struct FrontDaemon {
    /// The running process.
    pub process: ChildProcess,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address of the metrics.
    pub admin: SocketAddr,
    settings: PathBuf,
}

/// A store, servers and daemons; the daemons are killed when it is dropped.
pub struct FrontFleet {
    /// Store that holds the configuration and the server entries, at the servers' own addresses.
    pub store: StoreStandin,
    /// Links to the servers by index of the daemon; empty if the daemons reach the servers directly.
    pub links: Vec<DaemonLinks>,
    /// Data centres; daemons and servers belong to them in turns by their numbers.
    pub data_centres: Vec<&'static str>,
    /// Servers by index, registered or not.
    pub servers: Vec<ServerStandin>,
    /// Daemons by index.
    pub daemons: Vec<FrontDaemon>,
    /// Maximum number of open files of each daemon that starts from now on, if it is limited.
    pub max_files: Option<u64>,
    net: LoopbackNet,
    folder: PathBuf,
    /// Settings of all daemons that replace or extend the usual ones.
    settings: Value,
    /// Book of the log lines of daemons that start from now on, if they are kept.
    log_book: Option<Arc<LogBook>>,
}

impl FrontFleet {
    /// Starts a store with the test configuration, `servers` registered servers of the service `s` and
    /// `daemons` daemons, and waits until the daemons are ready.
    ///
    /// # Panics
    /// When any of them does not start.
    pub fn start(servers: usize, daemons: usize) -> Self {
        Self::start_with(servers, daemons, json!({}))
    }

    /// Starts a fleet like [`FrontFleet::start`], with these settings in addition.
    ///
    /// # Panics
    /// When any of them does not start.
    pub fn start_with(servers: usize, daemons: usize, settings: Value) -> Self {
        Self::start_fleet(servers, daemons, settings, false)
    }

    /// Starts a fleet like [`FrontFleet::start`], in which each daemon has its own links to the servers
    /// and its own store, all with the same configuration, server ids and instances.
    ///
    /// Daemons whose stores fail read entries, and with them links, from other daemons; so do some
    /// of 12 or more. [`LogBook::peer_entries`] tells.
    ///
    /// # Panics
    /// When any of them does not start.
    pub fn start_linked(servers: usize, daemons: usize) -> Self {
        Self::start_linked_with(servers, daemons, json!({}))
    }

    /// Starts a fleet like [`FrontFleet::start_linked`], with these settings in addition.
    ///
    /// # Panics
    /// When any of them does not start.
    pub fn start_linked_with(servers: usize, daemons: usize, settings: Value) -> Self {
        Self::start_fleet(servers, daemons, settings, true)
    }

    fn start_fleet(servers: usize, daemons: usize, settings: Value, is_linked: bool) -> Self {
        let net = LoopbackNet::allocate();
        let folder = std::env::temp_dir().join(format!("ggt-front-{}", net.ip(0)));
        std::fs::create_dir_all(&folder).expect("should create the settings folder");
        let store = StoreStandin::start(net.port(1)).expect("store should start");
        let linked_daemons = if is_linked { daemons } else { 0 };
        let mut fleet = Self {
            store,
            data_centres: vec!["a"],
            links: (0..linked_daemons).map(|_| DaemonLinks::start(net)).collect(),
            servers: Vec::new(),
            daemons: Vec::new(),
            max_files: None,
            net,
            folder,
            settings,
            log_book: None,
        };
        fleet.publish(&test_config(1));
        (0..servers).for_each(|number| fleet.add_server(&format!("i-{number}")));
        (0..daemons).for_each(|number| fleet.add_daemon(number, None));
        fleet.daemons.iter().for_each(await_ready);
        fleet
    }

    /// Keeps the log lines of daemons that start from now on.
    pub fn keep_logs(&mut self) -> Arc<LogBook> {
        self.log_book.get_or_insert_default().clone()
    }

    fn spawn_daemon(&self, number: usize, settings: &Path) -> ChildProcess {
        let program = older_program(number);
        let process =
            ChildProcess::spawn_daemon_of(program.as_deref(), settings, self.log_book.as_ref());
        if let Some(max_files) = self.max_files {
            process.limit_files(max_files);
        }
        process
    }

    /// Cuts a daemon off from all servers in this way, and returns when that is in force.
    pub fn cut(&self, daemon: usize, kind: LinkKind) {
        self.links[daemon].set(kind);
    }

    /// Ends a daemon's cut.
    pub fn heal(&self, daemon: usize) {
        self.cut(daemon, LinkKind::Open);
    }

    /// Gives each daemon its own links to these addresses, at which the servers are reached, and its own
    /// store, which is empty.
    ///
    /// # Panics
    /// When any of them does not start.
    pub fn link_daemons(&mut self, daemons: usize, addresses: &[SocketAddr]) {
        self.links = (0..daemons).map(|_| DaemonLinks::start(self.net)).collect();
        for links in &mut self.links {
            addresses.iter().for_each(|address| links.add(self.net, *address));
        }
    }

    /// Data centre of the daemon or the server with this number.
    pub fn data_centre(&self, number: usize) -> &'static str {
        self.data_centres[number % self.data_centres.len()]
    }

    /// The fleet's store and the stores of linked daemons.
    pub fn stores(&self) -> impl Iterator<Item = &StoreStandin> {
        self.links.iter().map(|links| &links.store).chain([&self.store])
    }

    /// Writes a configuration to all stores.
    pub fn publish(&self, config: &Value) {
        self.stores().for_each(|store| store.put(CONFIG_KEY, &config.to_string()));
    }

    /// Starts a server without registering it in the store.
    ///
    /// # Panics
    /// When it does not start.
    pub fn add_unregistered_server(&mut self, id: &str) {
        let server = ServerStandin::start(self.net.port(2), id).expect("server should start");
        self.links.iter_mut().for_each(|links| links.add(self.net, server.address));
        self.servers.push(server);
    }

    /// Registers the present instance of a server in all stores, in this state.
    pub fn register_in_state(&self, number: usize, state: &str) {
        let server = &self.servers[number];
        let registration = server.registration("s", self.data_centre(number), state);
        self.links.iter().for_each(|links| links.register(number, server, &registration));
        self.store.put(&format!("{TARGET_PREFIX}{}", server.id()), &registration);
    }

    /// Starts a server and registers it in the store as ready.
    ///
    /// # Panics
    /// When it does not start.
    pub fn add_server(&mut self, id: &str) {
        self.add_unregistered_server(id);
        self.register_in_state(self.servers.len() - 1, "ready");
    }

    /// Registers the present instance of one of the fleet's servers as ready.
    pub fn register(&self, server: &ServerStandin) {
        let number = self.servers.iter().position(|other| other.address == server.address);
        number.into_iter().for_each(|number| self.register_in_state(number, "ready"));
    }

    /// Restarts a crashed server as another instance, which replaces the old one in the store.
    ///
    /// # Panics
    /// When its address cannot be bound.
    pub fn restart_server(&self, number: usize, id: &str) {
        self.servers[number].restart(id).expect("server should start again");
        self.register_only(number);
    }

    /// Registers the present instance of a server, and removes all other registrations.
    pub fn register_only(&self, number: usize) {
        self.register_in_state(number, "ready");
        let key = format!("{TARGET_PREFIX}{}", self.servers[number].id());
        let others = self.store.keys(TARGET_PREFIX).into_iter().filter(|other| *other != key);
        others.for_each(|other| self.stores().for_each(|store| store.remove(&other)));
    }

    /// Removes the registration of a server.
    pub fn remove_registration(&self, id: &str) {
        self.stores().for_each(|store| store.remove(&format!("{TARGET_PREFIX}{id}")));
    }

    /// Number of requests for a path that reached any server.
    pub fn path_count(&self, path: &str) -> usize {
        let requests = self.servers.iter().flat_map(ServerStandin::requests);
        requests.filter(|request| request.path == path).count()
    }

    /// Value of a daemon's counter with these labels as in the Prometheus text format; zero if it
    /// has not been counted yet.
    pub fn metric(&self, daemon: usize, name: &str, labels: &str) -> f64 {
        let response = HttpRequest::new("GET", self.daemons[daemon].admin, "/metrics").send();
        let text = response.map(|response| response.body).unwrap_or_default();
        let mut lines = text.lines().filter(|line| line.starts_with(name) && line.contains(labels));
        let value = lines.next().and_then(|line| line.rsplit(' ').next()?.parse().ok());
        value.unwrap_or_default()
    }

    /// Starts a daemon that reads from `store`; if `None`, from its own store if the fleet is linked,
    /// else from the fleet's.
    ///
    /// # Panics
    /// When it does not start.
    pub fn add_daemon(&mut self, number: usize, store: Option<SocketAddr>) {
        self.add_daemon_with_seed(number, 0, store);
    }

    /// Starts a daemon that exchanges no digests with the others: it has only itself as a seed.
    ///
    /// # Panics
    /// When it does not start.
    pub fn add_isolated_daemon(&mut self, number: usize) {
        self.add_daemon_with_seed(number, number, None);
        self.daemons.last().into_iter().for_each(await_ready);
    }

    fn add_daemon_with_seed(&mut self, number: usize, seed: usize, store: Option<SocketAddr>) {
        let octet = octet_of(number);
        let (callers, ready, admin) =
            (self.net.port(octet), self.net.port(octet), self.net.port(octet));
        let own_store = self.links.get(number).map_or(self.store.address, |own| own.store.address);
        let mut settings = json!({
            "name": format!("d-{number}"),
            "data_centre": self.data_centre(number),
            "callers": callers,
            "ready": ready,
            "admin": admin,
            "peer": self.peer_address(number),
            // Only the IP address counts: seeds are contacted at the peer port.
            "seeds": [SocketAddr::new(self.net.ip(octet_of(seed)), 1)],
            "store": store.unwrap_or(own_store),
            "retries": { "ratio": 0.2, "slack": 50.0, "window_s": 10.0 },
            "grace_s": 8.0,
        });
        merge(&mut settings, &self.settings);
        let file = self.folder.join(format!("d-{number}.json"));
        std::fs::write(&file, settings.to_string()).expect("should write the settings file");
        let process = self.spawn_daemon(number, &file);
        self.daemons.push(FrontDaemon { process, callers, ready, admin, settings: file });
    }

    /// Address for digests and calls of the daemon with this number, which need not exist.
    pub fn peer_address(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.net.ip(octet_of(number)), PEER_PORT)
    }

    /// Reserves an address of the fleet on which nothing listens.
    pub fn unused_address(&self) -> SocketAddr {
        self.net.port(3)
    }

    /// Kills a daemon, starts it again and waits until it is ready.
    pub fn restart(&mut self, number: usize) {
        self.restart_without_waiting(number);
        await_ready(&self.daemons[number]);
    }

    /// Kills a daemon and starts it again without waiting until it is ready.
    pub fn restart_without_waiting(&mut self, number: usize) {
        self.daemons[number].process.kill();
        let process = self.spawn_daemon(number, &self.daemons[number].settings);
        self.daemons[number].process = process;
    }

    /// A request to a daemon with the test customer's key and the attempt id `id`.
    pub fn request(&self, daemon: usize, method: &str, path: &str, id: &str) -> HttpRequest {
        caller_request(self.daemons[daemon].callers, method, path, (id, DEADLINE_MS))
    }

    /// Number of requests with this attempt id that reached any server.
    pub fn request_count(&self, id: &str) -> usize {
        let requests = self.servers.iter().flat_map(ServerStandin::requests);
        requests.filter(|request| request.attempt_id() == id).count()
    }
}

impl Drop for FrontFleet {
    fn drop(&mut self) {
        self.daemons.clear();
        // A leftover folder in the temporary directory does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A request to an address for callers with the test customer's key, and with an attempt id and a deadline in
/// milliseconds.
pub fn caller_request(
    callers: SocketAddr,
    method: &str,
    path: &str,
    (id, deadline_ms): (&str, u64),
) -> HttpRequest {
    let request = HttpRequest::new(method, callers, path);
    let headers = caller_headers(id, deadline_ms);
    headers.iter().fold(request, |request, (name, value)| request.header(name, value))
}

/// Last octet of the addresses of the daemon with this number.
fn octet_of(number: usize) -> u8 {
    u8::try_from(FIRST_DAEMON_OCTET + number).expect("daemon number should be at most 155")
}

/// Program of the daemon with this number if it is of an earlier build, for runs by hand: each second daemon is, if
/// the environment names one.
fn older_program(number: usize) -> Option<PathBuf> {
    let program = std::env::var_os("GGT_OLDER_DAEMON")?;
    (!number.is_multiple_of(2)).then(|| program.into())
}

/// Waits until a daemon's readiness check succeeds.
pub fn await_ready(daemon: &FrontDaemon) {
    wait_until("the daemon is ready", || ready_status(daemon) == Some(200));
}

/// Status code of a daemon's readiness check; `None` without a response.
pub fn ready_status(daemon: &FrontDaemon) -> Option<u16> {
    HttpRequest::new("GET", daemon.ready, READY_PATH).send().map(|response| response.status)
}
