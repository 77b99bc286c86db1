//! All servers of a service crash at once and are back under their ids, at a new version. Streams are taken up, before the
//! servers' first heartbeat, at daemons that have noticed the crash.

use std::net::SocketAddr;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

use crate::Stage;
use crate::Verdict;
use crate::daemon::Daemon;
use crate::daemon::Plan;
use crate::engine::Engine;
use crate::engine::unix_ms;
use crate::store::Store;
use crate::streams::ClientStream;
use crate::streams::StreamClient;
use crate::streams::config;
use crate::streams::free_address;
use crate::streams::start_engine;

/// Streams that begin.
const STREAMS: usize = 24;
/// Servers of the service, as many as the smallest one of the small sites has.
const SERVERS: usize = 3;
/// For how long the servers are down.
const DOWN: Duration = Duration::from_millis(700);
/// Pauses of a client after its tries: it backs off.
const PAUSES: &[Duration] =
    &[Duration::from_millis(200), Duration::from_millis(900), Duration::from_millis(1_500)];
/// A server writes its entry every `HeartbeatMs`, first so long after its start.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Streams that may hold events of two versions.
const ALLOWED: usize = 2;

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::start();
    store.put("op/config", &config());
    let born = unix_ms() - 60_000;
    let mut engines: Vec<Engine> = Vec::new();
    for number in 1..=SERVERS {
        let id = format!("i-{number}");
        let Some(engine) = start_engine(&id, "v1", born, free_address(), record) else {
            return Verdict::Unplayed;
        };
        store.put(&format!("servers/{id}"), &engine.entry("writers", "z1"));
        engines.push(engine);
    }
    let hosts = ["127.0.0.1", "127.0.0.2"];
    let plan = Plan::new(&stage.folder, store.address, &hosts, &["z1", "z2"]);
    let daemons: Vec<Daemon> = (0..hosts.len()).map(|number| plan.start(number)).collect();
    if !daemons.iter().all(|daemon| daemon.wait_until_ready(Duration::from_secs(10))) {
        return Verdict::Unplayed;
    }
    sleep(Duration::from_secs(4));
    // Each try reaches the other daemon.
    let fronts: Vec<SocketAddr> = [0, 1, 0, 1].map(|at: usize| daemons[at].front).to_vec();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (fronts, record) = (fronts.clone(), record.clone());
            thread::spawn(move || {
                StreamClient::new(number, record).with_pauses(PAUSES).play(&fronts)
            })
        })
        .collect();
    sleep(Duration::from_millis(1_000));
    let mut restarted: Vec<Engine> = Vec::new();
    if stage.has_trouble {
        sleep(Duration::from_millis(500));
        record.say("all servers of the service (v1) crash");
        engines.iter_mut().for_each(Engine::kill);
        sleep(DOWN);
        for old in &engines {
            let (id, address) = (&old.spec.id, old.spec.address);
            restarted.extend(start_engine(id, "v2", unix_ms(), address, record));
        }
        record.say(&format!("{} are back, at v2", restarted.len()));
        sleep(HEARTBEAT);
        for engine in &restarted {
            let key = format!("servers/{}", engine.spec.id);
            store.put(&key, &engine.entry("writers", "z1"));
        }
        record.say("they have written their entries");
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
