//! The deployment under soak: a store, servers behind the fault proxy, and daemons.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;
use serde_json::json;

use ggt_platform::TARGET_PREFIX;
use ggt_standin::users_platform::AfterResponse;
use ggt_standin::users_platform::LinkKind;
use ggt_standin::users_platform::SilenceGate;
use ggt_standin::users_platform::SilenceKind;
use ggt_standin::users_platform::WireRequest;
use ggt_standin::users_platform::respond_with;
use ggt_standin::users_platform::stream_head_with;
use ggt_standin::users_platform::test_config;

use crate::front::FrontFleet;
use crate::front::await_ready;
use crate::http::HttpRequest;
use crate::log_book::LogBook;
use crate::process::ChildProcess;
use crate::soak::SoakOptions;
use crate::soak::changes::ChangeLog;
use crate::soak::crashing::CrashLog;
use crate::soak::crashing::is_crashing;
use crate::soak::cuts::CutLog;
use crate::soak::disruption::DisruptionState;
use crate::soak::evacuations::EVACUATION_CENTRES;
use crate::soak::evacuations::EvacuationLog;
use crate::soak::invariants::InvariantChecker;
use crate::soak::limits::ServerLimit;
use crate::soak::versions::ServingVersions;
use crate::soak::versions::VERSIONS;
use crate::soak::versions::version_line;
use crate::wait::wait_until;

/// Number of events of each stream.
pub(super) const EVENTS: u64 = 12;
/// Pause after each event of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(6);
/// Fault plan without faults.
pub(super) const SOUND_NETWORK: &str = "delay_ms=0";
/// Time for which the entry of a server must have been removed before it comes back under its id.
const REMOVAL_TIME: Duration = Duration::from_secs(1);
/// Maximum number of crashes of servers by no request in a soak: one fewer than daemons need to blame a
/// request, as those of all callers are alike.
const MAX_CRASHES: usize = 2;
/// Data centres of soaks with cuts.
const CUT_CENTRES: [&str; 2] = ["a", "b"];
/// Time between two silences of one server.
const SILENCE_SPACING: Duration = Duration::from_secs(2);

/// Complete body of the response to a request.
pub(super) fn body_of(id: &str) -> String {
    format!("the complete response to {id}")
}

/// Body of these events of the stream for a request.
pub(super) fn events_of(id: &str, numbers: RangeInclusive<u64>) -> String {
    numbers.map(|number| event_of(id, number, "")).collect()
}

/// An event; `line` follows its data.
fn event_of(id: &str, number: u64, line: &str) -> String {
    format!("id: {number}\ndata: {number} of {id}{line}\n\n")
}

/// The processes and stand-ins under soak and the faults that are active.
pub(super) struct SoakDeployment {
    pub(super) fleet: FrontFleet,
    pub(super) draining_servers: Vec<usize>,
    pub(super) disruptions: Vec<Arc<DisruptionState>>,
    pub(super) store_disruption: Arc<DisruptionState>,
    /// Disruptions of servers and of the network before them; silences are none.
    pub(super) server_disruptions: Vec<Arc<DisruptionState>>,
    /// Log lines of the daemons.
    pub(super) log_book: Arc<LogBook>,
    pub(super) crash_log: Arc<CrashLog>,
    pub(super) cut_log: Arc<CutLog>,
    /// The limits that servers name, by server.
    pub(super) limits: Vec<Arc<ServerLimit>>,
    pub(super) serving: Arc<ServingVersions>,
    /// Whether servers run two versions and their events name them.
    has_versions: bool,
    /// Number of crashes of servers by no request.
    crashes: usize,
    /// Servers that are being replaced, and since when.
    replaced: Vec<(usize, Instant)>,
    checker: Arc<InvariantChecker>,
    proxy_control: SocketAddr,
    proxy_routes: Vec<SocketAddr>,
    /// When the last silence of each server ends.
    silent_until: Vec<Instant>,
    /// Whether every other server is reached without the proxy, whose own listener would accept
    /// connections for a server that does not.
    has_direct_servers: bool,
    /// The configuration published last.
    pub(super) change_log: Arc<ChangeLog>,
    /// The evacuations in force.
    pub(super) evacuation_log: Arc<EvacuationLog>,
    _proxy: ChildProcess,
}

