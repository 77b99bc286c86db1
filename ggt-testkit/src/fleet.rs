//! A fleet of daemons with engine, service, platform and network stand-ins, each a real process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use serde_json::Value;
use uuid::Uuid;

use crate::address::LoopbackNet;
use crate::http::HttpRequest;
use crate::http::HttpResponse;
use crate::layout::DaemonSpec;
use crate::layout::FleetOptions;
use crate::layout::TargetSpec;
use crate::layout::bearer_key;
use crate::layout::config_files;
use crate::layout::daemon_settings;
use crate::layout::host_files;
use crate::process::ChildProcess;
use crate::process::address_arg;
use crate::wait::wait_until;

// Last octets of the loopback addresses: one for each host, counted up from the `FIRST_` ones.
const PLATFORM_OCTET: u8 = 2;
const PROXY_OCTET: u8 = 3;
const FIRST_DAEMON_OCTET: u8 = 10;
const FIRST_TARGET_OCTET: u8 = 100;
const FIRST_SHARED_ENGINE_OCTET: u8 = 220;

static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

/// A fleet of real processes, which are killed when it is dropped.
#[derive(Debug)]
pub struct TestFleet {
    /// Options that the fleet was started with.
    pub options: FleetOptions,
    /// Daemons by index, started or not.
    pub daemons: Vec<DaemonSpec>,
    /// Targets by index, started or not.
    pub targets: Vec<TargetSpec>,
    /// Address of the platform stand-in.
    pub platform: SocketAddr,
    /// Control address of the fault proxy.
    pub proxy: SocketAddr,
    daemon_processes: Vec<Mutex<Option<ChildProcess>>>,
    target_processes: Vec<Option<ChildProcess>>,
    infrastructure: Vec<ChildProcess>,
    folder: PathBuf,
    net: LoopbackNet,
    own_routes: Option<OwnRoutes>,
}

/// How daemon 0 reaches the targets if it has routes of its own.
#[derive(Debug)]
struct OwnRoutes {
    /// Platform stand-in that only this daemon reads.
    platform: SocketAddr,
    /// Route to each target, by the target's index.
    targets: Vec<SocketAddr>,
}

impl TestFleet {
    /// Starts all processes and waits until each daemon is ready and may grant claims.
    pub fn start(options: FleetOptions) -> Self {
        let mut fleet = Self::prepare(options);
        fleet.start_all();
        fleet
    }

    /// Like [`Self::start`], but daemon 0 reaches each target by a route of its own, on which
    /// [`Self::set_own_fault_plan`] injects faults that the other daemons do not have. The routes are
    /// those of the first host list.
    pub fn start_with_own_routes(options: FleetOptions) -> Self {
        // A daemon with seeds would get their host list.
        let mut fleet = Self::prepare(FleetOptions { proxied: true, seeded: false, ..options });
        let platform = fleet.net.port(PLATFORM_OCTET);
        let listen = address_arg(platform);
        fleet.infrastructure.push(ChildProcess::spawn_standin(&["platform", "--listen", &listen]));
        fleet.daemons[0].platform = platform;
        let addresses = fleet.targets.iter().map(|target| target.address);
        let targets = addresses.map(|address| fleet.route_to(fleet.net, address)).collect();
        fleet.own_routes = Some(OwnRoutes { platform, targets });
        fleet.start_all();
        fleet
    }

    fn start_all(&mut self) {
        for index in 0..self.targets.len() {
            // Engines with `-farmed-` in their name already run in a shared process.
            if !self.targets[index].name.contains("-farmed-") {
                self.start_target(index);
            }
        }
        self.publish_hosts();
        self.publish_config();
        (0..self.daemons.len()).for_each(|index| self.start_daemon(index));
        (0..self.daemons.len()).for_each(|index| self.await_ready(index));
    }

