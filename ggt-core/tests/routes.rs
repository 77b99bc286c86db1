//! Routes by host and longest path prefix, weighted services and API keys.

use std::collections::BTreeMap;
use std::collections::HashMap;

use ggt_core::routes::AllowedRegions;
use ggt_core::routes::CallerLimits;
use ggt_core::routes::CustomerEntry;
use ggt_core::routes::RegionMap;
use ggt_core::routes::RouteConfig;
use ggt_core::routes::RouteEntry;
use ggt_core::routes::ServiceWeight;
use ggt_core::routes::split_hash;

fn route(name: &str, path_prefix: &str, services: &[(&str, f64)]) -> RouteEntry {
    let weighted = |(service, weight): &(&str, f64)| ServiceWeight {
        service: (*service).to_owned(),
        weight: *weight,
    };
    RouteEntry {
        name: name.to_owned(),
        host: "Chat.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        is_stream: false,
        is_idempotent: true,
        timeout_ms: 1_000,
        goal_ms: 100,
        max_gap_ms: 0,
        priority: 1,
        max_attempts: 2,
        is_public: false,
        is_sticky: false,
        services: services.iter().map(weighted).collect(),
        allowed_regions: Default::default(),
    }
}

fn config(routes: Vec<RouteEntry>) -> RouteConfig {
    RouteConfig::new(3, routes, Vec::new(), None, CallerLimits::default())
}

#[test]
fn the_route_with_the_longest_prefix_matches() {
    let config =
        config(vec![route("short", "/a/", &[("s", 1.0)]), route("long", "/a/b/", &[("s", 1.0)])]);
    let name = |host: &str, path: &str| config.find(host, path).map(|route| route.name.clone());
    assert_eq!(name("chat.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("chat.example", "/a/b").as_deref(), Some("short"));
    assert_eq!(name("CHAT.example", "/a/").as_deref(), Some("short"));
    assert_eq!(name("chat.example", "/ab/c"), None);
    assert_eq!(name("other.example", "/a/b/c"), None);
}

#[test]
fn a_split_route_follows_its_weights() {
    let split = route("split", "/a/", &[("most", 90.0), ("few", 10.0)]);
    let hashes = (0..10_000).map(|number: u32| split_hash(&number.to_string()));
    let few = hashes.filter(|hash| split.service_for(*hash) == Some("few")).count();
    assert!((800..1_200).contains(&few), "{few} of 10000 requests");
}

#[test]
fn a_service_with_no_weight_gets_nothing() {
    let split = route("split", "/a/", &[("all", 1.0), ("none", 0.0)]);
    let hashes = (0..1_000).map(|number: u32| split_hash(&number.to_string()));
    assert!(hashes.map(|hash| split.service_for(hash)).all(|service| service == Some("all")));
}

#[test]
fn keys_are_required_only_if_customers_are_configured() {
    assert!(!config(Vec::new()).requires_key());
    let customer = CustomerEntry {
        name: "c".to_owned(),
        priority: Some(2),
        allowed_regions: Default::default(),
    };
    let customers = HashMap::from([("key".to_owned(), customer.clone())]);
    let config =
        RouteConfig::new(1, Vec::new(), Vec::new(), Some(customers), CallerLimits::default());
    assert!(config.requires_key());
    assert_eq!(config.customer("key"), Some(&customer));
    assert_eq!(config.customer("removed"), None);
}

fn regions() -> BTreeMap<String, String> {
    let pairs = [("a", "north"), ("b", "north"), ("c", "south"), ("d", "east")];
    pairs.map(|(centre, region)| (centre.to_owned(), region.to_owned())).into()
}

fn allowed(names: &[&str]) -> AllowedRegions {
    AllowedRegions::new(names.iter().map(|name| (*name).to_owned()).collect())
}

// Guards against requests that leave the regions which their route or their customer allows.
#[test]
fn regions_of_route_and_customer_both_bind() {
    let centres = |route: &[&str], customer: &[&str]| {
        RegionMap::new(&regions()).allowed_centres(&allowed(route), &allowed(customer))
    };
    assert_eq!(centres(&[], &[]), None);
    assert_eq!(centres(&["north"], &[]), Some(vec!["a".to_owned(), "b".to_owned()]));
    assert_eq!(centres(&[], &["south"]), Some(vec!["c".to_owned()]));
    assert_eq!(centres(&["north", "south"], &["south", "east"]), Some(vec!["c".to_owned()]));
    assert_eq!(centres(&["north"], &["south"]), Some(Vec::new()));
    assert_eq!(
        centres(&["nowhere"], &[]),
        Some(Vec::new()),
        "a region that no data centre lies in"
    );
}

#[test]
fn neighbours_share_a_region() {
    let regions = regions();
    let map = RegionMap::new(&regions);
    assert_eq!(map.neighbours("b"), ["a", "b"]);
    assert_eq!(map.neighbours("unknown"), ["unknown"]);
}