impl SoakDeployment {
    /// Starts everything, with each server behind a route of the fault proxy.
    pub(super) fn start(options: &SoakOptions, checker: &Arc<InvariantChecker>) -> Self {
        // Silent servers must not end responses either when no retry is allowed. Streams whose connections
        // are reset by a cut are sent again.
        let settings = match options.has_silence && !options.has_cuts {
            true => json!({ "retries": { "ratio": 0.02, "slack": 4.0, "window_s": 10.0 } }),
            false => json!({}),
        };
        let mut fleet = FrontFleet::start_with(0, 0, settings);
        if options.has_evacuations {
            fleet.data_centres = EVACUATION_CENTRES.to_vec();
        }
        let log_book = fleet.keep_logs();
        let proxy_control = fleet.unused_address();
        let control = proxy_control.to_string();
        let proxy = ChildProcess::spawn_standin(&["proxy", "--control", &control]);
        let disruptions: Vec<_> = (0..options.daemons).map(|_| Arc::default()).collect();
        let server_disruptions: Vec<_> = (0..options.servers).map(|_| Arc::default()).collect();
        let mut deployment = Self {
            cut_log: Arc::new(CutLog::new(&disruptions, &server_disruptions)),
            proxy_routes: Vec::new(),
            draining_servers: Vec::new(),
            disruptions,
            store_disruption: Arc::default(),
            server_disruptions,
            log_book,
            crash_log: Arc::default(),
            limits: (0..options.servers).map(|_| Arc::default()).collect(),
            serving: Arc::default(),
            has_versions: options.has_versions,
            crashes: 0,
            replaced: Vec::new(),
            checker: checker.clone(),
            proxy_control,
            silent_until: vec![Instant::now(); options.servers],
            has_direct_servers: options.has_silence,
            change_log: Arc::default(),
            evacuation_log: Arc::default(),
            _proxy: proxy,
            fleet: {
                (0..options.servers).for_each(|n| fleet.add_unregistered_server(&format!("i-{n}")));
                fleet
            },
        };
        for number in 0..options.servers {
            let listen = deployment.fleet.unused_address();
            let to = deployment.fleet.servers[number].address;
            deployment.control_proxy(&format!("/control/route?listen={listen}&to={to}"));
            deployment.proxy_routes.push(listen);
            if options.has_versions {
                deployment.fleet.servers[number].set_version(VERSIONS[number % VERSIONS.len()]);
            }
            deployment.set_soak_script(number);
        }
        if options.has_cuts {
            deployment.fleet.data_centres = CUT_CENTRES.to_vec();
            deployment.fleet.link_daemons(options.daemons, &deployment.proxy_routes);
            deployment.fleet.publish(&test_config(1));
        }
        (0..options.servers).for_each(|number| deployment.register(number, "ready"));
        (0..options.daemons).for_each(|number| deployment.fleet.add_daemon(number, None));
        deployment.fleet.daemons.iter().for_each(await_ready);
        deployment
    }

