//! Routes and customers that allow some regions only, on the users' platform.

use std::sync::Arc;

use serde_json::Value;
use serde_json::json;

use ggt_platform::evacuation_key;
use ggt_standin::users_platform::respond;
use ggt_standin::users_platform::test_config;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::front::await_ready;
use ggt_testkit::log_book::LogBook;
use ggt_testkit::wait::wait_until;

/// Requests that each daemon gets.
const REQUESTS: usize = 30;

/// A fleet of two data centres in two regions, with a server and a daemon in each, and this configuration.
fn start_fleet(config: &Value) -> (FrontFleet, Arc<LogBook>) {
    let settings = json!({ "regions": { "a": "north", "b": "south" } });
    let mut fleet = FrontFleet::start_with(0, 0, settings);
    fleet.publish(config);
    fleet.data_centres = vec!["a", "b"];
    (0..2).for_each(|number| fleet.add_server(&format!("i-{number}")));
    for server in &fleet.servers {
        server.set_script(|request, stream| respond(request, stream, 200, "whole"));
    }
    let log = fleet.keep_logs();
    (0..2).for_each(|number| fleet.add_daemon(number, None));
    fleet.daemons.iter().for_each(await_ready);
    (fleet, log)
}

/// Statuses of requests for this path through both daemons.
fn statuses(fleet: &FrontFleet, path: &str) -> Vec<u16> {
    let send = |daemon: usize, number: usize| {
        let id = format!("call-{}-{daemon}-{number}", path.trim_matches('/'));
        let response = fleet.request(daemon, "POST", path, &id).body("x").send();
        response.map_or(0, |response| response.status)
    };
    (0..2 * REQUESTS).map(|number| send(number % 2, number)).collect()
}

// Guards against requests at servers outside the regions that their route or customer allows, through daemons that
// are outside themselves, and when the allowed ones may not be used.
#[test]
fn restricted_requests_stay_in_their_regions() {
    let mut config = test_config(2);
    config["Routes"][0]["AllowedRegions"] = json!(["north", "nowhere"]);
    config["Routes"][1]["AllowedRegions"] = json!(["south"]);
    config["Tenants"][0]["AllowedRegions"] = json!(["north"]);
    let (fleet, log) = start_fleet(&config);
    assert!(statuses(&fleet, "/read/").iter().all(|status| *status == 200));
    assert_eq!(fleet.servers[0].requests().len(), 2 * REQUESTS);
    assert!(statuses(&fleet, "/once/").iter().all(|status| *status == 503), "both bind");
    fleet.store.put(&evacuation_key("a"), "{}");
    wait_until("both daemons know", || log.count("evacuation", "in-force") >= 2);
    assert!(statuses(&fleet, "/read/").iter().all(|status| *status == 503));
    assert!(fleet.servers[1].requests().is_empty(), "requests outside the allowed regions");
}

// Guards against requests without restriction that are held back by the regions of others.
#[test]
fn unrestricted_requests_use_all_regions() {
    let mut config = test_config(2);
    config["Routes"][1]["AllowedRegions"] = json!(["north"]);
    let (fleet, _) = start_fleet(&config);
    assert!(statuses(&fleet, "/read/").iter().all(|status| *status == 200));
    assert!(fleet.servers.iter().all(|server| !server.requests().is_empty()));
}
