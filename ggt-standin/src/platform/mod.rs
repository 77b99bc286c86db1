//! Stand-in for the platform, which publishes the configuration and the host list.
//!
//! `/control/` requests make it fail, stop responding, or serve an old revision.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::future::pending;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::server::BufferedRequest;
use crate::server::StandinResponse;
use crate::server::json_response;
use crate::server::lock;
use crate::server::serve;
use crate::server::text_response;
use ggt_wire::platform::FolderKind;
use ggt_wire::platform::PublishedFolder;

/// Revisions kept of each folder, so that an old one can be served.
const MAX_KEPT_REVISIONS: usize = 64;

/// How requests for folders are served; set by `/control/mode/`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum PlatformMode {
    /// Serves the latest revision.
    #[default]
    Up,
    /// Responds with status 503.
    Down,
    /// Accepts requests and never responds.
    Stalled,
    /// Serves the revision this many revisions before the latest.
    Stale(usize),
}

/// Published revisions of a folder, oldest first.
#[derive(Debug, Default)]
struct FolderHistory {
    revisions: VecDeque<PublishedFolder>,
}

impl FolderHistory {
    fn latest_revision(&self) -> u64 {
        self.revisions.back().map_or(0, |folder| folder.revision)
    }

    /// The revision `steps` before the latest; an empty folder if there is none.
    fn before_latest(&self, steps: usize) -> PublishedFolder {
        let index = self.revisions.len().checked_sub(1 + steps);
        index.and_then(|index| self.revisions.get(index)).cloned().unwrap_or_default()
    }
}

struct PlatformState {
    folders: Mutex<BTreeMap<FolderKind, FolderHistory>>,
    mode: Mutex<PlatformMode>,
    /// Number of requests for folders, by kind.
    request_counts: Mutex<BTreeMap<&'static str, u64>>,
    /// Incremented to wake waiting requests after a publication or a change of mode.
    changed: watch::Sender<u64>,
}

/// Reads the JSON files of a folder; the keys are the file names.
///
/// # Errors
/// Returns the I/O error if the folder or a file cannot be read.
pub fn read_folder(folder: &Path) -> std::io::Result<BTreeMap<String, String>> {
    let mut files = BTreeMap::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let is_json = path.extension().is_some_and(|extension| extension == "json");
        if let Some(name) = path.file_name().and_then(|name| name.to_str()).filter(|_| is_json) {
            files.insert(name.to_owned(), std::fs::read_to_string(&path)?);
        }
    }
    Ok(files)
}

/// Runs the platform until the process ends; a given folder is published as revision 1.
///
/// # Errors
/// Returns the I/O error if a folder cannot be read, the address cannot be bound or a connection
/// cannot be accepted.
pub async fn run_platform(
    address: SocketAddr,
    config: Option<&Path>,
    hosts: Option<&Path>,
) -> std::io::Result<()> {
    let state = Arc::new(PlatformState {
        folders: Mutex::default(),
        mode: Mutex::default(),
        request_counts: Mutex::default(),
        changed: watch::Sender::new(0),
    });
    for (kind, folder) in [(FolderKind::Config, config), (FolderKind::Hosts, hosts)] {
        if let Some(folder) = folder {
            state.publish(kind, read_folder(folder)?, None);
        }
    }
    serve(address, move |request| {
        let state = state.clone();
        async move { state.respond(&request).await }
    })
    .await
}

fn folder_kind(name: &str) -> Option<FolderKind> {
    FolderKind::ALL.into_iter().find(|kind| kind.as_str() == name)
}

impl PlatformState {
    /// Publishes a revision, numbered one above the latest unless `revision` is given.
    fn publish(
        &self,
        kind: FolderKind,
        files: BTreeMap<String, String>,
        revision: Option<u64>,
    ) -> u64 {
        let mut folders = lock(&self.folders);
        let history = folders.entry(kind).or_default();
        let revision = revision.unwrap_or(history.latest_revision() + 1);
        history.revisions.push_back(PublishedFolder { revision, files });
        if history.revisions.len() > MAX_KEPT_REVISIONS {
            history.revisions.pop_front();
        }
        drop(folders);
        self.changed.send_modify(|count| *count += 1);
        revision
    }

    /// Publishes files after `millis`, to simulate a host list that lags behind the hosts.
    fn publish_late(
        self: Arc<Self>,
        kind: FolderKind,
        files: BTreeMap<String, String>,
        millis: u64,
    ) {
        tokio::spawn(async move {
            sleep_millis(millis).await;
            self.publish(kind, files, None);
        });
    }

