//! Child processes that are killed when their owner is dropped.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;

use rustix::process::Pid;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::Signal;
use rustix::process::kill_process;
use rustix::process::prlimit;

use crate::log_book::LogBook;
use crate::wait::wait_for;

/// A child process, killed and reaped on drop.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

/// Path of a binary of this workspace in the folder of the running program or the one above.
///
/// # Panics
/// When the binary has not been built.
pub fn binary_path(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("path of the running program should be known");
    own.ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join(name))
        .find(|path| path.is_file())
        .unwrap_or_else(|| panic!("{name} is not built: run `cargo build --workspace` first"))
}

/// Standard output of daemons: discarded, or inherited if `GGT_SHOW_LOGS` is set.
fn log_output() -> Stdio {
    if std::env::var_os("GGT_SHOW_LOGS").is_some() { Stdio::inherit() } else { Stdio::null() }
}

impl ChildProcess {
    /// Starts `ggt-standin` with `args` and waits until it listens.
    ///
    /// # Panics
    /// When the stand-in does not start or does not listen.
    pub fn spawn_standin(args: &[&str]) -> Self {
        let mut child = Command::new(binary_path("ggt-standin"))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("stand-in should start");
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut line).expect("stand-in should print a line");
        }
        assert!(line.starts_with("listening "), "stand-in {args:?} does not listen: {line:?}");
        Self { child }
    }

    /// Starts a daemon with a settings file; does not wait until it is ready.
    ///
    /// # Panics
    /// When the process cannot be started.
    pub fn spawn_daemon(settings: &Path) -> Self {
        Self::spawn_program(&binary_path("greengageturnd"), settings, log_output())
    }

    /// Starts the daemon of another build with a settings file, or of this one if `program` is `None`; does not
    /// wait until it is ready. Its log lines are kept if there is a book.
    ///
    /// # Panics
    /// When the process cannot be started.
    pub fn spawn_daemon_of(
        program: Option<&Path>,
        settings: &Path,
        book: Option<&Arc<LogBook>>,
    ) -> Self {
        let own = binary_path("greengageturnd");
        let output = book.map_or_else(log_output, |_| Stdio::piped());
        let mut process = Self::spawn_program(program.unwrap_or(&own), settings, output);
        if let Some(book) = book {
            process.child.stdout.take().into_iter().for_each(|output| book.read_from(output));
        }
        process
    }

    fn spawn_program(program: &Path, settings: &Path, output: Stdio) -> Self {
        let child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(output)
            .spawn()
            .expect("daemon should start");
        Self { child }
    }

    /// Limits the number of files that the process may have open, as soon as it has started.
    ///
    /// # Panics
    /// When the process does not exist any more.
    pub fn limit_files(&self, max_files: u64) {
        let limit = Rlimit { current: Some(max_files), maximum: Some(max_files) };
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        prlimit(pid, Resource::Nofile, limit).expect("process should accept the limit");
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Panics
    /// When the process does not exist any more.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.expect("process id should be valid"), signal)
            .expect("process should accept the signal");
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process has not exited; a paused process counts as running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process exits.
    ///
    /// # Panics
    /// When it does not exit within the time limit of all waits.
    pub fn wait(&mut self) -> ExitStatus {
        wait_for("the process has exited", || self.child.try_wait().ok().flatten())
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs the `greengageturn` command; returns its exit code (-1 if a signal ended it), standard output and
/// standard error.
///
/// # Panics
/// When it cannot be started.
pub fn run_cli(args: &[&str]) -> (i32, String, String) {
    let output = Command::new(binary_path("greengageturn"))
        .args(args)
        .output()
        .expect("greengageturn should run");
    (
        output.status.code().unwrap_or(-1),
        String::from_utf8_lossy(&output.stdout).into_owned(),
        String::from_utf8_lossy(&output.stderr).into_owned(),
    )
}

/// Formats an address as a command-line argument.
pub fn address_arg(address: SocketAddr) -> String {
    address.to_string()
}
