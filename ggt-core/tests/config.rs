//! Merging and validation of configuration files, and the revision gate.

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

use ggt_core::config::OfferOutcome;
use ggt_core::config::RevisionGate;
use ggt_core::config::accept_files;
use ggt_core::config::merge_files;
use ggt_core::hosts::accept_hosts;
use ggt_core::ident::CustomerName;

fn check<T>(property: T)
where
    T: Testable,
{
    QuickCheck::new().rng(Gen::from_size_and_seed(80, 7)).tests(2_000).quickcheck(property);
}

const VALID_CONFIG: &str = r#"{
    "roster": {"epoch": 1, "daemons": {"d1": {"data_centre": "a", "peer": "127.0.0.1:7001"}}},
    "customers": {"c": {"key_sha256":
        ["2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"]}},
    "workloads": {"intake": {}},
    "rules": {
        "all": {"order": 9, "method": "POST", "path": "/*", "workload": "intake"},
        "chat": {"method": "POST", "path": "/chat", "workload": "intake", "customers": ["c"]}
    }
}"#;

fn error_text(overlay: &str) -> String {
    match accept_files([("10.json", VALID_CONFIG), ("20.json", overlay)]) {
        Ok(_) => "accepted".to_owned(),
        Err(e) => e.to_string(),
    }
}

#[test]
fn later_files_override_values_by_key_and_null_removes_a_key() {
    let folder = merge_files([
        ("20.json", r#"{"a": {"x": 2, "l": [3]}, "gone": null}"#),
        ("10.json", r#"{"a": {"x": 1, "y": 1, "l": [1, 2]}, "gone": {"deep": 1}}"#),
    ])
    .expect("two valid files");
    assert_eq!(folder.value.to_string(), r#"{"a":{"l":[3],"x":2,"y":1}}"#);
    assert_eq!(folder.source_of("/a/x"), Some("20.json"));
    assert_eq!(folder.source_of("/a/y"), Some("10.json"));
    assert_eq!(folder.source_of("/a/l/0"), Some("20.json"));
    assert!(!folder.sources.keys().any(|path| path.starts_with("/gone")));
}

#[test]
fn errors_name_file_pointer_and_cause() {
    let cases = [
        (r#"{"routing": {"max_load": 2}}"#, "20.json: /routing/max_load: unknown field"),
        (r#"{"routing": {"max_load_ratio": 1}}"#, "20.json: /routing/max_load_ratio: must be"),
        (r#"{"workloads": {"intake": {"resumable": 1}}}"#, "20.json: /workloads/intake/resumable:"),
        (r#"{"rules": {"chat": {"workload": "x"}}}"#, "20.json: /rules/chat/workload: workload"),
        (
            r#"{"rules": {"chat": {"customers": ["x"]}}}"#,
            "20.json: /rules/chat/customers: customer",
        ),
        (r#"{"customers": {"d": {"key_sha256": ["12"]}}}"#, "20.json: /customers/d/key_sha256/0:"),
        (
            r#"{"roster": {"daemons": {"d2": {"data_centre": "a", "peer": "127.0.0.1:7001"}}}}"#,
            "20.json: /roster/daemons/d2/peer: 127.0.0.1:7001 is already",
        ),
        (
            r#"{"roster": {"daemons": {"d1": {"added": 4}}}}"#,
            "20.json: /roster/daemons/d1/added: is after the epoch 1",
        ),
        (r#"{"roster": {"daemons": {"d1": {"peer": null}}}}"#, "missing field `peer`"),
        (r#"{"claims": {"resend_window_ms": 10}}"#, "20.json: /claims/resend_window_ms: must be"),
        ("[]", "20.json: the top must be an object"),
        ("{", "20.json: not valid JSON"),
    ];
    for (overlay, expected) in cases {
        let cause = error_text(overlay);
        assert!(cause.contains(expected), "{overlay}: {cause}");
    }
}

#[test]
fn a_bearer_key_of_two_customers_is_rejected() {
    let key = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683";
    let cause = error_text(&format!(r#"{{"customers": {{"d": {{"key_sha256": ["{key}"]}}}}}}"#));
    assert!(cause.contains("/customers/d/key_sha256/0: the key already belongs to"), "{cause}");
}

#[test]
fn rules_match_in_order_by_customer_method_and_path() {
    let accepted = accept_files([("10.json", VALID_CONFIG)]).expect("a valid file");
    let name = |customer: &str, path: &str| {
        let found = accepted.find_rule(&CustomerName::from(customer), "POST", path);
        found.map(|(name, _)| name.to_owned())
    };
    assert_eq!(name("c", "/chat"), Some("chat".to_owned()));
    assert_eq!(name("other", "/chat"), Some("all".to_owned()));
    assert_eq!(name("c", "/elsewhere"), Some("all".to_owned()));
    assert!(accepted.find_rule(&CustomerName::from("c"), "GET", "/chat").is_none());
}

#[test]
fn parsers_do_not_panic_on_any_text() {
    fn property(name: String, first: String, second: String) -> bool {
        let _ = accept_files([(name.as_str(), first.as_str()), ("10.json", VALID_CONFIG)]);
        let _ = accept_files([("10.json", VALID_CONFIG), (name.as_str(), second.as_str())]);
        let _ = accept_hosts(1, [(name.as_str(), second.as_str())]);
        true
    }
    check(property as fn(String, String, String) -> bool);
}

#[test]
fn parsers_do_not_panic_on_changed_valid_text() {
    fn property(at: usize, length: usize, insert: String) -> bool {
        let at = at % VALID_CONFIG.len();
        let end = (at + length % 20).min(VALID_CONFIG.len());
        let text = format!("{}{insert}{}", &VALID_CONFIG[..at], &VALID_CONFIG[end..]);
        let _ = accept_files([("10.json", text.as_str())]);
        let _ = accept_files([("10.json", VALID_CONFIG), ("20.json", text.as_str())]);
        true
    }
    check(property as fn(usize, usize, String) -> bool);
}

#[test]
fn a_host_list_with_a_duplicate_name_is_rejected() {
    let entry = r#"{"name": "t", "address": "127.0.0.1:1", "data_centre": "a",
        "workload": "w", "incarnation": 1, "capacity": 4}"#;
    let text = format!(r#"{{"targets": [{entry}, {entry}]}}"#);
    let error = accept_hosts(1, [("a.json", text.as_str())]).expect_err("a duplicate name");
    assert_eq!(error.to_string(), "host list: target t stands twice");
}

#[test]
fn the_active_revision_only_rises() {
    fn property(offers: Vec<(u8, bool)>) -> bool {
        let mut gate = RevisionGate::default();
        let mut last = None;
        for (revision, accepted) in offers {
            let revision = u64::from(revision);
            let outcome = gate.offer(revision, accepted);
            if outcome == OfferOutcome::Activated {
                if !accepted || last.is_some_and(|last| revision <= last) {
                    return false;
                }
                last = Some(revision);
            }
            if gate.active() != last {
                return false;
            }
        }
        true
    }
    check(property as fn(Vec<(u8, bool)>) -> bool);
}
