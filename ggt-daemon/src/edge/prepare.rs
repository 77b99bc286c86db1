//! Authenticates and validates requests before they are processed.

use bytes::Bytes;
use http::HeaderMap;
use http::header;
use http::request::Parts;
use snafu::Snafu;

use crate::clock::mono_now;
use crate::clock::wall_now;
use crate::dispatch::Refusal;
use crate::dispatch::RequestEnd;
use crate::dispatch::RequestJob;
use crate::state::ActiveConfig;
use crate::state::SharedState;
use ggt_core::claims::KeyError;
use ggt_core::claims::parse_key;
use ggt_core::ident::CustomerName;
use ggt_core::ident::mix_hash;
use ggt_core::ident::stable_hash;
use ggt_core::verdict::RunVerdict;
use ggt_wire::auth::key_digest;
use ggt_wire::headers;
use ggt_wire::hint::HintVerdict;
use ggt_wire::hint::decode_hint;

/// Maximum length of a chat id or request id.
const MAX_ID_BYTES: usize = 256;

/// Why a request is rejected before it is processed.
#[derive(Debug, Snafu)]
pub enum RequestError {
    /// No bearer key, or one that belongs to no customer.
    #[snafu(display("the bearer key is missing or unknown"))]
    UnknownKey,
    /// No rule of the configuration matches.
    #[snafu(display("no workload serves {method} {path} for this customer"))]
    NoWorkload {
        /// HTTP method.
        method: String,
        /// Path without query.
        path: String,
    },
    /// The body exceeds `limits.max_body_bytes`.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// Maximum in bytes.
        limit: usize,
    },
    /// A header is malformed or repeated.
    #[snafu(display("the header {name} is malformed"))]
    Malformed {
        /// Name of the header.
        name: &'static str,
    },
    /// A non-idempotent request has no idempotency key.
    #[snafu(display("this action needs an Idempotency-Key"))]
    MissingKey,
    /// The idempotency key is not acceptable.
    #[snafu(display("{source}"), context(false))]
    Key {
        /// Underlying parse or policy error.
        source: KeyError,
    },
}

impl From<RequestError> for Refusal {
    fn from(error: RequestError) -> Self {
        let (status, cause) = match &error {
            RequestError::UnknownKey => (401, "unknown-key"),
            RequestError::NoWorkload { .. } => (404, "no-workload"),
            RequestError::TooLarge { .. } => (413, "too-large"),
            RequestError::Malformed { .. } => (400, "malformed-header"),
            RequestError::MissingKey => (400, "missing-key"),
            RequestError::Key { source: KeyError::Expired } => (410, "expired-key"),
            RequestError::Key { .. } => (400, "malformed-key"),
        };
        let refusal = Self::not_run(status, cause, error.to_string());
        match error {
            // Claims are dropped after the resend window, so an earlier request may have run.
            RequestError::Key { source: KeyError::Expired } => {
                Self { verdict: RunVerdict::Unknown, ..refusal }
            }
            _ => refusal,
        }
    }
}

