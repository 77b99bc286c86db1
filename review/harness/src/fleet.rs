//! A small deployment: the store, servers and daemons, the latter two as processes.

use std::cell::Cell;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Answer;
use crate::http::FullSpeed;
use crate::http::exchange;
use crate::record::Record;
use crate::store::Store;

/// Host name of all routes.
pub const HOST: &str = "desk.example";
/// Key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Name of the only service.
const SERVICE: &str = "assistente";
/// Zone of all processes.
const ZONE: &str = "recife-a";
/// `HeartbeatMs`: how often a server writes to the store.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time for which a daemon may start.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A server process.
pub struct Server {
    /// Id under which it registers.
    pub id: String,
    /// Version of its software.
    pub version: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    child: Child,
    born: u128,
    /// Number of the last heartbeat.
    seq: AtomicU64,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Server {
    /// Kills the process, as a crash or the end of its machine does.
    pub fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Has its answers say from now on that it leaves.
    pub fn leave(&mut self) {
        let input = self.child.stdin.as_mut();
        // A server that has ended needs no news.
        input.into_iter().for_each(|input| drop(writeln!(input, "leave")));
    }
}

/// A daemon process.
pub struct Daemon {
    /// Address for clients.
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
    /// Path of its settings, and the program's output.
    settings: PathBuf,
    log: PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Daemon {
    /// Sends a signal.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let id = self.child.id().to_string();
        Command::new("/bin/sh").args(["-c", "kill -$0 $1", name, &id]).status().map(drop)
    }

    /// Memory that the process has allocated and uses, in kB; 0 after its end.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or_default()
    }

    /// Starts the process again after its end.
    pub fn start_again(&mut self) -> io::Result<()> {
        let settings = std::fs::read_to_string(&self.settings)?;
        let settings = settings.replace("\"first_start\":true", "\"first_start\":false");
        std::fs::write(&self.settings, settings)?;
        self.child = spawn_daemon(&self.settings, &self.log)?;
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The store, and how daemons and servers are started.
pub struct Fleet {
    /// The platform's store.
    pub store: Store,
    /// The record of the case.
    pub record: Record,
    folder: PathBuf,
    /// First two parts of the daemons' addresses and the third, which is this case's own.
    net: [u8; 3],
    peer_port: u16,
    daemons: u8,
    /// When servers write their next heartbeats.
    next_beat_at: Cell<Instant>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            // A leftover folder in the temporary directory does no harm.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub can_resume: bool,
    pub attempts: u32,
    pub timeout_ms: u64,
}

impl Fleet {
    /// A store with this configuration.
    pub fn start(record: &Record, routes: &[Route]) -> io::Result<Self> {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-case-{process}"));
        std::fs::create_dir_all(&folder)?;
        let net = [127, 77, u8::try_from(process % 250).unwrap_or_default() + 1];
        let own_port = SocketAddr::new(address_of(net, 200), 0);
        let peer_port = TcpListener::bind(own_port)?.local_addr()?.port();
        let store = Store::start()?;
        let routes: Vec<_> = routes.iter().map(route_json).collect();
        let routes = routes.join(",");
        let config = format!(
            r#"{{"Version":7,"Routes":[{routes}],"Services":[{{"Name":"{SERVICE}","HealthPath":"/health","MaxConns":310,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"hule930","ApiKeys":["{KEY}"],"Priority":1}}]}}"#
        );
        store.put("op/config", &config);
        let record = record.clone();
        let next_beat_at = Cell::new(Instant::now() + HEARTBEAT);
        Ok(Self { store, record, folder, net, peer_port, daemons: 0, next_beat_at })
    }

    /// Starts a server; it is not registered yet.
    pub fn start_server(
        &self,
        id: &str,
        version: &str,
        address: Option<SocketAddr>,
    ) -> io::Result<Server> {
        let free = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let address = address.unwrap_or(free);
        let program = std::env::current_exe()?;
        let mut command = Command::new(program);
        command.args(["server", &address.to_string(), id, version]);
        command.stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn()?;
        let output = child.stdout.take().ok_or(io::Error::other("no output"))?;
        let mut lines = BufReader::new(output).lines();
        let first = lines.next().transpose()?.unwrap_or_default();
        let name = format!("server {id} {version}");
        self.record.add(&format!("{name}: {first} on {address}"));
        if first != "listening" {
            return Err(io::Error::other(format!("{name} does not start")));
        }
        let record = self.record.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.add(&format!("{name}: {line}"));
                let attempt = line.strip_prefix("runs ").and_then(|rest| rest.split(' ').next());
                attempt.into_iter().for_each(|attempt| record.note_run(attempt));
            }
        });
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let (id, version) = (id.to_owned(), version.to_owned());
        Ok(Server { id, version, address, child, born, seq: AtomicU64::new(0) })
    }

    /// Writes a server's entry to the store, with its state.
    pub fn register(&self, server: &Server, state: &str) {
        let entry = self.entry(server, state);
        self.write_entry(server, &entry);
    }

    /// The next heartbeat of a server in this state.
    pub fn entry(&self, server: &Server, state: &str) -> String {
        let Server { version, address, born, .. } = server;
        let seq = server.seq.fetch_add(1, Ordering::SeqCst);
        format!(
            r#"{{"Service":"{SERVICE}","Address":"{address}","Zone":"{ZONE}","Version":"{version}","Slots":48,"State":"{state}","ColdLeftMs":0,"Seq":{seq},"born":{born}}}"#
        )
    }

    /// Writes an entry under a server's id.
    pub fn write_entry(&self, server: &Server, entry: &str) {
        self.store.put(&format!("servers/{}", server.id), entry);
        self.record.add(&format!("store: servers/{} is {entry}", server.id));
    }

    /// Sleeps while these servers write their heartbeats.
    pub fn pause(&self, servers: &[Server], duration: Duration) {
        let ends_at = Instant::now() + duration;
        while Instant::now() < ends_at {
            let wakes_at = ends_at.min(self.next_beat_at.get());
            thread::sleep(wakes_at.saturating_duration_since(Instant::now()));
            if Instant::now() >= self.next_beat_at.get() {
                servers.iter().for_each(|server| self.register(server, "ready"));
                self.next_beat_at.set(Instant::now() + HEARTBEAT);
            }
        }
    }

    /// Starts a daemon as the deploy file does, and waits until it is ready.
    pub fn start_daemon(&mut self) -> io::Result<Daemon> {
        self.daemons += 1;
        let number = self.daemons;
        let ip = address_of(self.net, number);
        let peer = SocketAddr::new(ip, self.peer_port);
        let reserve = || TcpListener::bind(SocketAddr::new(ip, 0));
        // All are held until the last is known, so that they differ.
        let reserved = (TcpListener::bind(peer)?, reserve()?, reserve()?, reserve()?);
        drop(UdpSocket::bind(peer)?);
        let (front, ready, admin) =
            (reserved.1.local_addr()?, reserved.2.local_addr()?, reserved.3.local_addr()?);
        drop(reserved);
        let store = self.store.address;
        let seed = SocketAddr::new(address_of(self.net, 1), admin.port());
        let settings = format!(
            r#"{{"name":"edge-{ZONE}-{number}","data_centre":"{ZONE}","callers":"{front}","ready":"{ready}","admin":"{admin}","peer":"{peer}","seeds":["{seed}"],"store":"{store}","store_history_s":20,"retries":{{"ratio":0.2,"slack":58,"window_s":10}},"link_mbps":1000.0,"first_start":true,"config_delay_ms":2000,"leaving_delay_ms":2000,"grace_s":8}}"#
        );
        let file = self.folder.join(format!("settings-{number}.json"));
        std::fs::write(&file, settings)?;
        let log = self.folder.join(format!("daemon-{number}.log"));
        let child = spawn_daemon(&file, &log)?;
        let daemon = Daemon { front, ready, child, settings: file, log };
        await_ready(&daemon)?;
        self.record.add(&format!("daemon {number}: ready, clients at {front}"));
        Ok(daemon)
    }
}

