//! Encoding of what daemons say to each other about a request that one forwards to another.
//!
//! A forwarded request keeps its method, path, headers and body; one header is added to it, and one to its
//! reply.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use ggt_core::versions::SoftwareVersion;

/// Header of a forwarded request; counts only on the port for peers.
pub const REQUEST_HEADER: &str = "ggt-forwarded";
/// Encoding of an absent value.
const ABSENT_FIELD: &str = "00";
/// Header of the reply to a forwarded request.
pub const REPLY_HEADER: &str = "ggt-forwarded-reply";

/// What the forwarding daemon knows and has decided about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// Version of the protocol.
    pub protocol: u8,
    /// Address of the forwarding daemon for peers.
    pub sender: SocketAddr,
    /// Incarnation of the forwarding daemon.
    pub incarnation: u64,
    /// Version of its configuration.
    pub config_version: u64,
    /// The request's route.
    pub route: ForwardedRoute,
    /// The service that serves the request.
    pub service: String,
    /// Name of the customer, if its key is known.
    pub customer: Option<String>,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of sends to targets.
    pub attempts: u32,
    /// Milliseconds until the deadline.
    pub remaining_ms: u64,
    /// Whether the request may have run already, so that it is not refused for lack of capacity.
    pub may_have_run: bool,
    /// Last event that the caller has of the stream.
    pub last_event: Option<u64>,
    /// Attempt that brought the stream's first event, if the caller has events of it.
    pub first_attempt: Option<String>,
    /// The only version that may serve the request, which goes on with a stream.
    pub version: Option<SoftwareVersion>,
    /// The only data centres in which the request may be processed; `None` if all are allowed. Earlier builds do
    /// not send it, and ignore it.
    pub allowed_centres: Option<Vec<String>>,
}

/// The facts of a route that a peer needs to serve a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRoute {
    /// Name of the route.
    pub name: String,
    /// Whether the response is a stream of events.
    pub is_stream: bool,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether requests carry prompts whose prefixes targets cache.
    pub is_sticky: bool,
    /// Latency objective in milliseconds.
    pub goal_ms: u64,
    /// Objective for the gap between events in milliseconds.
    pub max_gap_ms: u64,
}

/// What the peer says about its response to a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardedReply {
    /// The response is a target's.
    Served {
        /// Version of the target, if it has sent events of a stream.
        version: Option<SoftwareVersion>,
    },
    /// The response is the peer's own; its status says whether the request may have run.
    Refused {
        /// Cause of the refusal.
        cause: String,
        /// Milliseconds after which the caller may try again.
        retry_after_ms: Option<u64>,
    },
}

/// Encodes the header of a forwarded request.
///
/// # Errors
/// The error of the codec.
pub fn encode_request(request: &ForwardedRequest) -> Result<String, postcard::Error> {
    encode(request)
}

/// Decodes the header of a forwarded request. Its last field may be missing: earlier builds do not send it.
///
/// # Errors
/// The error of the codec for a value that is none.
pub fn decode_request(value: &str) -> Result<ForwardedRequest, postcard::Error> {
    decode(value).or_else(|error| decode(&format!("{value}{ABSENT_FIELD}")).map_err(|_| error))
}

/// Encodes the header of a reply to a forwarded request.
///
/// # Errors
/// The error of the codec.
pub fn encode_reply(reply: &ForwardedReply) -> Result<String, postcard::Error> {
    encode(reply)
}

/// Decodes the header of a reply to a forwarded request.
///
/// # Errors
/// The error of the codec for a value that is none.
pub fn decode_reply(value: &str) -> Result<ForwardedReply, postcard::Error> {
    decode(value)
}

/// Encodes a value in hexadecimal digits, as header values are text.
fn encode<T>(value: &T) -> Result<String, postcard::Error>
where
    T: Serialize,
{
    let bytes = postcard::to_stdvec(value)?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}

fn decode<T>(value: &str) -> Result<T, postcard::Error>
where
    T: DeserializeOwned,
{
    let malformed = || postcard::Error::DeserializeBadEncoding;
    let digits = value.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return Err(malformed());
    }
    let byte_of = |pair: &[u8]| {
        let text = std::str::from_utf8(pair).ok()?;
        u8::from_str_radix(text, 16).ok()
    };
    let bytes: Option<Vec<_>> = digits.chunks(2).map(byte_of).collect();
    postcard::from_bytes(&bytes.ok_or_else(malformed)?)
}