    /// Makes a server respond by the request's kind, and record each execution before the first response
    /// byte.
    fn set_soak_script(&self, number: usize) {
        let (checker, crash_log) = (self.checker.clone(), self.crash_log.clone());
        let version = self.fleet.servers[number].version();
        let event_line = if self.has_versions { version_line(&version) } else { String::new() };
        let (limit, disruptions) = (self.limits[number].clone(), self.disruptions.clone());
        let (name, gate) = (self.fleet.servers[number].id(), self.fleet.servers[number].gate());
        let own_disruption = self.server_disruptions[number].clone();
        let (evacuations, data_centre) =
            (self.evacuation_log.clone(), self.fleet.data_centre(number));
        let store_disruption = self.store_disruption.clone();
        self.fleet.servers[number].set_script(move |request, stream| {
            let id = request.attempt_id().to_owned();
            let kind = request.path.split('/').nth(1).unwrap_or_default();
            if let Some(daemon) = daemon_of(&id) {
                limit.record_arrival(&name, &disruptions[daemon], &checker);
                let passed = [&*disruptions[daemon], &*store_disruption, &*own_disruption];
                evacuations.check_arrival(data_centre, &id, passed, &checker);
            }
            checker.record_run(&id, matches!(kind, "once" | "talk"));
            let lines = limit.header_line();
            match kind {
                _ if is_crashing(request) => {
                    crash_log.record(&id);
                    checker.record_crash();
                    // The next instance has no limit of before.
                    limit.set(None);
                    own_disruption.set_disrupted(true);
                    AfterResponse::Crash
                }
                "chat" | "talk" => send_events(request, stream, &gate, &lines, &event_line),
                _ => respond_with(request, stream, 200, &lines, &body_of(&id)),
            }
        });
    }

    /// The caller address and the disruption state of each daemon.
    pub(super) fn callers(&self) -> Vec<(SocketAddr, Arc<DisruptionState>)> {
        let addresses = self.fleet.daemons.iter().map(|daemon| daemon.callers);
        addresses.zip(self.disruptions.iter().cloned()).collect()
    }

    /// Kills a daemon if it still runs, and starts it again.
    pub(super) fn restart(&mut self, daemon: usize) {
        let was_running = self.fleet.daemons[daemon].process.is_running();
        self.disruptions[daemon].record_kill(was_running);
        self.fleet.restart_without_waiting(daemon);
        self.cut_log.set_leaving(daemon, false);
        self.disruptions[daemon].set_disrupted(false);
    }

    /// Begins to shut a daemon down.
    pub(super) fn shut_down(&self, daemon: usize) {
        self.cut_log.set_leaving(daemon, true);
        self.fleet.daemons[daemon].process.signal(Signal::TERM);
    }

    /// Cuts daemons off from all servers.
    pub(super) fn cut(&self, daemons: &[usize], kind: LinkKind) {
        self.cut_log.begin(daemons);
        daemons.iter().for_each(|daemon| self.fleet.cut(*daemon, kind));
    }

    /// Ends the cuts of daemons.
    pub(super) fn end_cut(&self, daemons: &[usize]) {
        daemons.iter().for_each(|daemon| self.fleet.heal(*daemon));
        self.cut_log.end(daemons, &self.checker);
    }

    /// Crashes a server; false if it is down already, or if so many have crashed that daemons may
    /// blame the requests which they had.
    pub(super) fn crash_server(&mut self, number: usize) -> bool {
        let server = &self.fleet.servers[number];
        if server.is_down() || self.crashes >= MAX_CRASHES {
            return false;
        }
        self.crashes += 1;
        self.server_disruptions[number].set_disrupted(true);
        server.crash();
        true
    }

    /// Makes all stores respond with a status; `None` ends this.
    pub(super) fn set_store_failure(&self, status: Option<u16>) {
        self.fleet.stores().for_each(|store| store.set_failure(status));
        self.store_disruption.set_disrupted(status.is_some());
    }

    /// Kills a daemon.
    pub(super) fn kill(&mut self, daemon: usize) {
        let was_running = self.fleet.daemons[daemon].process.is_running();
        self.disruptions[daemon].record_kill(was_running);
        self.fleet.daemons[daemon].process.kill();
    }

    /// Whether daemons reach a server without the proxy.
    pub(super) fn is_direct(&self, number: usize) -> bool {
        self.has_direct_servers && number % 2 == 1
    }

