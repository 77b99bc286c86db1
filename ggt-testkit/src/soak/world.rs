//! The deployment under soak: a store, servers behind the fault proxy, and daemons.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use ggt_platform::TARGET_PREFIX;
use ggt_standin::published::AfterAnswer;
use ggt_standin::published::ServerStandin;
use ggt_standin::published::WireRequest;
use ggt_standin::published::answer;
use ggt_standin::published::config;
use ggt_standin::published::stream_head;

use crate::front::FrontFleet;
use crate::front::await_ready;
use crate::process::ChildProcess;
use crate::soak::SoakOptions;
use crate::soak::ledger::RunLedger;
use crate::wait::wait_until;
use crate::web::WebRequest;

/// Number of events of each stream.
pub(super) const EVENTS: u64 = 12;
/// Pause after each event of a stream.
const EVENT_GAP: Duration = Duration::from_millis(6);

/// Complete body of the response to a request.
pub(super) fn body_of(id: &str) -> String {
    format!("the whole reply to {id}")
}

/// Body of the first `count` events of the stream for a request.
pub(super) fn events_of(id: &str, count: u64) -> String {
    (1..=count).map(|number| event_of(id, number)).collect()
}

fn event_of(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {number} of {id}\n\n")
}

/// Whether a daemon is paused or killed, and with that may cut requests that it has read.
#[derive(Debug, Default)]
pub(super) struct DaemonHealth {
    /// Incremented when a disruption begins and when it ends; odd during a disruption.
    changes: AtomicUsize,
    /// Number of times that the daemon was killed.
    lives: AtomicUsize,
}

impl DaemonHealth {
    /// Records the beginning or the end of a disruption.
    pub(super) fn set_ill(&self, is_ill: bool) {
        let is_change = |changes: usize| (changes % 2 == 1) != is_ill;
        let change = |changes| is_change(changes).then_some(changes + 1);
        // An error means that the state is the requested one already.
        let _ = self.changes.fetch_update(Ordering::SeqCst, Ordering::SeqCst, change);
    }

    /// Records that the daemon is killed, which breaks all its connections.
    pub(super) fn note_death(&self) {
        self.set_ill(true);
        self.lives.fetch_add(1, Ordering::SeqCst);
    }

    /// Number of times that the daemon was killed; unchanged as long as its process is the same.
    pub(super) fn life(&self) -> usize {
        self.lives.load(Ordering::SeqCst)
    }

    /// Number of disruptions begun and ended, to compare with a later value; `None` during a disruption.
    pub(super) fn mark(&self) -> Option<usize> {
        let changes = self.changes.load(Ordering::SeqCst);
        changes.is_multiple_of(2).then_some(changes)
    }
}

/// The processes and stand-ins under soak and the faults in force.
pub(super) struct SoakWorld {
    pub(super) fleet: FrontFleet,
    pub(super) leavers: Vec<usize>,
    pub(super) health: Vec<Arc<DaemonHealth>>,
    proxy_control: SocketAddr,
    proxied: Vec<SocketAddr>,
    version: u64,
    _proxy: ChildProcess,
}

impl SoakWorld {
    /// Starts everything, with each server behind a route of the fault proxy.
    pub(super) fn start(options: &SoakOptions, ledger: &Arc<RunLedger>) -> Self {
        let mut fleet = FrontFleet::start(0, 0);
        let proxy_control = fleet.unused_address();
        let control = proxy_control.to_string();
        let proxy = ChildProcess::standin(&["proxy", "--control", &control]);
        let mut world = Self {
            proxied: Vec::new(),
            leavers: Vec::new(),
            health: (0..options.daemons).map(|_| Arc::default()).collect(),
            proxy_control,
            version: 1,
            _proxy: proxy,
            fleet: {
                (0..options.servers).for_each(|n| fleet.add_server_apart(&format!("i-{n}")));
                fleet
            },
        };
        for number in 0..options.servers {
            let listen = world.fleet.unused_address();
            let to = world.fleet.servers[number].address;
            world.order(&format!("/control/route?listen={listen}&to={to}"));
            world.proxied.push(listen);
            script(&world.fleet.servers[number], ledger);
            world.register(number, "ready");
        }
        (0..options.daemons).for_each(|number| world.fleet.add_daemon(number, None));
        world.fleet.daemons.iter().for_each(await_ready);
        world
    }

    /// The caller address and the disruption state of each daemon.
    pub(super) fn callers(&self) -> Vec<(SocketAddr, Arc<DaemonHealth>)> {
        let addresses = self.fleet.daemons.iter().map(|daemon| daemon.callers);
        addresses.zip(self.health.iter().cloned()).collect()
    }

