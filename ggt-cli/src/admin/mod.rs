//! Client of the daemons' admin API.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use snafu::Snafu;
use ureq::Agent;

/// Timeout of a call to a daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Error of a call to a daemon.
#[derive(Debug, Snafu)]
pub enum AdminError {
    /// The daemon cannot be reached, or its reply cannot be read.
    #[snafu(display("{admin}: {cause}"))]
    Unreachable {
        /// Admin address of the daemon.
        admin: SocketAddr,
        /// Text of the HTTP client's error.
        cause: String,
    },
    /// The daemon replied with an error status.
    #[snafu(display("{admin}: status {status}: {detail}"))]
    Refused {
        /// Admin address of the daemon.
        admin: SocketAddr,
        /// HTTP status.
        status: u16,
        /// The reply's `error` text; empty if there is none.
        detail: String,
    },
}

/// Calls one daemon and returns its reply as JSON; a reply that is not JSON becomes a JSON string.
///
/// # Errors
/// [`AdminError`] if the daemon is unreachable or replies with an error status.
pub fn call_admin(
    admin: SocketAddr,
    key: &str,
    method: &str,
    path: &str,
) -> Result<Value, AdminError> {
    let unreachable = |cause: String| AdminError::Unreachable { admin, cause };
    let agent: Agent = Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(CALL_TIMEOUT))
        .build()
        .new_agent();
    let request = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{admin}{path}"))
        .header("authorization", format!("Bearer {key}"))
        .body(())
        .map_err(|e| unreachable(e.to_string()))?;
    let mut response = agent.run(request).map_err(|e| unreachable(e.to_string()))?;
    let status = response.status().as_u16();
    let text = response.body_mut().read_to_string().map_err(|e| unreachable(e.to_string()))?;
    let value: Value = serde_json::from_str(&text).unwrap_or(Value::String(text));
    if status >= 300 {
        let detail = value["error"].as_str().unwrap_or_default().to_owned();
        return Err(AdminError::Refused { admin, status, detail });
    }
    Ok(value)
}

/// Percent-encodes a query value; only unreserved characters and `/` are kept.
pub fn encode_query(text: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte);
    text.bytes()
        .map(|byte| match is_plain(byte) {
            true => char::from(byte).to_string(),
            false => format!("%{byte:02X}"),
        })
        .collect()
}
