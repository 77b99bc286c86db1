//! Timing bounds and settings of the front end for the users' platform.

use std::path::Path;

use ggt_core::store_watch::WatchPeers;
use ggt_core::store_watch::WatchTiming;
use ggt_daemon::front::is_front_settings;
use ggt_daemon::front::parse_front_settings;

// Guards against a configuration that is in force too late because the watch hangs that should bring it.
#[test]
fn change_is_known_in_time_although_a_watch_hangs() {
    let settings = parse_front_settings(Path::new("s.json"), SETTINGS).expect("good settings");
    let (config_ms, leaving_ms) = (settings.config_delay_ms, settings.leaving_delay_ms);
    for peers in [WatchPeers::None, WatchPeers::Watchers, WatchPeers::Followers] {
        let timing = WatchTiming::within(settings.change_delay_ms(), peers);
        let longest_ms = match peers {
            WatchPeers::Followers => timing.longest_follower_ms(),
            WatchPeers::None | WatchPeers::Watchers => timing.longest_watcher_ms(),
        };
        assert!(longest_ms < config_ms, "{longest_ms} of {config_ms} ms");
        assert!(longest_ms < leaving_ms, "{longest_ms} of {leaving_ms} ms");
    }
}

const SETTINGS: &str = r#"{
  "name": "edge-1", "data_centre": "a", "callers": "10.0.0.1:80", "ready": "10.0.0.1:81",
  "admin": "10.0.0.1:82", "peer": "10.0.0.1:83", "seeds": ["10.0.0.2:9"], "store": "10.0.9.1:80",
  "retries": { "ratio": 0.2, "slack": 58, "window_s": 10 }, "grace_s": 8
}"#;

#[test]
fn settings_for_the_platform_are_detected() {
    assert!(is_front_settings(SETTINGS));
    assert!(!is_front_settings("{}"));
    assert!(!is_front_settings("no json"));
}

#[test]
fn seeds_get_the_port_of_peer_and_grace_is_in_milliseconds() {
    let settings = parse_front_settings(Path::new("s.json"), SETTINGS).expect("good settings");
    assert_eq!(settings.seed_peers(), vec!["10.0.0.2:83".parse().expect("an address")]);
    assert_eq!(settings.grace_ms(), 8_000);
}

#[test]
fn errors_of_invalid_settings_name_file_and_path() {
    for (from, to, path) in [
        ("\"ratio\": 0.2", "\"ratio\": 7", "retries.ratio"),
        ("\"grace_s\": 8", "\"grace_s\": 0", "grace_s"),
        ("\"name\": \"edge-1\"", "\"name\": \"\"", "name"),
        ("10.0.9.1:80", "nowhere", "store"),
        ("\"grace_s\"", "\"grace\"", "grace"),
    ] {
        let text = SETTINGS.replace(from, to);
        let error = parse_front_settings(Path::new("s.json"), &text).expect_err("invalid settings");
        let error = error.to_string();
        assert!(error.contains("s.json") && error.contains(path), "{error}");
    }
}