    /// Kills a daemon if it still runs, and starts it again.
    pub(super) fn restart(&mut self, daemon: usize) {
        self.health[daemon].note_death();
        self.fleet.restart_quietly(daemon);
        self.health[daemon].set_ill(false);
    }

    /// Registers a server in the store with the address of its proxy route.
    pub(super) fn register(&self, number: usize, state: &str) {
        let server = &self.fleet.servers[number];
        let entry = server.entry("s", "a", state);
        let entry = entry.replace(&server.address.to_string(), &self.proxied[number].to_string());
        self.fleet.store.put(&format!("{TARGET_PREFIX}{}", server.id), &entry);
    }

    /// Replaces the fault plan of a server's proxy route.
    pub(super) fn plan(&self, number: usize, plan: &str) {
        self.order(&format!("/control/plan?listen={}&{plan}", self.proxied[number]));
    }

    /// Publishes the next version of the configuration.
    pub(super) fn publish_next(&mut self) {
        self.version += 3;
        self.fleet.publish(&config(self.version));
    }

    /// Ends all faults.
    pub(super) fn heal(&mut self) {
        (0..self.proxied.len()).for_each(|number| self.plan(number, "delay_ms=0"));
        self.fleet.store.refuse(None);
        for daemon in 0..self.fleet.daemons.len() {
            if self.fleet.daemons[daemon].process.is_running() {
                self.fleet.daemons[daemon].process.wake();
                self.health[daemon].set_ill(false);
            } else {
                self.restart(daemon);
                await_ready(&self.fleet.daemons[daemon]);
            }
        }
    }

    /// Waits until each daemon answers a request with success again.
    pub(super) fn await_served(&self, ledger: &RunLedger) {
        let mut count = 0;
        for daemon in 0..self.fleet.daemons.len() {
            wait_until("the daemon serves again", || {
                count += 1;
                let id = format!("after-{daemon}-{count}");
                let reply = self.fleet.request(daemon, "GET", "/read/", &id).send();
                reply.is_some_and(|reply| reply.status == 200)
            });
        }
        ledger.note_fault("healed".to_owned());
    }

    /// Checks that draining servers get no new requests once all daemons have seen their state.
    pub(super) fn check_leavers(&mut self, ledger: &RunLedger) {
        self.publish_next();
        for number in &self.leavers {
            let id = self.fleet.servers[*number].id.clone();
            let before = self.arrivals(*number);
            let sent = AtomicUsize::new(0);
            for daemon in 0..self.fleet.daemons.len() {
                (0..20).for_each(|_| self.ask_once(daemon, &sent));
            }
            let after = self.arrivals(*number);
            if after > before {
                ledger.note_broken(format!("draining server {id} got {} requests", after - before));
            }
        }
    }

    fn ask_once(&self, daemon: usize, sent: &AtomicUsize) {
        let id = format!("leave-{daemon}-{}", sent.fetch_add(1, Ordering::SeqCst));
        // Only the requests that servers receive count here.
        let _ = self.fleet.request(daemon, "GET", "/read/", &id).send();
    }

    fn arrivals(&self, number: usize) -> usize {
        self.fleet.servers[number].seen().len()
    }

    fn order(&self, path: &str) {
        let reply = WebRequest::new("POST", self.proxy_control, path).send();
        assert_eq!(reply.map(|reply| reply.status), Some(200), "the proxy rejected {path}");
    }
}

/// Makes a server respond by the request's kind, and record each execution before the first response byte.
fn script(server: &ServerStandin, ledger: &Arc<RunLedger>) {
    let ledger = ledger.clone();
    server.set_script(move |request, stream| {
        let id = request.attempt_id().to_owned();
        let kind = request.path.trim_matches('/').to_owned();
        ledger.note_run(&id, matches!(kind.as_str(), "once" | "talk"));
        match kind.as_str() {
            "chat" | "talk" => send_events(request, stream, &id),
            _ => answer(request, stream, 200, &body_of(&id)),
        }
    });
}

fn send_events(request: &WireRequest, stream: &mut TcpStream, id: &str) -> AfterAnswer {
    let first = request.last_event().unwrap_or(0) + 1;
    if stream.write_all(stream_head(request).as_bytes()).is_err() {
        return AfterAnswer::Close;
    }
    for number in first..=EVENTS {
        let event = event_of(id, number);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return AfterAnswer::Close;
        }
        thread::sleep(EVENT_GAP);
    }
    match stream.write_all(b"0\r\n\r\n") {
        Ok(()) => AfterAnswer::Keep,
        Err(_) => AfterAnswer::Close,
    }
}
