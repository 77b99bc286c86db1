//! Daemons as processes, started with the command and the settings template of the deploy file, beside a store and
//! servers on threads of this process.

use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use serde_json::json;

use ggt_standin::users_platform::ServerStandin;
use ggt_standin::users_platform::StoreStandin;

use crate::client::connect;
use crate::client::exchange;
use crate::client::head;

/// Host name of all routes.
pub const HOST: &str = "chat.example";
/// Key of the only customer.
pub const API_KEY: &str = "key-of-c1";
/// Memory of a machine, as in the small deployments.
pub const MEMORY_MB: u64 = 260;
/// Slots of a server.
const SLOTS: usize = 48;
/// Program of the deploy file.
const PROGRAM: &str = "target/release/greengageturnd";
/// Template of the deploy file.
const TEMPLATE: &str = "deploy/settings.json";
/// Zone of all machines and servers.
const ZONE: &str = "zone-a";
/// Port for exchange between daemons, the same on all machines of a run.
const PEER_PORT: u16 = 7_340;
/// Longest wait for anything that has to become true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Unix time in milliseconds.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("time should be after 1970");
    since.as_millis() as u64
}

/// Waits until a condition holds.
///
/// # Panics
/// When it does not hold in time.
pub fn wait_until<F>(what: &str, mut condition: F)
where
    F: FnMut() -> bool,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "in time: {what}");
        thread::sleep(CHECK_INTERVAL);
    }
}

/// Loopback addresses of one run: each machine has its own, in a block that depends on the process.
#[derive(Clone, Copy)]
struct Loopback {
    second: u8,
    third: u8,
}

impl Loopback {
    fn new() -> Self {
        let process = std::process::id();
        Self { second: 1 + (process % 250) as u8, third: 1 + (process / 250 % 250) as u8 }
    }

    fn ip(self, machine: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, 1 + machine as u8))
    }

    /// A free address of a machine.
    fn free(self, machine: usize) -> SocketAddr {
        let listener =
            TcpListener::bind(SocketAddr::new(self.ip(machine), 0)).expect("a free port");
        listener.local_addr().expect("an address")
    }
}

/// A machine with its daemon.
pub struct Machine {
    /// Address for clients.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Machine {
    /// Process id of the daemon.
    pub fn process(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Starts the daemon.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("GREENGAGETURN_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .expect("the daemon should start");
        self.child = Some(child);
    }

    /// Kills the daemon, and returns when it has ended.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        let text = head("GET", "/v1/ready", &[("Host", self.ready.to_string())]);
        let reply = connect(self.ready).and_then(|stream| exchange(&stream, &text, ""));
        reply.is_some_and(|reply| reply.status == 200)
    }
}

