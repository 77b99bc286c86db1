//! Timing bounds and settings of the front end for the users' platform.

use std::path::Path;

use ggt_core::store_watch::WatchPeers;
use ggt_core::store_watch::WatchTiming;
use ggt_daemon::front::FrontSettings;
use ggt_daemon::front::SettingsChange;
use ggt_daemon::front::is_front_settings;
use ggt_daemon::front::parse_front_settings;
use ggt_daemon::front::settings_digest;

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

fn with_settings(from: &str, to: &str) -> FrontSettings {
    let text = SETTINGS.replace(from, to);
    parse_front_settings(Path::new("s.json"), &text).expect("good settings")
}

// Guards against daemons of which nobody can tell whether they run the same settings.
#[test]
fn settings_digest_differs_with_the_settings_but_not_with_the_host() {
    let digest = |from, to| settings_digest(&with_settings(from, to));
    let usual = digest("", "");
    assert_eq!(digest("edge-1", "edge-2"), usual);
    assert_eq!(digest("10.0.0.1:80", "10.0.0.7:80"), usual);
    assert_ne!(digest("\"slack\": 58", "\"slack\": 59"), usual);
    assert_ne!(digest("10.0.0.2:9", "10.0.0.3:9"), usual);
}

// Guards against a reload that takes settings without a word although only a restart puts them in force.
#[test]
fn reload_names_what_changes_and_what_needs_a_restart() {
    let before = with_settings("", "");
    assert_eq!(SettingsChange::between(&before, &before), SettingsChange::default());
    let after = with_settings("\"grace_s\": 8", "\"grace_s\": 9, \"log_level\": \"warn\"");
    let change = SettingsChange::between(&before, &after);
    assert_eq!(change.in_force, ["grace_s"]);
    assert_eq!(change.after_restart, ["log_level"]);
}

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
