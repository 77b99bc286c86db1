//! All daemons are killed at once while two software versions serve. Do streams go on whose prompts have one part?

use std::net::SocketAddr;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::Stage;
use crate::Verdict;
use crate::daemon::Daemon;
use crate::daemon::Plan;
use crate::engine::unix_ms;
use crate::store::Store;
use crate::streams::ClientStream;
use crate::streams::StreamClient;
use crate::streams::TakeUp;
use crate::streams::config;
use crate::streams::free_address;
use crate::streams::start_engine;

/// Streams that begin before the daemons are killed, and after it.
const STREAMS: usize = 24;
/// Pauses of a client after its tries: it backs off.
const PAUSES: &[Duration] = &[
    Duration::from_millis(400),
    Duration::from_millis(800),
    Duration::from_millis(1_600),
    Duration::from_millis(1_600),
];
/// A machine is in touch once its process has run for so long.
const STABLE: Duration = Duration::from_millis(3_000);
/// Streams from which on the rule holds.
const LEAST: usize = 12;

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::start();
    store.put("op/config", &config());
    let born = unix_ms() - 60_000;
    let mut engines = Vec::new();
    for (id, version) in [("i-1", "v1"), ("i-2", "v1"), ("i-3", "v2"), ("i-4", "v2")] {
        let Some(engine) = start_engine(id, version, born, free_address(), record) else {
            return Verdict::Unplayed;
        };
        store.put(&format!("servers/{id}"), &engine.entry("writers", "z1"));
        engines.push(engine);
    }
    let hosts = ["127.0.0.1", "127.0.0.2"];
    let plan = Plan::new(&stage.folder, store.address, &hosts, &["z1", "z2"]);
    let mut daemons: Vec<Daemon> = (0..hosts.len()).map(|number| plan.start(number)).collect();
    if !daemons.iter().all(|daemon| daemon.wait_until_ready(Duration::from_secs(10))) {
        return Verdict::Unplayed;
    }
    sleep(Duration::from_secs(4));
    let fronts: Vec<SocketAddr> = [0, 1, 0, 1, 0].map(|at: usize| daemons[at].front).to_vec();
    let before = start_clients(0, &fronts, stage);
    sleep(Duration::from_millis(1_000));
    if stage.has_trouble {
        record.say("all daemons are killed");
        daemons.iter_mut().for_each(Daemon::kill);
        daemons.iter_mut().for_each(Daemon::start_again);
    }
    let in_touch_at = Instant::now() + STABLE;
    sleep(STABLE);
    let after = start_clients(STREAMS, &fronts, stage);
    let [before, after] = [before, after].map(|clients| {
        let streams = clients.into_iter().filter_map(|client| client.join().ok());
        streams.collect::<Vec<ClientStream>>()
    });
    let take_ups = before.iter().flat_map(|stream| &stream.take_ups);
    let take_ups: Vec<&TakeUp> =
        take_ups.filter(|take_up| take_up.sent_at >= in_touch_at).collect();
    let taken_up = before
        .iter()
        .filter(|stream| stream.take_ups.iter().any(|take_up| take_up.sent_at >= in_touch_at));
    let taken_up = taken_up.count();
    let went_on = take_ups.iter().filter(|take_up| take_up.went_on).count();
    let begun = after.iter().filter(|stream| stream.has_begun).count();
    let joined = before.iter().filter(|stream| stream.versions.len() > 1).count();
    record.say(&format!(
        "of {taken_up} streams taken up at machines in touch {went_on} went on; of {} new ones {begun} began; \
         {joined} joined",
        after.len()
    ));
    let on_share = went_on as f64 / taken_up.max(1) as f64;
    let new_share = begun as f64 / after.len().max(1) as f64;
    match taken_up >= LEAST && on_share < 0.5 * new_share {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

fn start_clients(
    first: usize,
    fronts: &[SocketAddr],
    stage: &Stage,
) -> Vec<thread::JoinHandle<ClientStream>> {
    let clients = (first..first + STREAMS).map(|number| {
        let (fronts, record) = (fronts.to_vec(), stage.record.clone());
        thread::spawn(move || {
            StreamClient::with_one_part(number, record).with_pauses(PAUSES).play(&fronts)
        })
    });
    clients.collect()
}