    /// Assigns all addresses, but starts only the platform, the fault proxy and the shared engine processes.
    ///
    /// # Panics
    /// When the folder for the fleet's files cannot be created.
    pub fn prepare(options: FleetOptions) -> Self {
        let net = LoopbackNet::allocate();
        let number = NEXT_FOLDER.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("ggt-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("should create the fleet's folder");
        let platform = net.port(PLATFORM_OCTET);
        let proxy = net.port(PROXY_OCTET);
        let infrastructure = vec![
            ChildProcess::spawn_standin(&["platform", "--listen", &address_arg(platform)]),
            ChildProcess::spawn_standin(&["proxy", "--control", &address_arg(proxy)]),
        ];
        let mut fleet = Self {
            daemons: Vec::new(),
            targets: Vec::new(),
            platform,
            proxy,
            daemon_processes: Vec::new(),
            target_processes: Vec::new(),
            infrastructure,
            folder,
            options,
            net,
            own_routes: None,
        };
        fleet.add_daemons(net);
        fleet.add_targets(net);
        fleet.start_shared_engines(net);
        fleet
    }

    fn add_daemons(&mut self, net: LoopbackNet) {
        let mut octet = FIRST_DAEMON_OCTET;
        for (centre, count) in self.options.centres.clone() {
            for number in 1..=count {
                let peer = net.port(octet);
                let platform = self.platform;
                let daemon = DaemonSpec {
                    name: format!("{centre}-{number}"),
                    centre: centre.to_owned(),
                    callers: net.port(octet),
                    peer,
                    advertised_peer: self.route_to(net, peer),
                    admin: net.port(octet),
                    platform: self.route_to(net, platform),
                };
                self.daemons.push(daemon);
                self.daemon_processes.push(Mutex::default());
                octet += 1;
            }
        }
    }

    fn add_targets(&mut self, net: LoopbackNet) {
        let mut octet = FIRST_TARGET_OCTET;
        let kinds = [("engine", "intake"), ("service", "filings")];
        for (centre, _) in self.options.centres.clone() {
            for (kind, workload) in kinds {
                let count =
                    if kind == "engine" { self.options.engines } else { self.options.services };
                for number in 1..=count {
                    let address = net.port(octet);
                    self.targets.push(TargetSpec {
                        name: format!("{centre}-{kind}-{number}"),
                        centre: centre.to_owned(),
                        workload,
                        address,
                        advertised_address: self.route_to(net, address),
                        incarnation: 1,
                        capacity: self.options.capacity,
                        leaving: false,
                    });
                    self.target_processes.push(None);
                    octet += 1;
                }
            }
        }
    }

    /// Starts one process per data centre that simulates many engines.
    fn start_shared_engines(&mut self, net: LoopbackNet) {
        let count = self.options.shared_process_engines;
        if count == 0 {
            return;
        }
        let centres: Vec<&str> = self.options.centres.iter().map(|(centre, _)| *centre).collect();
        for (octet, centre) in (FIRST_SHARED_ENGINE_OCTET..).zip(centres) {
            let first = net.ports(octet, count);
            let (listen, count_text) = (address_arg(first), count.to_string());
            let args = ["engine", "--listen", &listen, "--count", &count_text];
            self.infrastructure.push(ChildProcess::spawn_standin(&args));
            for number in 0..count {
                let mut address = first;
                address.set_port(first.port() + number);
                self.targets.push(TargetSpec {
                    name: format!("{centre}-farmed-{number}"),
                    centre: centre.to_owned(),
                    workload: "intake",
                    address,
                    advertised_address: address,
                    incarnation: 1,
                    capacity: self.options.capacity,
                    leaving: false,
                });
                self.target_processes.push(None);
            }
        }
    }

    /// The address at which others reach `to`: a new route of the fault proxy if the fleet is proxied, else
    /// `to` itself.
    fn route_to(&self, net: LoopbackNet, to: SocketAddr) -> SocketAddr {
        if !self.options.proxied {
            return to;
        }
        let listen = net.port(PROXY_OCTET);
        self.control_proxy(&format!("/control/route?listen={listen}&to={to}"));
        listen
    }

    /// Sends a control request to the fault proxy.
    ///
    /// # Panics
    /// When the proxy does not respond with status 200.
    pub fn control_proxy(&self, path: &str) {
        let response =
            HttpRequest::new("POST", self.proxy, path).send().expect("proxy should respond");
        assert_eq!(response.status, 200, "{path}: {}", response.body);
    }

    /// Replaces the fault plan of the route that listens on `advertised`; an empty plan ends its faults.
    pub fn set_fault_plan(&self, advertised: SocketAddr, plan: &str) {
        self.control_proxy(&format!("/control/plan?listen={advertised}&{plan}"));
    }

    /// Replaces the fault plan of all routes that only daemon 0 uses to reach the targets.
    pub fn set_own_fault_plan(&self, plan: &str) {
        let routes = self.own_routes.iter().flat_map(|routes| &routes.targets);
        let listen = routes.map(SocketAddr::to_string).collect::<Vec<_>>().join(",");
        self.control_proxy(&format!("/control/plan?listen={listen}&{plan}"));
    }

    /// Blocks all traffic between two groups of daemons, in both directions.
    pub fn partition(&self, left: &[usize], right: &[usize]) {
        for (from, to) in
            left.iter().flat_map(|a| right.iter().flat_map(move |b| [(*a, *b), (*b, *a)]))
        {
            let (ip, advertised) = (self.daemons[from].peer.ip(), self.daemons[to].advertised_peer);
            self.control_proxy(&format!("/control/block?listen={advertised}&ip={ip}"));
        }
    }

    /// Ends all partitions between daemons.
    pub fn heal(&self) {
        for daemon in &self.daemons {
            self.control_proxy(&format!("/control/unblock?listen={}", daemon.advertised_peer));
        }
    }

    /// Publishes the configuration; returns its revision.
    pub fn publish_config(&self) -> u64 {
        let files = config_files(&self.daemons, &self.options.config);
        let revision = self.publish("config", &files, None);
        if let Some(routes) = &self.own_routes {
            publish_to(routes.platform, "config", &files, Some(revision));
        }
        revision
    }

    /// Publishes the host list; returns its version.
    pub fn publish_hosts(&self) -> u64 {
        let revision = self.publish("hosts", &host_files(&self.targets), None);
        if let Some(routes) = &self.own_routes {
            let mut targets = self.targets.clone();
            for (target, route) in targets.iter_mut().zip(&routes.targets) {
                target.advertised_address = *route;
            }
            publish_to(routes.platform, "hosts", &host_files(&targets), Some(revision));
        }
        revision
    }

    /// Publishes files, at a given revision or at the next one; returns the revision.
    ///
    /// # Panics
    /// When the platform does not return a revision.
    pub fn publish(
        &self,
        folder: &str,
        files: &BTreeMap<String, String>,
        revision: Option<u64>,
    ) -> u64 {
        publish_to(self.platform, folder, files, revision)
    }

    /// Publishes the current host list after `lag_ms` milliseconds, as the next version at that time.
    pub fn publish_hosts_delayed(&self, lag_ms: u64) {
        let path = format!("/control/publish/hosts?lag_ms={lag_ms}");
        let body = serde_json::to_string(&host_files(&self.targets)).unwrap_or_default();
        HttpRequest::new("POST", self.platform, &path).body(&body).send();
    }

    /// Sets the fault mode of the platform stand-in, such as `stalled` or `down`; `up` ends it.
    pub fn set_platform_mode(&self, mode: &str) {
        let path = format!("/control/mode/{mode}");
        HttpRequest::new("POST", self.platform, &path).send();
    }

    /// Starts a target; an earlier process of it must have ended, as the new one binds the same address.
    pub fn start_target(&mut self, index: usize) {
        let target = &self.targets[index];
        let kind = if target.workload == "intake" { "engine" } else { "service" };
        let (listen, incarnation) = (address_arg(target.address), target.incarnation.to_string());
        let args = [kind, "--listen", &listen, "--incarnation", &incarnation];
        self.target_processes[index] = Some(ChildProcess::spawn_standin(&args));
    }

    /// The process of a target.
    ///
    /// # Panics
    /// When it has not been started.
    pub fn target_process(&mut self, index: usize) -> &mut ChildProcess {
        self.target_processes[index].as_mut().expect("target should have been started")
    }

    /// Process id of a daemon; `None` when it has not been started.
    pub fn daemon_pid(&self, index: usize) -> Option<u32> {
        self.lock_daemon_process(index).as_ref().map(ChildProcess::id)
    }

    /// Starts a daemon without state; an earlier process of it must have ended, as the new one binds the same
    /// addresses.
    ///
    /// # Panics
    /// When its settings file cannot be written.
    pub fn start_daemon(&self, index: usize) {
        let daemon = &self.daemons[index];
        let seeds: Vec<SocketAddr> = self
            .daemons
            .iter()
            .filter(|other| self.options.seeded && other.name != daemon.name)
            .map(|other| other.advertised_peer)
            .collect();
        let log_file = self.folder.join(format!("{}.log", daemon.name));
        let log_file = log_file.display().to_string();
        let settings = daemon_settings(daemon, &seeds, &log_file, &self.options.settings);
        let file = self.folder.join(format!("{}.json", daemon.name));
        std::fs::write(&file, settings.to_string()).expect("should write the settings file");
        *self.lock_daemon_process(index) = Some(ChildProcess::spawn_daemon(&file));
    }

    /// The process of a daemon.
    ///
    /// # Panics
    /// When it has not been started.
    pub fn daemon_process(&mut self, index: usize) -> &mut ChildProcess {
        let slot = self.daemon_processes[index].get_mut().unwrap_or_else(PoisonError::into_inner);
        slot.as_mut().expect("daemon should have been started")
    }

    /// Sends a daemon SIGTERM, on which it shuts down gracefully.
    ///
    /// # Panics
    /// When it has not been started.
    pub fn terminate_daemon(&self, index: usize) {
        self.lock_daemon_process(index)
            .as_ref()
            .expect("daemon should have been started")
            .terminate();
    }

    /// Kills a daemon with SIGKILL.
    ///
    /// # Panics
    /// When it has not been started.
    pub fn kill_daemon(&self, index: usize) {
        self.lock_daemon_process(index).as_mut().expect("daemon should have been started").kill();
    }

    /// Shuts a daemon down gracefully, starts it again and waits until it is ready.
    ///
    /// # Panics
    /// When it has not been started.
    pub fn restart_gracefully(&self, index: usize) {
        let process = self.lock_daemon_process(index).take();
        let mut process = process.expect("daemon should have been started");
        process.terminate();
        process.wait();
        self.start_daemon(index);
        self.await_ready(index);
    }

    fn lock_daemon_process(&self, index: usize) -> MutexGuard<'_, Option<ChildProcess>> {
        self.daemon_processes[index].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a daemon is ready and has received the roster epochs of all others.
    pub fn await_ready(&self, index: usize) {
        let name = &self.daemons[index].name;
        wait_until(&format!("{name} is ready"), || {
            self.status(index).is_some_and(|status| {
                status["ready"] == true && status["unheard_peers"].as_u64() == Some(0)
            })
        });
        // Daemons grant only keys created more than twice the clock error of 20 ms after they became ready.
        std::thread::sleep(std::time::Duration::from_millis(50));
    }

    /// A daemon's status report; `None` without a response of status 200.
    pub fn status(&self, index: usize) -> Option<Value> {
        let response = HttpRequest::new("GET", self.daemons[index].admin, "/status")
            .bearer("operator-key")
            .send()?;
        (response.status == 200).then(|| response.json())
    }

    /// Waits until a condition holds for a daemon's status report; `what` names it in the error.
    pub fn await_status<F>(&self, what: &str, index: usize, condition: F)
    where
        F: Fn(&Value) -> bool,
    {
        let name = &self.daemons[index].name;
        wait_until(&format!("{name}: {what}"), || {
            self.status(index).is_some_and(|status| condition(&status))
        });
    }

    /// A daemon's log file, with the lines of all its processes.
    pub fn log(&self, index: usize) -> String {
        let file = self.folder.join(format!("{}.log", self.daemons[index].name));
        std::fs::read_to_string(file).unwrap_or_default()
    }

    /// A request to a daemon with the key of the customer `contabil`.
    pub fn request(&self, index: usize, method: &str, path: &str) -> HttpRequest {
        let address = self.daemons[index].callers;
        HttpRequest::new(method, address, path).bearer(&bearer_key("contabil"))
    }

    /// Submits a filing with an idempotency key; `None` when no response head arrived.
    pub fn submit(&self, index: usize, key: &str, body: &str) -> Option<HttpResponse> {
        self.request(index, "POST", "/filings").header("idempotency-key", key).body(body).send()
    }

    /// How often each idempotency key ran, as counted by all service stand-ins.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        let mut runs = BTreeMap::new();
        for target in self.targets.iter().filter(|target| target.workload == "filings") {
            let response = HttpRequest::new("GET", target.address, "/control/runs").send();
            let counts: BTreeMap<String, u64> = response
                .and_then(|response| serde_json::from_str(&response.body).ok())
                .unwrap_or_default();
            for (key, count) in counts {
                *runs.entry(key).or_default() += count;
            }
        }
        runs
    }