/// A store, servers and daemons; the daemons are killed when it is dropped.
pub struct Fleet {
    /// The platform's store.
    pub store: StoreStandin,
    /// Servers by index.
    pub servers: Vec<ServerStandin>,
    /// Machines by index.
    pub machines: Vec<Machine>,
    loopback: Loopback,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.machines.iter_mut().for_each(Machine::kill);
        if std::env::var_os("KEEP_LOGS").is_none() {
            // A folder that stays in the temporary directory does no harm.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Fleet {
    /// Starts a store that holds this configuration.
    pub fn new(config: &Value) -> Self {
        let loopback = Loopback::new();
        let folder = std::env::temp_dir().join(format!("ggt-review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let store = StoreStandin::start(loopback.free(200)).expect("the store should start");
        store.put("op/config", &config.to_string());
        Self { store, servers: Vec::new(), machines: Vec::new(), loopback, folder }
    }

    /// Starts a server, which is not registered yet.
    pub fn add_server(&mut self, id: &str, version: &str) {
        let address = self.loopback.free(100 + self.servers.len());
        let server = ServerStandin::start(address, id).expect("the server should start");
        server.set_version(version);
        server.set_slots(SLOTS);
        self.servers.push(server);
    }

    /// Writes a server's entry, as started at this Unix time.
    pub fn register(&self, server: usize, service: &str, state: &str, born: u64) {
        let server = &self.servers[server];
        let entry = server.registration(service, ZONE, state);
        let mut entry: Value = serde_json::from_str(&entry).expect("an entry");
        entry["born"] = json!(born);
        self.store.put(&format!("servers/{}", server.id()), &entry.to_string());
    }

    /// Removes a server's entry.
    pub fn remove_entry(&self, server: usize) {
        self.store.remove(&format!("servers/{}", self.servers[server].id()));
    }

    /// Prepares machines, with settings that the deploy file's template gives.
    pub fn add_machines(&mut self, count: usize) {
        let seeds: Vec<_> = (0..count.min(3))
            .map(|machine| SocketAddr::new(self.loopback.ip(machine), 7_329).to_string())
            .collect();
        for number in 0..count {
            let free = || self.loopback.free(number);
            let (front, ready, control) = (free(), free(), free());
            let settings = render(
                &std::fs::read_to_string(TEMPLATE).expect("the template"),
                &[
                    ("NodeName|json", json!(format!("edge-{ZONE}-{number}"))),
                    ("Zone|json", json!(ZONE)),
                    ("Zones|json", json!({ ZONE: "region-1" })),
                    ("Listen.Front|json", json!(front)),
                    ("Listen.Ready|json", json!(ready)),
                    ("Listen.Control|json", json!(control)),
                    ("Ip", json!(self.loopback.ip(number))),
                    ("InternalPorts.0", json!(PEER_PORT)),
                    ("Seeds|json", json!(seeds)),
                    ("Platform.Address|json", json!(self.store.address)),
                    ("Platform.HistoryS", json!(20)),
                    ("Bounds.RetryBudgetRatio", json!(0.2)),
                    ("Bounds.RetrySlack", json!(58)),
                    ("Bounds.BudgetWindowS", json!(10)),
                    ("Limits.LinkMbps", json!(1000.0)),
                    ("FirstStart|json", json!(true)),
                    ("Bounds.ConfigApplyMs", json!(2000)),
                    ("Bounds.DrainMs", json!(2000)),
                    ("Bounds.GraceS", json!(8)),
                ],
            );
            let file = self.folder.join(format!("settings-{number}.json"));
            std::fs::write(&file, settings).expect("should write the settings");
            let log = self.folder.join(format!("log-{number}.txt"));
            self.machines.push(Machine { front, ready, settings: file, log, child: None });
        }
    }

    /// Starts all daemons and waits until they are ready.
    pub fn start_machines(&mut self) {
        self.machines.iter_mut().for_each(Machine::start);
        for machine in &self.machines {
            wait_until("a daemon is ready", || machine.is_ready());
        }
    }

    /// Kills all daemons at the same moment.
    pub fn kill_machines(&mut self) {
        for machine in &mut self.machines {
            if let Some(child) = &mut machine.child {
                // It may have ended by itself.
                let _ = child.kill();
            }
        }
        self.machines.iter_mut().for_each(Machine::kill);
    }

    /// Gives the settings of a fleet that has started before.
    pub fn end_first_start(&self) {
        for machine in &self.machines {
            let text = std::fs::read_to_string(&machine.settings).expect("the settings");
            let mut settings: Value = serde_json::from_str(&text).expect("settings as JSON");
            settings["first_start"] = json!(false);
            write_whole(&machine.settings, &settings.to_string());
        }
    }
}

/// Replaces a file in one step, since a daemon may read it at any moment.
fn write_whole(path: &Path, text: &str) {
    let next = path.with_extension("next");
    std::fs::write(&next, text).expect("should write the file");
    std::fs::rename(&next, path).expect("should replace the file");
}

/// Fills the placeholders and the sections of the template; sections without a value are left out.
fn render(template: &str, values: &[(&str, Value)]) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let name_end = start + text[start..].find("}}").expect("the end of a tag");
        let name = text[start + 3..name_end].to_owned();
        let closing = format!("{{{{/{name}}}}}");
        let end = start + text[start..].find(&closing).expect("the end of a section");
        let has_value = values.iter().any(|(key, _)| *key == name);
        let inner = if has_value { text[name_end + 2..end].to_owned() } else { String::new() };
        text.replace_range(start..end + closing.len(), &inner);
    }
    for (name, value) in values {
        let plain = match value {
            Value::String(plain) if !name.ends_with("|json") => plain.clone(),
            value => value.to_string(),
        };
        text = text.replace(&format!("{{{{{name}}}}}"), &plain);
    }
    assert!(!text.contains("{{"), "the template has an unknown placeholder: {text}");
    text
}

/// Header lines of a client's request.
pub fn client_lines(id: &str, deadline_ms: u64) -> Vec<(&'static str, String)> {
    vec![
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", id.to_owned()),
        ("X-Deadline-Ms", deadline_ms.to_string()),
        ("Authorization", format!("Token {API_KEY}")),
    ]
}

/// A configuration with resumable streams under `/chat/`, other ones under `/talk/`, idempotent requests under
/// `/read/` and others under `/once/`, with the limits of the small deployments.
pub fn config() -> Value {
    let route = |name: &str, kind: &str, can_resume: bool, timeout_ms: u64| {
        json!({
            "Name": name, "Host": HOST, "PathPrefix": format!("/{name}/"), "Kind": kind,
            "TimeoutMs": timeout_ms, "GoalMs": 600, "Priority": 1, "Service": "s",
            "Attempts": 2, "Public": false, "Sticky": can_resume, "CanResume": can_resume,
            "GapTargetMs": 300,
        })
    };
    json!({
        "Version": 1,
        "Routes": [
            route("chat", "streaming", true, 12_000),
            route("talk", "streaming", false, 12_000),
            route("read", "idempotent", false, 5_000),
            route("once", "non_idempotent", false, 5_000),
        ],
        "Services": [{
            "Name": "s", "HealthPath": "/health", "MaxConns": 310, "Protocol": "h1", "Tls": false,
            "Engine": { "Slots": 48, "KvCapTokens": 739_877, "Models": [{ "Name": "m" }] },
        }],
        "Limits": {
            "MaxHeaderBytes": 16_384, "MaxBodyBytes": 4_194_304,
            "HeaderTimeoutMs": 3_000, "IdleTimeoutMs": 15_000,
        },
        "Tenants": [{ "Name": "c1", "ApiKeys": [API_KEY], "Priority": 1 }],
    })
}
