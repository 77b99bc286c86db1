//! Keys of one-time actions and the attempts to run them.

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

/// Longest key in bytes.
const MAX_KEY_BYTES: usize = 255;
/// The version of UUIDs that carry their minting time.
const UUID_VERSION_WITH_TIME: usize = 7;

/// Identifies one one-time action of one customer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ActionKey {
    /// The customer that sent the key; the same key of another customer is another action.
    pub customer: CustomerName,
    /// The key as the caller sent it.
    pub text: String,
    /// When the key was minted, if it tells.
    pub minted_at: Option<WallTime>,
}

impl ActionKey {
    /// Hash that places the key on its holders.
    pub fn hash(&self) -> u64 {
        let customer = stable_hash(self.customer.as_str().as_bytes());
        mix_hash(customer, stable_hash(self.text.as_bytes()))
    }
}

/// Identifies one attempt to run an action, over all daemons and their restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The daemon that makes the attempt.
    pub daemon: DaemonName,
    /// Distinguishes the daemon's lives.
    pub incarnation: u64,
    /// Counts the attempts of one life.
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
    /// The key is empty, too long or holds other than visible ASCII characters.
    #[snafu(display("an idempotency key is 1 to {MAX_KEY_BYTES} visible ASCII characters"))]
    Malformed,
    /// The key carries no minting time and the configuration refuses such keys.
    #[snafu(display("an idempotency key must be a UUID of version 7, minted for this action"))]
    Plain,
    /// The key was minted later than any clock may show.
    #[snafu(display("the idempotency key was minted in the future"))]
    Future,
    /// The key's resend window is over, and what became of it is no longer known.
    #[snafu(display("the idempotency key is older than the resend window"))]
    Expired,
}

/// What keys are admitted.
#[derive(Clone, Copy, Debug)]
pub struct KeyPolicy {
    /// Milliseconds for which a key may be sent again.
    pub resend_window_ms: u64,
    /// Largest difference between any two wall clocks, in milliseconds.
    pub max_clock_error_ms: u64,
    /// What a key without a minting time gets.
    pub plain_keys: PlainKeys,
}

/// Reads the key that a caller sent and judges its age.
///
/// # Errors
/// [`KeyError`] tells what the caller must change; after [`KeyError::Expired`] the action may have
/// run.
pub fn parse_key(
    customer: &CustomerName,
    text: &str,
    policy: &KeyPolicy,
    now: WallTime,
) -> Result<ActionKey, KeyError> {
    // The key travels quoted in the standard's draft and bare in common use.
    let text = text.strip_prefix('"').and_then(|x| x.strip_suffix('"')).unwrap_or(text);
    let is_visible = text.bytes().all(|b| b.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_KEY_BYTES || !is_visible {
        return Err(KeyError::Malformed);
    }
    let minted_at = minted_at(text);
    match minted_at {
        None if policy.plain_keys == PlainKeys::Refuse => return Err(KeyError::Plain),
        None => (),
        Some(at) if at > now + policy.max_clock_error_ms => return Err(KeyError::Future),
        Some(at) if at + policy.resend_window_ms < now => return Err(KeyError::Expired),
        Some(_) => (),
    }
    // One UUID has several spellings, which must not count as several keys.
    let text = match Uuid::parse_str(text) {
        Ok(uuid) => uuid.hyphenated().to_string(),
        Err(_) => text.to_owned(),
    };
    Ok(ActionKey { customer: customer.clone(), text, minted_at })
}

fn minted_at(text: &str) -> Option<WallTime> {
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
