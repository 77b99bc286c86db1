//! Request headers and a configuration for tests on the users' platform.

use serde_json::Value;
use serde_json::json;

/// `Host` header that all routes of the test configuration match.
pub const HOST: &str = "chat.example";
/// API key of the only customer in the test configuration.
pub const API_KEY: &str = "key-of-c1";

/// Tokens of each part of a prompt from [`prompt_headers_of`].
const PART_TOKENS: usize = 100;

/// Headers of a request with the attempt id `id` and a deadline of `deadline_ms` from now.
pub fn caller_headers(id: &str, deadline_ms: u64) -> Vec<(&'static str, String)> {
    vec![
        ("host", HOST.to_owned()),
        ("x-attempt-id", id.to_owned()),
        ("x-deadline-ms", deadline_ms.to_string()),
        ("authorization", format!("Token {API_KEY}")),
    ]
}

/// Headers of a prompt of 1,350 tokens in three parts, for at most 50 output tokens.
pub fn prompt_headers() -> Vec<(&'static str, String)> {
    vec![
        ("x-prompt-prefix", "a1:600,b2:700,c3:50".to_owned()),
        ("x-token-count", "1350,50".to_owned()),
        ("x-model", "m".to_owned()),
    ]
}

/// Headers of a prompt of parts with these ids, `PART_TOKENS` tokens each, for at most 50 output
/// tokens.
pub fn prompt_headers_of(parts: &[&str]) -> Vec<(&'static str, String)> {
    let entries: Vec<_> = parts.iter().map(|id| format!("{id}:{PART_TOKENS}")).collect();
    vec![
        ("x-prompt-prefix", entries.join(",")),
        ("x-token-count", format!("{},50", parts.len() * PART_TOKENS)),
        ("x-model", "m".to_owned()),
    ]
}

/// Test configuration: idempotent requests under `/read/`, non-idempotent ones under `/once/`,
/// resumable streams under `/chat/` and others under `/talk/`, all served by the service `s`.
///
/// Every route allows three attempts, so that the limit on attempts is never what keeps a
/// non-idempotent request from a second server.
pub fn test_config(version: u64) -> Value {
    let route = |name: &str, kind: &str, can_resume: bool, attempts: u32| {
        json!({
            "Name": name, "Host": HOST, "PathPrefix": format!("/{name}/"), "Kind": kind,
            "TimeoutMs": 20_000, "GoalMs": 300, "Priority": 1, "Service": "s",
            "Attempts": attempts, "Public": false, "Sticky": can_resume, "CanResume": can_resume,
            "GapTargetMs": 300,
        })
    };
    json!({
        "Version": version,
        "Routes": [
            route("read", "idempotent", false, 3),
            route("once", "non_idempotent", false, 3),
            route("chat", "streaming", true, 3),
            route("talk", "streaming", false, 3),
        ],
        "Services": [{ "Name": "s", "HealthPath": "/health", "MaxConns": 100, "Protocol": "h1" }],
        "Limits": {
            "MaxHeaderBytes": 16_384, "MaxBodyBytes": 65_536,
            "HeaderTimeoutMs": 3_000, "IdleTimeoutMs": 15_000,
        },
        "Tenants": [{ "Name": "c1", "ApiKeys": [API_KEY], "Priority": 1 }],
    })
}
