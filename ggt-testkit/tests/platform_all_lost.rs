//! All daemons are killed at once: no daemon knows which version began the streams that callers take up then. The
//! servers' prefix caches show it.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use serde_json::json;

use ggt_platform::TARGET_PREFIX;
use ggt_standin::users_platform::PartCache;
use ggt_standin::users_platform::ServerStandin;
use ggt_standin::users_platform::respond_with;
use ggt_standin::users_platform::test_config;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::front::VersionScript;
use ggt_testkit::front::await_ready;
use ggt_testkit::front::versions_in;
use ggt_testkit::http::HttpRequest;
use ggt_testkit::http::HttpResponse;
use ggt_testkit::wait::wait_until;

const OLD: &str = "v1";
const NEW: &str = "v2";
const DAEMONS: usize = 3;
/// Events of each stream.
const EVENTS: u64 = 12;
/// The last event that a caller has of a stream that it takes up.
const LAST_EVENT: u64 = 5;
/// Streams of each case.
const STREAMS: usize = 24;
/// Tokens in each event.
const EVENT_TOKENS: u64 = 7;
/// Tokens that a server generates for a stream until it breaks off.
const GENERATED_TOKENS: u64 = LAST_EVENT * EVENT_TOKENS;
/// The same for a stream that is answered whole, with few tokens.
const SHORT_TOKENS: u64 = 2 * EVENT_TOKENS;
/// Begins the ids of requests for such an answer.
const SHORT_PREFIX: &str = "short-";
/// The same for an answer with many tokens.
const LONG_TOKENS: u64 = EVENTS * EVENT_TOKENS;
const LONG_PREFIX: &str = "long-";
/// Header that names the only version whose servers run the request.
const WANTED_HEADER: &str = "x-wanted-version";
/// Milliseconds for which the servers have run before: longer than any stream.
const SERVER_AGE_MS: u128 = 60_000;
/// Timeout of all routes.
const TIMEOUT_MS: u64 = 12_000;
/// Pause of a caller between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The test configuration with streams that are shorter than the history that the store usually keeps, and servers
/// that cache prompts.
fn config() -> Value {
    let mut config = test_config(2);
    config["Services"][0]["Engine"] = json!({ "Slots": 8, "KvCapTokens": 100_000, "Stride": EVENT_TOKENS, "Models": [{ "Name": "m" }] });
    let routes = config["Routes"].as_array_mut().into_iter().flatten();
    routes.for_each(|route| route["TimeoutMs"] = json!(TIMEOUT_MS));
    config
}