    /// Sends a control request to a target.
    pub fn control_target(&self, index: usize, command: &str) -> Option<HttpResponse> {
        let path = format!("/control/{command}");
        HttpRequest::new("POST", self.targets[index].address, &path).send()
    }

    /// Indices of the targets of a workload.
    pub fn targets_of(&self, workload: &str) -> Vec<usize> {
        (0..self.targets.len()).filter(|at| self.targets[*at].workload == workload).collect()
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("the fleet's logs are in {}", self.folder.display());
            return;
        }
        // A leftover folder in the temporary directory does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Publishes files on one platform stand-in; returns the revision.
fn publish_to(
    platform: SocketAddr,
    folder: &str,
    files: &BTreeMap<String, String>,
    revision: Option<u64>,
) -> u64 {
    let query = revision.map_or_else(String::new, |revision| format!("?revision={revision}"));
    let path = format!("/control/publish/{folder}{query}");
    let body = serde_json::to_string(files).expect("files should serialize as JSON");
    let response = HttpRequest::new("POST", platform, &path).body(&body).send();
    response
        .and_then(|response| response.json()["revision"].as_u64())
        .expect("platform should return the revision")
}

/// A new idempotency key, a UUIDv7 with the current time.
pub fn create_key() -> String {
    Uuid::now_v7().to_string()
}
