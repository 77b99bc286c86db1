//! Invalid settings, configuration folders and request bytes: each invalid setting or file is reported in
//! one line that names it, and no input makes a daemon panic.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Command;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use serde_json::Value;
use serde_json::json;

use ggt_testkit::fleet::TestFleet;
use ggt_testkit::layout::FleetOptions;
use ggt_testkit::layout::merge;
use ggt_testkit::process::binary_path;
use ggt_testkit::process::run_cli;

struct ScratchFolder(PathBuf);

impl ScratchFolder {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("ggt-bad-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("should create the folder");
        Self(folder)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("should write the file");
        path.display().to_string()
    }
}

impl Drop for ScratchFolder {
    fn drop(&mut self) {
        // A leftover folder in the temporary directory does no harm.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn settings() -> Value {
    json!({
        "name": "d1", "data_centre": "a", "callers": "127.0.0.1:1", "peer": "127.0.0.1:2",
        "admin": "127.0.0.1:3", "admin_key": "k", "platform": ["127.0.0.1:4"],
        "fleet_keys": ["a-fleet-key-for-tests"],
    })
}

fn check_settings(text: &str, name: &str) -> (i32, String) {
    let scratch = ScratchFolder::new(name);
    let file = scratch.write("settings.json", text);
    let output = Command::new(binary_path("greengageturnd"))
        .args(["--check", "--settings", &file])
        .output()
        .expect("greengageturnd should run");
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code().unwrap_or(-1), errors)
}

#[test]
fn invalid_settings_are_reported_in_one_line() {
    assert_eq!(check_settings(&settings().to_string(), "good"), (0, String::new()));
    let cases = [
        (json!({ "colour": 1 }), "settings.json: colour: unknown field `colour`"),
        (json!({ "peer": "here" }), "settings.json: peer: invalid socket address syntax"),
        (
            json!({ "timing": { "gossip_ms": "1" } }),
            "settings.json: timing.gossip_ms: invalid type",
        ),
        (json!({ "callers": "127.0.0.1:2" }), "settings.json: callers: callers, peer and admin"),
        (json!({ "fleet_keys": ["short"] }), "settings.json: fleet_keys: a key must have"),
        (json!({ "platform": [] }), "settings.json: platform: must hold an address"),
        (json!({ "log_level": "loud" }), "settings.json: log_level: must be"),
    ];
    for (number, (overlay, expected)) in cases.iter().enumerate() {
        let mut changed = settings();
        merge(&mut changed, overlay);
        let (code, errors) = check_settings(&changed.to_string(), &format!("case-{number}"));
        assert_eq!(code, 2, "{overlay}");
        assert_eq!(errors.lines().count(), 1, "{errors}");
        assert!(errors.contains(expected), "{errors}");
    }
    let output = Command::new(binary_path("greengageturnd"))
        .args(["--settings", "no/such/file.json"])
        .output()
        .expect("greengageturnd should run");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no/such/file.json: cannot be read"));
}

#[test]
fn error_names_the_address_that_cannot_be_bound() {
    let mut changed = settings();
    merge(&mut changed, &json!({ "callers": "192.0.2.1:9" }));
    let scratch = ScratchFolder::new("bind");
    let file = scratch.write("settings.json", &changed.to_string());
    let output = Command::new(binary_path("greengageturnd"))
        .args(["--settings", &file])
        .output()
        .expect("greengageturnd should run");
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(errors.contains("callers address 192.0.2.1:9: "), "{errors}");
}

#[test]
fn cli_checks_folders_and_shows_the_file_of_each_value() {
    let scratch = ScratchFolder::new("folder");
    scratch.write("10-base.json", r#"{"workloads": {"intake": {}, "old": {}}}"#);
    scratch.write("20-more.json", r#"{"workloads": {"old": null}, "routing": {"crash_limit": 4}}"#);
    let folder = scratch.0.display().to_string();
    let (code, output, _) = run_cli(&["check", &folder]);
    assert_eq!(code, 0);
    assert_eq!(output, "accepted: 2 files, 0 daemons, 0 customers, 1 workloads, 0 rules\n");
    let (code, output, _) = run_cli(&["effective", &folder]);
    assert_eq!(code, 0);
    let lines =
        "/routing/crash_limit = 4  (20-more.json)\n/workloads/intake = {}  (10-base.json)\n";
    assert_eq!(output, lines);
    scratch.write("30-bad.json", r#"{"routing": {"crash_limits": 4}}"#);
    let (code, output, errors) = run_cli(&["check", "--json", &folder]);
    let report: Value = serde_json::from_str(&output).expect("output should be JSON");
    assert_eq!((code, &report["accepted"]), (1, &json!(false)));
    assert!(errors.contains("30-bad.json: /routing/crash_limits: unknown field"), "{errors}");
    let (code, _, errors) = run_cli(&["check", "no-such-folder"]);
    assert_eq!(code, 1);
    assert!(errors.contains("no-such-folder: cannot be read"), "{errors}");
    let (code, output, _) = run_cli(&["--help"]);
    assert_eq!(code, 0);
    for command in ["check", "effective", "status", "explain", "drain"] {
        assert!(output.contains(command), "{output}");
    }
}

#[test]
fn arbitrary_bytes_do_not_stop_a_daemon() {
    let mut fleet =
        TestFleet::start(FleetOptions { centres: vec![("a", 1)], ..FleetOptions::default() });
    let mut generator = Gen::from_size_and_seed(300, 17);
    let daemon = fleet.daemons[0].clone();
    let socket =
        std::net::UdpSocket::bind((daemon.peer.ip(), 0)).expect("should bind a UDP socket");
    for case in 0..300 {
        let noise = Vec::<u8>::arbitrary(&mut generator);
        let text = String::arbitrary(&mut generator);
        let bytes = match case % 3 {
            0 => noise.clone(),
            1 => format!("POST /chat HTTP/1.1\r\nhost: x\r\n{text}: {text}\r\n\r\n").into_bytes(),
            _ => {
                let mut head = b"POST /chat HTTP/1.1\r\nhost: x\r\nx-chat-id: ".to_vec();
                head.extend(&noise);
                head.extend(b"\r\n\r\n");
                head
            }
        };
        socket.send_to(&bytes, daemon.peer).expect("should send the datagram");
        for address in [daemon.callers, daemon.admin, daemon.peer] {
            let mut stream = TcpStream::connect(address).expect("should connect");
            // The daemon may close the connection before everything is written.
            let _ = stream.write_all(&bytes);
            let _ = stream.shutdown(std::net::Shutdown::Write);
            let mut received = Vec::new();
            let _ = stream.read_to_end(&mut received);
            let received = String::from_utf8_lossy(&received);
            assert!(!received.starts_with("HTTP/1.1 2"), "{bytes:?}: {received}");
        }
    }
    assert!(fleet.daemon_process(0).is_running());
    let response =
        fleet.request(0, "POST", "/chat").body("still there").send().expect("should respond");
    assert_eq!(response.status, 200);
    assert!(!fleet.log(0).contains("panicked"));
}