/// A fleet whose servers have these versions.
fn start(versions: &[&'static str]) -> FrontFleet {
    start_with_caches(versions, PartCache::default, GENERATED_TOKENS)
}

/// The same with prefix caches that keep this many tokens of what a server generates.
fn start_with_caches(
    versions: &[&'static str],
    new_cache: fn() -> PartCache,
    generated: u64,
) -> FrontFleet {
    let mut fleet = FrontFleet::start_with(0, 0, json!({ "store_history_s": 20 }));
    fleet.publish(&config());
    for (number, version) in versions.iter().enumerate() {
        fleet.add_unregistered_server(&format!("i-{number}"));
        set_script(&fleet.servers[number], version, new_cache(), generated);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock is set").as_millis();
        let entry = fleet.servers[number].registration("s", "a", "ready");
        let born = format!(r#""born":{}"#, now - SERVER_AGE_MS);
        let key = format!("{TARGET_PREFIX}{}", fleet.servers[number].id());
        fleet.store.put(&key, &entry.replace(r#""born":1"#, &born));
    }
    (0..DAEMONS).for_each(|number| fleet.add_daemon(number, None));
    fleet.daemons.iter().for_each(await_ready);
    fleet
}

/// Makes a server keep the parts of prompts, and send whole streams, unless another version is wanted.
fn set_script(server: &ServerStandin, version: &'static str, parts: PartCache, generated: u64) {
    let script = VersionScript { version, events: 1..=EVENTS, is_cut: false };
    server.set_version(version);
    server.set_script(move |request, stream| {
        if request.header(WANTED_HEADER).is_some_and(|wanted| wanted != version) {
            return respond_with(request, stream, 503, "X-Not-Executed: 1\r\n", "");
        }
        let generated = match request.attempt_id() {
            id if id.starts_with(SHORT_PREFIX) => SHORT_TOKENS,
            id if id.starts_with(LONG_PREFIX) => LONG_TOKENS,
            _ => generated,
        };
        let list = parts.serve(request, stream, generated);
        list.unwrap_or_else(|| script.send(request, stream))
    });
}

/// Sends an attempt of the stream with this number; `last` is the last event that the caller has.
fn attempt(
    fleet: &FrontFleet,
    daemon: usize,
    id: &str,
    stream: usize,
    last: Option<u64>,
) -> HttpResponse {
    let mut request = prompt_request(fleet, daemon, id, stream);
    if let Some(last) = last {
        request = request.header("last-event-id", &last.to_string());
        request = request.header("resumes", &format!("first-{stream}"));
    }
    request.body("x").send().expect("should respond")
}

/// A request with the prompt of the stream with this number.
fn prompt_request(fleet: &FrontFleet, daemon: usize, id: &str, stream: usize) -> HttpRequest {
    let prompt = format!("a{}:600,b{stream}:700", stream % 4);
    let request = fleet.request(daemon, "POST", "/chat/", id);
    let request = request.header("x-model", "m").header("x-token-count", "1300,84");
    request.header("x-prompt-prefix", &prompt)
}

/// Has the prompt of a stream answered at this version.
fn answer_at(fleet: &FrontFleet, version: &str, id: &str, stream: usize) {
    wait_until("a server of the version answers", || {
        let request = prompt_request(fleet, stream % DAEMONS, id, stream);
        let response = request.header(WANTED_HEADER, version).body("x").send();
        response.is_some_and(|response| {
            response.status == 200 && versions_in(&response.body) == [version].into()
        })
    });
}

/// Begins all streams; returns the version of each.
fn begin_streams(fleet: &FrontFleet) -> Vec<String> {
    let begin_one = |number: usize| {
        let response = attempt(fleet, number % DAEMONS, &format!("first-{number}"), number, None);
        let versions = versions_in(&response.body);
        assert_eq!(versions.len(), 1, "{}", response.body);
        versions.into_iter().next().unwrap_or_default().to_owned()
    };
    (0..STREAMS).map(begin_one).collect()
}

/// Kills all daemons and starts them again.
fn lose_all(fleet: &mut FrontFleet) {
    (0..DAEMONS).for_each(|daemon| fleet.daemons[daemon].process.kill());
    (0..DAEMONS).for_each(|daemon| fleet.restart_without_waiting(daemon));
    fleet.daemons.iter().for_each(await_ready);
}

/// Takes all streams up after `LAST_EVENT`, a few times if they are refused; returns the responses.
fn take_up(fleet: &FrontFleet) -> Vec<HttpResponse> {
    take_up_within(fleet, 5)
}

/// The same with this many attempts for each stream at most.
fn take_up_within(fleet: &FrontFleet, attempts: usize) -> Vec<HttpResponse> {
    let take_up_one = |number: usize| {
        let mut response = None;
        for turn in 0..attempts {
            let id = format!("next-{number}-{turn}");
            let daemon = (number + turn) % DAEMONS;
            let next = attempt(fleet, daemon, &id, number, Some(LAST_EVENT));
            let is_refused = next.status == 503;
            assert!(!is_refused || fleet.request_count(&id) == 0, "{id}");
            response = Some(next);
            if !is_refused {
                break;
            }
            std::thread::sleep(RETRY_PAUSE);
        }
        response.expect("an attempt")
    };
    (0..STREAMS).map(take_up_one).collect()
}

/// Removes the registrations of the servers of the old version, and stops them.
fn end_old_servers(fleet: &FrontFleet) {
    let old = fleet.servers.iter().filter(|server| server.version() == OLD);
    for server in old {
        fleet.remove_registration(&server.id());
        server.crash();
    }
}

// Guards against streams joined from two versions: the servers of one left, the store discarded that early, and all
// daemons were killed. What is left of the history named one version only.
#[test]
fn streams_of_a_version_that_left_are_refused_after_the_history_of_that_is_lost() {
    let mut fleet = start(&[OLD, NEW, OLD, NEW]);
    let versions = begin_streams(&fleet);
    assert!(versions.iter().any(|version| version == OLD));
    end_old_servers(&fleet);
    fleet.store.compact();
    lose_all(&mut fleet);
    for (version, response) in versions.iter().zip(take_up(&fleet)) {
        match version.as_str() {
            OLD => assert_eq!(response.status, 503, "{}", response.body),
            _ => assert_eq!(versions_in(&response.body).into_iter().collect::<Vec<_>>(), [NEW]),
        }
    }
}

// Guards against streams that are refused after all daemons were killed, since the history of a store that runs for
// long is never whole: all servers have one version, and hold the streams' prompts.
#[test]
fn streams_go_on_after_the_loss_of_all_daemons_if_there_is_one_version() {
    let mut fleet = start(&[OLD; 4]);
    begin_streams(&fleet);
    fleet.store.compact();
    lose_all(&mut fleet);
    for response in take_up(&fleet) {
        assert_eq!(response.status, 200, "{}", response.body);
        assert!(response.is_complete);
    }
}

// Guards against streams that are refused after all daemons were killed while two versions serve: nobody knows which
// version began them, but the servers hold their prompts.
#[test]
fn streams_go_on_after_the_loss_of_all_daemons_while_two_versions_serve() {
    let mut fleet = start(&[OLD, NEW, OLD, NEW]);
    let versions = begin_streams(&fleet);
    fleet.store.compact();
    lose_all(&mut fleet);
    check_all_go_on(&versions, &take_up(&fleet));
}

/// Checks that all streams go on at the versions that began them.
fn check_all_go_on(versions: &[String], responses: &[HttpResponse]) {
    for (version, response) in versions.iter().zip(responses) {
        assert_eq!(response.status, 200, "{}", response.body);
        assert_eq!(versions_in(&response.body).into_iter().collect::<Vec<_>>(), [version]);
    }
}

// Guards against streams that are refused after all daemons were killed, since the servers keep whole blocks of their
// prompts only, and nothing of what they generate.
#[test]
fn streams_go_on_after_the_loss_of_all_daemons_where_servers_keep_whole_blocks() {
    let new_cache = || PartCache::of_blocks(16);
    let mut fleet = start_with_caches(&[OLD, NEW, OLD, NEW], new_cache, 0);
    let versions = begin_streams(&fleet);
    fleet.store.compact();
    lose_all(&mut fleet);
    check_all_go_on(&versions, &take_up(&fleet));
}

/// Has all prompts answered at the new version, with ids of this beginning, and begins the first half of the streams at
/// the old version, the others at the new one.
fn answer_and_begin(fleet: &FrontFleet, prefix: &str) {
    (0..STREAMS).for_each(|stream| answer_at(fleet, NEW, &format!("{prefix}{stream}"), stream));
    (0..STREAMS).for_each(|stream| {
        answer_at(fleet, version_of(stream), &format!("first-{stream}"), stream);
    });
}

/// The version of a stream that [`answer_and_begin`] has begun.
const fn version_of(stream: usize) -> &'static str {
    if stream < STREAMS / 2 { OLD } else { NEW }
}

/// Checks that only the streams that began at the new version go on.
fn check_new_go_on(responses: &[HttpResponse]) {
    for (stream, response) in responses.iter().enumerate() {
        match version_of(stream) {
            OLD => assert_eq!(response.status, 503, "{stream}: {}", response.body),
            _ => assert_eq!(versions_in(&response.body), [NEW].into(), "{stream}"),
        }
    }
}

// Guards against streams joined from two versions: their prompts were answered at the new version before, and the servers
// of the old one, which ran the streams, have left when all daemons are killed.
#[test]
fn earlier_answers_to_their_prompts_do_not_show_where_streams_ran_after_the_loss_of_all_daemons() {
    for prefix in [SHORT_PREFIX, LONG_PREFIX] {
        let mut fleet = start(&[OLD, NEW]);
        answer_and_begin(&fleet, prefix);
        end_old_servers(&fleet);
        lose_all(&mut fleet);
        check_new_go_on(&take_up(&fleet));
    }
}

// Guards against streams joined from two versions: they are taken up before the daemons have read in the store's history
// that servers of another version have left.
#[test]
fn streams_are_not_decided_before_the_history_of_the_store_is_read() {
    let mut fleet = start(&[OLD, NEW]);
    answer_and_begin(&fleet, LONG_PREFIX);
    end_old_servers(&fleet);
    fleet.store.hold_history();
    lose_all(&mut fleet);
    check_new_go_on(&take_up_within(&fleet, 1));
    fleet.store.release_history();
    check_new_go_on(&take_up(&fleet));
}