/// Starts the program as the deploy file does.
fn spawn_daemon(settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    let mut command = Command::new("target/release/greengageturnd");
    command.env("GREENGAGETURN_BOOT", settings).stdin(Stdio::null()).stdout(log).spawn()
}

fn await_ready(daemon: &Daemon) -> io::Result<()> {
    let begun = Instant::now();
    while ready_status(daemon) != 200 {
        if begun.elapsed() > START_TIMEOUT {
            return Err(io::Error::other("the daemon does not become ready"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

fn address_of(net: [u8; 3], last: u8) -> IpAddr {
    IpAddr::from([net[0], net[1], net[2], last])
}

fn ready_status(daemon: &Daemon) -> u16 {
    let request = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    exchange(daemon.ready, request, Duration::from_secs(1), FullSpeed).status
}

fn route_json(route: &Route) -> String {
    let Route { name, kind, can_resume, attempts, timeout_ms } = route;
    format!(
        r#"{{"Name":"r-{name}","Host":"{HOST}","PathPrefix":"/{name}/","Kind":"{kind}","TimeoutMs":{timeout_ms},"GoalMs":600,"Priority":1,"Service":"{SERVICE}","Attempts":{attempts},"Public":false,"Sticky":false,"CanResume":{can_resume},"GapTargetMs":300}}"#
    )
}

/// The text of a request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, lines: &str) -> String {
    let length = if method == "POST" { "Content-Length: 4\r\n" } else { "" };
    let body = if method == "POST" { "form" } else { "" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         Authorization: Token {KEY}\r\n{lines}{length}\r\n{body}"
    )
}

/// The events of a stream: id, version and id of the server that sent it.
pub fn events(answer: &Answer) -> Vec<(u64, String, String)> {
    let text = answer.text();
    let events = text.split("\n\n").filter_map(|event| {
        let id = event.strip_prefix("id: ")?.lines().next()?.parse().ok()?;
        let mut words = event.split_once("data: ")?.1.split(' ');
        Some((id, words.next()?.to_owned(), words.next()?.to_owned()))
    });
    events.collect()
}
