//! Real daemons, started as the deploy file says, with the settings that its template gives.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::http::Reader;
use crate::http::read_body;
use crate::http::read_head;

/// Program of the deploy file, from the repository's root.
const PROGRAM: &str = "target/release/greengageturnd";
/// Environment variable that names the settings file.
const SETTINGS_VARIABLE: &str = "GREENGAGETURN_BOOT";
/// Memory of a machine of the small sites, in megabytes.
pub const MEMORY_MB: u64 = 260;
/// Descriptors of a machine of the small sites.
pub const MAX_FILES: u64 = 4_100;

/// One daemon; it is killed when this is dropped.
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub process: Child,
    settings: PathBuf,
    log: PathBuf,
    max_files: Option<u64>,
}

/// What all daemons of a fleet share.
pub struct Plan {
    pub folder: PathBuf,
    pub store: SocketAddr,
    /// Ports for callers, readiness, control and peers, the same on all hosts.
    pub ports: [u16; 4],
    pub hosts: Vec<String>,
    pub zones: Vec<String>,
    /// Limit of open files of a daemon, if the platform sets one.
    pub max_files: Option<u64>,
}

impl Plan {
    /// A plan for daemons on these loopback hosts.
    pub fn new(folder: &Path, store: SocketAddr, hosts: &[&str], zones: &[&str]) -> Self {
        let hosts: Vec<String> = hosts.iter().map(|host| (*host).to_owned()).collect();
        let ports = [0; 4].map(|_: u16| free_port(&hosts));
        let zones = zones.iter().map(|zone| (*zone).to_owned()).collect();
        Self { folder: folder.to_owned(), store, ports, hosts, zones, max_files: None }
    }

    /// Starts the daemon on the host with this number.
    pub fn start(&self, number: usize) -> Daemon {
        let host = &self.hosts[number];
        let name = format!("edge-{}", number + 1);
        let zone = &self.zones[number % self.zones.len()];
        let [front, ready, control, peer] = self.ports;
        let regions: Vec<_> = self.zones.iter().map(|zone| format!("\"{zone}\":\"r\"")).collect();
        let seeds: Vec<_> =
            self.hosts.iter().take(3).map(|host| format!("\"{host}:{control}\"")).collect();
        let text = format!(
            "{{\"name\":\"{name}\",\"data_centre\":\"{zone}\",\"regions\":{{{}}},\
             \"callers\":\"{host}:{front}\",\"ready\":\"{host}:{ready}\",\
             \"admin\":\"{host}:{control}\",\"peer\":\"{host}:{peer}\",\"seeds\":[{}],\
             \"store\":\"{}\",\"retries\":{{\"ratio\":0.2,\"slack\":58,\"window_s\":10}},\
             \"link_mbps\":1000.0,\"memory_mb\":{MEMORY_MB},\"first_start\":true,\
             \"config_delay_ms\":2000,\"leaving_delay_ms\":2000,\"grace_s\":8}}",
            regions.join(","),
            seeds.join(","),
            self.store,
        );
        let settings = self.folder.join(format!("{name}.json"));
        let log = self.folder.join(format!("{name}.log"));
        let mut file = File::create(&settings).expect("settings file");
        file.write_all(text.as_bytes()).expect("settings file");
        let address = |port: u16| format!("{host}:{port}").parse().expect("address");
        let process = spawn(&settings, &log, self.max_files);
        let (front, ready) = (address(front), address(ready));
        let max_files = self.max_files;
        Daemon { name, front, ready, process, settings, log, max_files }
    }
}

impl Daemon {
    /// Waits until the daemon says that it is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if is_ready(self.ready) {
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Starts it again, in a fleet that is not new.
    pub fn start_again(&mut self) {
        let text = std::fs::read_to_string(&self.settings).expect("settings file");
        let text = text.replace("\"first_start\":true", "\"first_start\":false");
        std::fs::write(&self.settings, text).expect("settings file");
        self.process = spawn(&self.settings, &self.log, self.max_files);
    }

    /// Resident memory in bytes.
    pub fn resident_bytes(&self) -> u64 {
        let path = format!("/proc/{}/status", self.process.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
        kilobytes.unwrap_or(0_u64) * 1_024
    }

    /// Whether the process may open as many files as the plan says.
    pub fn has_files(&self, wanted: u64) -> bool {
        let path = format!("/proc/{}/limits", self.process.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("Max open files"));
        let soft = line.and_then(|line| line.split_whitespace().next());
        soft.and_then(|soft| soft.parse::<u64>().ok()).is_some_and(|soft| soft >= wanted)
    }

    /// Number of open files.
    pub fn open_files(&self) -> usize {
        let path = format!("/proc/{}/fd", self.process.id());
        std::fs::read_dir(path).map(Iterator::count).unwrap_or_default()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path, log: &Path, max_files: Option<u64>) -> Child {
    let output = File::options().create(true).append(true).open(log).expect("log file");
    let errors = output.try_clone().expect("log file");
    let mut command = match max_files {
        None => Command::new(PROGRAM),
        Some(limit) => {
            // The platform limits the open files of a process.
            let mut command = Command::new("/bin/sh");
            command.args(["-c", &format!("ulimit -n {limit}; exec {PROGRAM}")]);
            command
        }
    };
    command.env_clear().env(SETTINGS_VARIABLE, settings);
    let streams = command.stdin(Stdio::null()).stdout(output).stderr(errors);
    streams.spawn().expect("start the daemon")
}

fn is_ready(address: SocketAddr) -> bool {
    let limit = Duration::from_millis(500);
    let Ok(mut stream) = TcpStream::connect_timeout(&address, limit) else { return false };
    let _ = stream.set_read_timeout(Some(limit));
    let request = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let mut reader = Reader::new(stream);
    let Some(head) = read_head(&mut reader) else { return false };
    read_body(&mut reader, &head);
    head.status() == 200
}

fn free_port(hosts: &[String]) -> u16 {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let port = listener.local_addr().expect("free port").port();
        let is_free = |host: &String| TcpListener::bind((host.as_str(), port)).is_ok();
        drop(listener);
        if hosts.iter().all(is_free) {
            return port;
        }
    }
}