    async fn respond(self: Arc<Self>, request: &BufferedRequest) -> StandinResponse {
        let segments: Vec<&str> = request.path().trim_start_matches('/').split('/').collect();
        match segments.as_slice() {
            ["control", rest @ ..] => self.clone().handle_control(request, rest),
            ["v1", folder, rest @ ..] => {
                let mode = *lock(&self.mode);
                match mode {
                    PlatformMode::Stalled => pending().await,
                    PlatformMode::Down => text_response(503, "down"),
                    PlatformMode::Up | PlatformMode::Stale(_) => match folder_kind(folder) {
                        Some(kind) => self.serve_folder(request, kind, rest).await,
                        None => text_response(404, "no such folder"),
                    },
                }
            }
            _ => text_response(404, "not found"),
        }
    }

    async fn serve_folder(
        &self,
        request: &BufferedRequest,
        kind: FolderKind,
        rest: &[&str],
    ) -> StandinResponse {
        match rest {
            ["manifest"] => {
                let wait = request.number("wait_ms", 0);
                self.count_request(if wait > 0 { "watch" } else { "look" });
                let deadline = Instant::now() + Duration::from_millis(wait);
                self.wait_for_revision_above(kind, request.number("after", 0), deadline).await;
                json_response(&self.served_folder(kind).manifest())
            }
            ["files", revision, name] => {
                self.count_request("file");
                let revision: u64 = revision.parse().unwrap_or_default();
                let folders = lock(&self.folders);
                let found = folders
                    .get(&kind)
                    .and_then(|history| history.revisions.iter().find(|x| x.revision == revision))
                    .and_then(|folder| folder.files.get(*name));
                found.map_or_else(
                    || text_response(404, "no such file"),
                    |file| text_response(200, file.clone()),
                )
            }
            _ => text_response(404, "not found"),
        }
    }

    /// Waits for a revision above `after`, at most until `deadline`.
    async fn wait_for_revision_above(&self, kind: FolderKind, after: u64, deadline: Instant) {
        let mut changed = self.changed.subscribe();
        while self.served_folder(kind).revision <= after && Instant::now() < deadline {
            if timeout_at(deadline, changed.changed()).await.is_err() {
                return;
            }
        }
    }

    /// The revision that the current mode serves.
    fn served_folder(&self, kind: FolderKind) -> PublishedFolder {
        let steps = match *lock(&self.mode) {
            PlatformMode::Stale(steps) => steps,
            _ => 0,
        };
        lock(&self.folders).entry(kind).or_default().before_latest(steps)
    }

    fn count_request(&self, kind: &'static str) {
        *lock(&self.request_counts).entry(kind).or_default() += 1;
    }

    fn handle_control(
        self: Arc<Self>,
        request: &BufferedRequest,
        rest: &[&str],
    ) -> StandinResponse {
        match rest {
            ["publish", folder] => {
                let files = serde_json::from_slice(&request.body);
                let lag_ms = request.number("lag_ms", 0);
                match (folder_kind(folder), files) {
                    (Some(kind), Ok(files)) if lag_ms > 0 => {
                        self.publish_late(kind, files, lag_ms);
                        json_response(&json!({ "lag_ms": lag_ms }))
                    }
                    (Some(kind), Ok(files)) => {
                        let revision = request.query("revision").and_then(|text| text.parse().ok());
                        json_response(&json!({ "revision": self.publish(kind, files, revision) }))
                    }
                    _ => text_response(400, "needs a folder and a map of files"),
                }
            }
            ["mode", mode] => {
                let mode = match *mode {
                    "up" => PlatformMode::Up,
                    "down" => PlatformMode::Down,
                    "stalled" => PlatformMode::Stalled,
                    "stale" => PlatformMode::Stale(
                        usize::try_from(request.number("steps", 1)).unwrap_or(1),
                    ),
                    _ => return text_response(400, "no such mode"),
                };
                *lock(&self.mode) = mode;
                self.changed.send_modify(|count| *count += 1);
                text_response(200, "ok")
            }
            ["counts"] => json_response(&*lock(&self.request_counts)),
            _ => text_response(404, "not found"),
        }
    }
}

/// Sleeps for `millis`; returns without yielding for 0.
pub async fn sleep_millis(millis: u64) {
    if millis > 0 {
        sleep(Duration::from_millis(millis)).await;
    }
}
