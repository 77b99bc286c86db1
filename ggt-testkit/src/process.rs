//! Child processes that end with their owner.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

use crate::wait::wait_for;

/// A child process; it is killed and reaped when it is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

/// Finds a program of this workspace beside the one that runs.
///
/// # Panics
/// When the program has not been built.
pub fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("the running program's path");
    own.ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join(name))
        .find(|path| path.is_file())
        .unwrap_or_else(|| panic!("{name} is not built: run `cargo build --workspace` first"))
}

/// Where log lines on standard output go: nowhere, unless `GGT_SHOW_LOGS` is set.
fn log_output() -> Stdio {
    if std::env::var_os("GGT_SHOW_LOGS").is_some() { Stdio::inherit() } else { Stdio::null() }
}

impl ChildProcess {
    /// Starts a stand-in and waits until it listens.
    ///
    /// # Panics
    /// When it does not start.
    pub fn standin(args: &[&str]) -> Self {
        let mut child = Command::new(program("ggt-standin"))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the stand-in starts");
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut line).expect("the stand-in speaks");
        }
        assert!(line.starts_with("listening "), "stand-in {args:?} does not listen: {line:?}");
        Self { child }
    }

    /// Starts a daemon.
    ///
    /// # Panics
    /// When it does not start.
    pub fn daemon(settings: &Path) -> Self {
        let child = Command::new(program("greengageturnd"))
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log_output())
            .spawn()
            .expect("the daemon starts");
        Self { child }
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Panics
    /// When the process is gone.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.expect("a process id"), signal).expect("the process takes a signal");
    }

    /// Orders the process to stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Wakes a frozen process.
    pub fn wake(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process ends.
    ///
    /// # Panics
    /// When it does not end.
    pub fn wait(&mut self) -> ExitStatus {
        wait_for("the process ends", || self.child.try_wait().ok().flatten())
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs the command-line tool; returns its exit code and its output.
///
/// # Panics
/// When it cannot be run.
pub fn run_cli(args: &[&str]) -> (i32, String, String) {
    let output = Command::new(program("greengageturn")).args(args).output().expect("the tool runs");
    (
        output.status.code().unwrap_or(-1),
        String::from_utf8_lossy(&output.stdout).into_owned(),
        String::from_utf8_lossy(&output.stderr).into_owned(),
    )
}

/// The address as an argument.
pub fn arg(address: SocketAddr) -> String {
    address.to_string()
}