    /// Makes a server silent for this time; false if it was silent a moment ago, since a sound one is
    /// not silent for long.
    pub(super) fn pause_server(
        &mut self,
        number: usize,
        time: Duration,
        kind: SilenceKind,
    ) -> bool {
        let now = Instant::now();
        if now < self.silent_until[number] + SILENCE_SPACING
            || !self.fleet.servers[number].pause(time, kind)
        {
            return false;
        }
        self.silent_until[number] = now + time;
        true
    }

    /// Registers a server in the store, with the address of its proxy route unless it is direct.
    pub(super) fn register(&self, number: usize, state: &str) {
        let server = &self.fleet.servers[number];
        self.serving.set(number, (state == "ready").then(|| server.version()));
        let registration = server.registration("s", self.fleet.data_centre(number), state);
        self.fleet.links.iter().for_each(|links| links.register(number, server, &registration));
        let registration = match self.is_direct(number) {
            true => registration,
            false => registration
                .replace(&server.address.to_string(), &self.proxy_routes[number].to_string()),
        };
        self.fleet.store.put(&format!("{TARGET_PREFIX}{}", server.id()), &registration);
    }

    /// Ends a server, whose entry goes, for a release of its software; false if it is down already.
    pub(super) fn begin_replacement(&mut self, number: usize) -> bool {
        let server = &self.fleet.servers[number];
        if server.is_down() {
            return false;
        }
        self.replaced.push((number, Instant::now()));
        self.server_disruptions[number].set_disrupted(true);
        self.serving.set(number, None);
        self.fleet.remove_registration(&server.id());
        server.crash();
        true
    }

    /// Starts a replaced server on its address with this version. It comes back under its id only if
    /// all daemons have had time to learn that it had gone; otherwise they could not tell the two.
    pub(super) fn end_replacement(&mut self, number: usize, version: &str, keeps_id: bool) {
        let Some(place) = self.replaced.iter().position(|(other, _)| *other == number) else {
            return;
        };
        let (_, since) = self.replaced.remove(place);
        let mut disruptions = self.disruptions.iter().chain([&self.store_disruption]);
        let is_known = since.elapsed() >= REMOVAL_TIME
            && disruptions.all(|disruption| disruption.is_stable_for(REMOVAL_TIME));
        let old_id = self.fleet.servers[number].id();
        let id = if keeps_id && is_known { old_id } else { format!("{old_id}-{version}") };
        self.fleet.servers[number].set_version(version);
        self.set_soak_script(number);
        if let Err(e) = self.fleet.servers[number].restart(&id) {
            // It is started like a crashed one.
            eprintln!("server {id} cannot be started yet: {e}");
            return;
        }
        self.register(number, "ready");
        self.server_disruptions[number].set_disrupted(false);
        self.draining_servers.retain(|draining| *draining != number);
    }

    /// Starts crashed servers again as other instances at the same addresses.
    pub(super) fn restart_crashed_servers(&mut self) {
        for number in 0..self.fleet.servers.len() {
            let server = &self.fleet.servers[number];
            if !server.is_down() || self.replaced.iter().any(|(other, _)| *other == number) {
                continue;
            }
            let old_id = server.id();
            if let Err(e) = server.restart(&format!("{old_id}+")) {
                eprintln!("server {old_id} cannot be restarted yet: {e}");
                continue;
            }
            self.register(number, "ready");
            self.fleet.remove_registration(&old_id);
            self.server_disruptions[number].set_disrupted(false);
            self.draining_servers.retain(|draining| *draining != number);
        }
    }

    /// Replaces the fault plan of a server's proxy route.
    pub(super) fn set_fault_plan(&self, number: usize, plan: &str) {
        self.limits[number].restart_counting();
        self.server_disruptions[number].set_disrupted(plan != SOUND_NETWORK);
        self.control_proxy(&format!("/control/plan?listen={}&{plan}", self.proxy_routes[number]));
    }