/// Validates a request whose headers and body have been received, and builds its job.
///
/// # Errors
/// [`RequestError`] if the request is rejected; its text is sent to the caller.
pub(super) fn prepare_job(
    state: &SharedState,
    config: &ActiveConfig,
    number: u64,
    request_id: &str,
    caller_id: &str,
    parts: &Parts,
    body: Bytes,
) -> Result<RequestJob, RequestError> {
    let customer = find_customer(config, &parts.headers)?;
    let method = parts.method.as_str();
    let path = parts.uri.path();
    let (_, rule) = config.accepted.find_rule(&customer, method, path).ok_or_else(|| {
        RequestError::NoWorkload { method: method.to_owned(), path: path.to_owned() }
    })?;
    let model = &config.accepted.model;
    let no_workload =
        || RequestError::NoWorkload { method: method.to_owned(), path: path.to_owned() };
    let customer_section = model.customers.get(&customer).ok_or(RequestError::UnknownKey)?;
    let workload_section = model.workloads.get(&rule.workload).ok_or_else(no_workload)?;
    let chat = id_header(&parts.headers, headers::CHAT_ID)?;
    let hint_header = text_header(&parts.headers, headers::CHAT_HINT)?;
    let is_new_chat = hint_header == Some(headers::NEW_CHAT_HINT);
    let hint = match hint_header {
        None => None,
        Some(_) if is_new_chat => None,
        Some(text) => match decode_hint(&state.keys, &customer, text) {
            HintVerdict::Valid(hint) => Some(hint),
            HintVerdict::Forged => {
                log::info!("event=hint-ignored request_id={request_id} customer={customer}");
                None
            }
            HintVerdict::Malformed => {
                return Err(RequestError::Malformed { name: headers::CHAT_HINT });
            }
        },
    };
    let key = match (rule.non_idempotent, text_header(&parts.headers, headers::IDEMPOTENCY_KEY)?) {
        (false, _) => None,
        (true, None) => return Err(RequestError::MissingKey),
        (true, Some(text)) => Some(parse_key(&customer, text, &config.keys, wall_now())?),
    };
    let placement_id = chat.unwrap_or(request_id);
    let customer_hash = stable_hash(customer.as_str().as_bytes());
    let target_path = parts.uri.path_and_query().map_or(path, |uri| uri.as_str());
    Ok(RequestJob {
        number,
        request_id: request_id.to_owned(),
        caller_id: caller_id.to_owned(),
        customer_section: customer_section.clone(),
        workload: rule.workload.clone(),
        workload_section: workload_section.clone(),
        method: parts.method.clone(),
        path: target_path.to_owned(),
        head: forwarded_head(&parts.headers),
        body,
        chat_hash: mix_hash(customer_hash, stable_hash(placement_id.as_bytes())),
        has_chat: chat.is_some(),
        is_new_chat,
        hint,
        key,
        deadline: mono_now() + deadline_ms(state, &parts.headers)?,
        end: RequestEnd::default(),
        customer,
    })
}

/// Finds the customer that the bearer key belongs to.
pub(super) fn find_customer(
    config: &ActiveConfig,
    head: &HeaderMap,
) -> Result<CustomerName, RequestError> {
    let value = head.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let bearer = value.and_then(|text| text.strip_prefix("Bearer ")).map(str::trim);
    let digest = key_digest(bearer.ok_or(RequestError::UnknownKey)?);
    config.accepted.customer_by_digest(&digest).cloned().ok_or(RequestError::UnknownKey)
}

/// The request id set by the caller, if it is valid.
pub(super) fn caller_request_id(head: &HeaderMap) -> Option<&str> {
    id_header(head, headers::REQUEST_ID).ok().flatten()
}

fn text_header<'a>(
    head: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, RequestError> {
    let mut values = head.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(RequestError::Malformed { name });
    }
    value.to_str().map(Some).map_err(|_| RequestError::Malformed { name })
}

fn id_header<'a>(head: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, RequestError> {
    let Some(text) = text_header(head, name)? else { return Ok(None) };
    let is_id = !text.is_empty()
        && text.len() <= MAX_ID_BYTES
        && text.bytes().all(|byte| byte.is_ascii_graphic());
    if is_id { Ok(Some(text)) } else { Err(RequestError::Malformed { name }) }
}

fn deadline_ms(state: &SharedState, head: &HeaderMap) -> Result<u64, RequestError> {
    let max_ms = state.settings.timing.request_ms;
    match text_header(head, headers::DEADLINE_MS)? {
        None => Ok(max_ms),
        Some(text) => match text.parse::<u64>() {
            Ok(millis) if millis > 0 => Ok(millis.min(max_ms)),
            _ => Err(RequestError::Malformed { name: headers::DEADLINE_MS }),
        },
    }
}

/// Headers that are forwarded to the target: all except hop-by-hop headers, the fleet's own
/// headers, and those that the daemon sets itself or that concern only the caller's connection.
fn forwarded_head(head: &HeaderMap) -> HeaderMap {
    const FLEET_HEADERS: [&str; 8] = [
        headers::REQUEST_ID,
        headers::CHAT_HINT,
        headers::RUN_VERDICT,
        headers::IDEMPOTENCY_KEY,
        headers::DEADLINE_MS,
        headers::PRIORITY,
        headers::FENCING_NUMBER,
        headers::SERVED_BY,
    ];
    head.iter()
        .filter(|(name, _)| !crate::dispatch::is_hop_by_hop(name))
        .filter(|(name, _)| !FLEET_HEADERS.contains(&name.as_str()))
        .filter(|(name, _)| {
            ![header::AUTHORIZATION, header::HOST, header::CONTENT_LENGTH, header::EXPECT]
                .contains(*name)
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
