//! Idempotency keys and the identifiers of attempts.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;
use uuid::Uuid;

use crate::clock::WallTime;
use crate::config::PlainKeys;
use crate::ident::CustomerName;
use crate::ident::DaemonName;
use crate::ident::mix_hash;
use crate::ident::stable_hash;

/// Maximum length of a key, without quotes.
const MAX_KEY_BYTES: usize = 255;
/// UUID version that contains a creation time.
const UUID_VERSION_WITH_TIME: usize = 7;

/// Idempotency key of one customer, which identifies one non-idempotent action.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ActionKey {
    /// The customer that sent the key; the same key of another customer is another action.
    pub customer: CustomerName,
    /// The key as the caller sent it; UUIDs in their canonical spelling.
    pub text: String,
    /// Creation time from a UUID of version 7, `None` for other keys.
    pub minted_at: Option<WallTime>,
}

impl ActionKey {
    /// Hash by which the key's holders are selected.
    pub fn hash(&self) -> u64 {
        let customer = stable_hash(self.customer.as_str().as_bytes());
        mix_hash(customer, stable_hash(self.text.as_bytes()))
    }
}

/// Identifies one attempt to run an action, over all daemons and their restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Daemon that makes the attempt.
    pub daemon: DaemonName,
    /// Incarnation of that daemon.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub number: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.daemon, self.incarnation, self.number)
    }
}

/// Why a key is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// The key is empty, too long or contains anything but visible ASCII characters.
    #[snafu(display("an idempotency key is 1 to {MAX_KEY_BYTES} visible ASCII characters"))]
    Malformed,
    /// The key contains no creation time and the configuration refuses such keys.
    #[snafu(display("an idempotency key must be a UUID of version 7, minted for this action"))]
    Plain,
    /// The key's creation time is in the future by more than the largest clock error.
    #[snafu(display("the idempotency key was minted in the future"))]
    Future,
    /// The key's resend window is over, and its outcome may no longer be stored.
    #[snafu(display("the idempotency key is older than the resend window"))]
    Expired,
}

/// Rules by which keys are admitted.
#[derive(Clone, Copy, Debug)]
pub struct KeyPolicy {
    /// Milliseconds for which a key may be sent again.
    pub resend_window_ms: u64,
    /// Largest difference between any two wall clocks, in milliseconds.
    pub max_clock_error_ms: u64,
    /// Treatment of keys without a creation time.
    pub plain_keys: PlainKeys,
}

/// Parses the key that a caller sent and checks its age.
///
/// # Errors
/// [`KeyError`] states why the key is refused; after [`KeyError::Expired`] the action may have run.
pub fn parse_key(
    customer: &CustomerName,
    text: &str,
    policy: &KeyPolicy,
    now: WallTime,
) -> Result<ActionKey, KeyError> {
    // The IETF draft requires quotes around the key; most clients send none.
    let text = text.strip_prefix('"').and_then(|x| x.strip_suffix('"')).unwrap_or(text);
    let is_visible = text.bytes().all(|b| b.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_KEY_BYTES || !is_visible {
        return Err(KeyError::Malformed);
    }
    let minted_at = creation_time(text);
    match minted_at {
        None if policy.plain_keys == PlainKeys::Refuse => return Err(KeyError::Plain),
        None => (),
        Some(at) if at > now + policy.max_clock_error_ms => return Err(KeyError::Future),
        Some(at) if at + policy.resend_window_ms < now => return Err(KeyError::Expired),
        Some(_) => (),
    }
    // All spellings of one UUID are the same key.
    let text = match Uuid::parse_str(text) {
        Ok(uuid) => uuid.hyphenated().to_string(),
        Err(_) => text.to_owned(),
    };
    Ok(ActionKey { customer: customer.clone(), text, minted_at })
}

fn creation_time(text: &str) -> Option<WallTime> {
    const NANOS_PER_MILLI: u64 = 1_000_000;
    const MILLIS_PER_SECOND: u64 = 1_000;
    let uuid = Uuid::parse_str(text).ok()?;
    if uuid.get_version_num() != UUID_VERSION_WITH_TIME {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    let millis = u64::from(nanos) / NANOS_PER_MILLI;
    Some(WallTime::from_millis(seconds.saturating_mul(MILLIS_PER_SECOND) + millis))
}