    /// Publishes the configuration with a higher version.
    pub(super) fn publish_next(&mut self) {
        let stores: Vec<_> = self.fleet.stores().cloned().collect();
        self.change_log.publish_next(&stores);
    }

    /// Ends all faults.
    pub(super) fn heal(&mut self) {
        self.restart_crashed_servers();
        (0..self.proxy_routes.len()).for_each(|number| self.set_fault_plan(number, SOUND_NETWORK));
        self.set_store_failure(None);
        for daemon in 0..self.fleet.daemons.len() {
            if self.fleet.daemons[daemon].process.is_running() {
                self.fleet.daemons[daemon].process.resume();
                self.disruptions[daemon].set_disrupted(false);
            } else {
                self.restart(daemon);
                await_ready(&self.fleet.daemons[daemon]);
            }
        }
    }

    /// Waits until a request through each daemon succeeds.
    pub(super) fn await_service(&self, checker: &InvariantChecker) {
        let mut count = 0;
        for daemon in 0..self.fleet.daemons.len() {
            wait_until("the daemon serves again", || {
                count += 1;
                let id = format!("after-{daemon}-{count}");
                let response = self.fleet.request(daemon, "GET", "/read/", &id).send();
                response.is_some_and(|response| response.status == 200)
            });
        }
        checker.record_fault("healed".to_owned());
    }

    /// Checks that draining servers get no new requests; assumes that all daemons have received their state.
    pub(super) fn check_draining_servers(&mut self, checker: &InvariantChecker) {
        self.publish_next();
        for number in &self.draining_servers {
            let id = self.fleet.servers[*number].id();
            let before = self.request_count(*number);
            let sent = AtomicUsize::new(0);
            for daemon in 0..self.fleet.daemons.len() {
                (0..20).for_each(|_| self.send_read(daemon, &sent));
            }
            let after = self.request_count(*number);
            if after > before {
                checker.record_violation(format!(
                    "draining server {id} got {} requests",
                    after - before
                ));
            }
        }
    }

    fn send_read(&self, daemon: usize, sent: &AtomicUsize) {
        let id = format!("leave-{daemon}-{}", sent.fetch_add(1, Ordering::SeqCst));
        // The response does not matter: only requests that reach a server are counted.
        let _ = self.fleet.request(daemon, "GET", "/read/", &id).send();
    }

    fn request_count(&self, number: usize) -> usize {
        self.fleet.servers[number].requests().len()
    }

    fn control_proxy(&self, path: &str) {
        let response = HttpRequest::new("POST", self.proxy_control, path).send();
        assert_eq!(
            response.map(|response| response.status),
            Some(200),
            "the proxy rejected {path}"
        );
    }
}

/// Number of the daemon to which the call with this attempt id was sent; `None` for calls of the
/// crashing caller and of checks.
fn daemon_of(id: &str) -> Option<usize> {
    id.starts_with('c').then(|| id.rsplit('-').next()?.parse().ok())?
}

fn send_events(
    request: &WireRequest,
    stream: &mut TcpStream,
    gate: &SilenceGate,
    lines: &str,
    event_line: &str,
) -> AfterResponse {
    let id = request.attempt_id();
    let first = request.last_event_id().unwrap_or(0) + 1;
    if stream.write_all(stream_head_with(request, lines).as_bytes()).is_err() {
        return AfterResponse::Close;
    }
    for number in first..=EVENTS {
        let event = event_of(id, number, event_line);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        gate.pass();
        if stream.write_all(chunk.as_bytes()).is_err() {
            return AfterResponse::Close;
        }
        thread::sleep(EVENT_INTERVAL);
    }
    gate.pass();
    match stream.write_all(b"0\r\n\r\n") {
        Ok(()) => AfterResponse::Keep,
        Err(_) => AfterResponse::Close,
    }
}
