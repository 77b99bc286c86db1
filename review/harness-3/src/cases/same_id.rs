//! The last server of an old software version crashes and is back under its id, at a new version. Streams are taken up
//! at a daemon that had no request there meanwhile, before the server's first heartbeat.

use std::net::SocketAddr;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

use crate::Stage;
use crate::Verdict;
use crate::daemon::Daemon;
use crate::daemon::Plan;
use crate::engine::unix_ms;
use crate::store::Store;
use crate::streams::ClientStream;
use crate::streams::StreamClient;
use crate::streams::config;
use crate::streams::free_address;
use crate::streams::start_engine;

/// Streams that begin.
const STREAMS: usize = 48;
/// Servers of the service, one of them of the old version: the site's days let up to a quarter crash.
const SERVERS: usize = 4;
/// For how long the server is down.
const DOWN: Duration = Duration::from_millis(300);
/// A server writes its entry every `HeartbeatMs`, first so long after its start.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Streams that may hold events of two versions.
const ALLOWED: usize = 2;

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::start();
    store.put("op/config", &config());
    let born = unix_ms() - 60_000;
    let Some(mut old) = start_engine("i-1", "v1", born, free_address(), record) else {
        return Verdict::Unplayed;
    };
    store.put("servers/i-1", &old.entry("writers", "z1"));
    let mut others = Vec::new();
    for number in 2..=SERVERS {
        let id = format!("i-{number}");
        let Some(engine) = start_engine(&id, "v2", born, free_address(), record) else {
            return Verdict::Unplayed;
        };
        store.put(&format!("servers/{id}"), &engine.entry("writers", "z1"));
        others.push(engine);
    }
    let hosts = ["127.0.0.1", "127.0.0.2", "127.0.0.3"];
    let plan = Plan::new(&stage.folder, store.address, &hosts, &["z1", "z2", "z3"]);
    let daemons: Vec<Daemon> = (0..hosts.len()).map(|number| plan.start(number)).collect();
    if !daemons.iter().all(|daemon| daemon.wait_until_ready(Duration::from_secs(10))) {
        return Verdict::Unplayed;
    }
    sleep(Duration::from_secs(4));
    let fronts: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.front).collect();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (fronts, record) = (fronts.clone(), record.clone());
            thread::spawn(move || StreamClient::new(number, record).play(&fronts))
        })
        .collect();
    sleep(Duration::from_millis(1_000));
    let mut restarted = None;
    if stage.has_trouble {
        sleep(Duration::from_millis(500));
        record.say("server i-1 (v1) crashes");
        old.kill();
        sleep(DOWN);
        restarted = start_engine("i-1", "v2", unix_ms(), old.spec.address, record);
        record.say("server i-1 is back, at v2");
        sleep(HEARTBEAT);
        if let Some(engine) = &restarted {
            store.put("servers/i-1", &engine.entry("writers", "z1"));
            record.say("server i-1 has written its entry");
        }
    }
    let streams: Vec<ClientStream> =
        clients.into_iter().filter_map(|client| client.join().ok()).collect();
    drop(restarted);
    let joined = streams.iter().filter(|stream| stream.versions.len() > 1).count();
    let whole = streams.iter().filter(|stream| stream.is_whole).count();
    record.say(&format!(
        "{} streams, {whole} whole, {joined} with events of two software versions (allowed: {ALLOWED})",
        streams.len()
    ));
    match (joined > ALLOWED, whole) {
        (true, _) => Verdict::Broken,
        (false, 0) => Verdict::Unplayed,
        (false, _) => Verdict::Held,
    }
}
