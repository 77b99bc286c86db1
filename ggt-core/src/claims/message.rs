//! Messages between attempts and holders.

use serde::Deserialize;
use serde::Serialize;

use crate::claims::ActionKey;
use crate::claims::AttemptId;

/// A target's reply, stored so that a resent request gets it again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredReply {
    /// HTTP status code.
    pub status: u16,
    /// Content type, if the target sent one.
    pub content_type: Option<String>,
    /// Body, unless it was too large to store.
    pub body: Option<String>,
}

/// Outcome of an attempt that was granted its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ActionOutcome {
    /// The action ran and its reply was received.
    Ran(StoredReply),
    /// The attempt ended without sending the action and never will send it.
    NotRun,
    /// The attempt sent the action and received no complete reply.
    Unknown,
}

/// Requests a key from a holder, or that the holder seal it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Key that is requested.
    pub key: ActionKey,
    /// Hash of the request's method, path and body.
    pub content_hash: u64,
    /// Requesting attempt.
    pub attempt: AttemptId,
    /// Epoch of the roster from which the attempt selected the holders.
    pub epoch: u64,
}

/// Reports the outcome of an attempt to a holder that granted it the key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// Key that the attempt was granted.
    pub key: ActionKey,
    /// Attempt that ended.
    pub attempt: AttemptId,
    /// How it ended.
    pub outcome: ActionOutcome,
}

/// Why a holder neither grants nor refuses a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AbstainReason {
    /// The key may have been granted by its previous process or under an earlier roster.
    Recovering,
    /// Its roster is older than the attempt's or another daemon's.
    Behind,
    /// The attempt's roster gives the key other holders than the active roster does.
    OtherRoster,
    /// The key is past its resend window, or its creation time is in the future.
    Expired,
    /// It stores as many claims as it may.
    TableFull,
}

/// A holder's reply to a claim or a seal request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimReply {
    /// The key is granted to the requesting attempt.
    Granted,
    /// The key was granted to another attempt, or to this one and its outcome is stored.
    Held {
        /// Attempt that was granted the key.
        attempt: AttemptId,
        /// Outcome of that attempt, if it was reported.
        outcome: Option<ActionOutcome>,
    },
    /// This holder grants the key to no attempt from now on.
    Sealed,
    /// The key was used for a request with other content.
    Conflict,
    /// The holder can neither grant nor refuse safely.
    Abstain {
        /// Why it abstains.
        reason: AbstainReason,
        /// The holder's roster epoch.
        epoch: u64,
    },
}
