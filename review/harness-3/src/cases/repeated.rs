//! Clients have prompts answered once more. All daemons are killed just after the servers of the old software version
//! have left: do the second answers go on at the version that began them?

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

/// Prompts that are answered first, some at each version.
const PROMPTS: usize = 80;
/// Time from the second requests until the old server says that it leaves, and from then until it exits: `DrainMs`
/// and a little longer.
const LEAVES_AFTER: Duration = Duration::from_millis(500);
const EXITS_AFTER: Duration = Duration::from_millis(2_300);
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
    let Some(new) = start_engine("i-2", "v2", born + 1, free_address(), record) else {
        return Verdict::Unplayed;
    };
    store.put("servers/i-1", &old.entry("writers", "z1"));
    store.put("servers/i-2", &new.entry("writers", "z1"));
    let hosts = ["127.0.0.1", "127.0.0.2"];
    let plan = Plan::new(&stage.folder, store.address, &hosts, &["z1", "z2"]);
    let mut daemons: Vec<Daemon> = (0..hosts.len()).map(|number| plan.start(number)).collect();
    if !daemons.iter().all(|daemon| daemon.wait_until_ready(Duration::from_secs(10))) {
        return Verdict::Unplayed;
    }
    sleep(Duration::from_secs(4));
    let fronts: Vec<SocketAddr> = [0, 1, 0, 1, 0].map(|at: usize| daemons[at].front).to_vec();
    let first = (0..PROMPTS).collect();
    let first = play_all(first, &fronts, stage, StreamClient::with_short_answer);
    let first: Vec<_> = first.into_iter().map(finish).collect();
    let is_new = |stream: &ClientStream| stream.versions.contains("v2");
    let repeated: Vec<usize> = (0..PROMPTS).filter(|number| is_new(&first[*number])).collect();
    record.say(&format!("{} of {PROMPTS} prompts answered at v2", repeated.len()));
    sleep(Duration::from_millis(1_000));
    record.say("these are sent once more");
    let second = play_all(repeated, &fronts, stage, StreamClient::new);
    sleep(LEAVES_AFTER);
    record.say("server i-1 (v1) leaves");
    store.put("servers/i-1", &old.entry_in_state("writers", "z1", "draining"));
    sleep(EXITS_AFTER);
    store.remove("servers/i-1");
    old.kill();
    record.say("server i-1 has left");
    if stage.has_trouble {
        daemons.iter_mut().for_each(Daemon::kill);
        record.say("all daemons are killed");
        daemons.iter_mut().for_each(Daemon::start_again);
    }
    let second: Vec<_> = second.into_iter().map(finish).collect();
    drop(new);
    let begun_old = second.iter().filter(|stream| stream.versions.contains("v1")).count();
    let joined = second.iter().filter(|stream| stream.versions.len() > 1).count();
    record.say(&format!(
        "{} streams, {begun_old} begun at v1, {joined} with events of two software versions (allowed: {ALLOWED})",
        second.len()
    ));
    match (joined > ALLOWED, begun_old) {
        (true, _) => Verdict::Broken,
        (false, 0) => Verdict::Unplayed,
        (false, _) => Verdict::Held,
    }
}

fn finish(client: thread::JoinHandle<ClientStream>) -> ClientStream {
    client.join().expect("client")
}

fn play_all<C>(
    numbers: Vec<usize>,
    fronts: &[SocketAddr],
    stage: &Stage,
    client: C,
) -> Vec<thread::JoinHandle<ClientStream>>
where
    C: Fn(usize, crate::record::Record) -> StreamClient,
{
    let clients = numbers.into_iter().map(|number| {
        let (client, fronts) = (client(number, stage.record.clone()), fronts.to_vec());
        thread::spawn(move || client.play(&fronts))
    });
    clients.collect()
}
