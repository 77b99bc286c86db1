//! Calls to the daemons' operators' API.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use snafu::Snafu;
use ureq::Agent;

/// Longest wait for a daemon's answer.
const ANSWER_WAIT: Duration = Duration::from_secs(5);

/// Why a daemon gave no usable answer.
#[derive(Debug, Snafu)]
pub enum AdminError {
    /// It cannot be reached.
    #[snafu(display("{admin}: {cause}"))]
    Unreachable {
        /// The daemon's admin address.
        admin: SocketAddr,
        /// The cause.
        cause: String,
    },
    /// It refused the call.
    #[snafu(display("{admin}: status {status}: {detail}"))]
    Refused {
        /// The daemon's admin address.
        admin: SocketAddr,
        /// The HTTP status.
        status: u16,
        /// What it said.
        detail: String,
    },
}

/// Calls one daemon and reads its JSON answer.
///
/// # Errors
/// [`AdminError`] when there is no usable answer.
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
        .timeout_global(Some(ANSWER_WAIT))
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

/// Writes a value for a query, with all but unreserved characters as `%XX`.
pub fn encode_query(text: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte);
    text.bytes()
        .map(|byte| match is_plain(byte) {
            true => char::from(byte).to_string(),
            false => format!("%{byte:02X}"),
        })
        .collect()
}
