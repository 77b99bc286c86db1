//! What attempts and holders say to each other.

use serde::Deserialize;
use serde::Serialize;

use crate::claims::ActionKey;
use crate::claims::AttemptId;

/// The answer of a target, kept so that a resend gets it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredReply {
    /// The HTTP status.
    pub status: u16,
    /// The content type, when the target gave one.
    pub content_type: Option<String>,
    /// The body, unless it was too large to keep.
    pub body: Option<String>,
}

/// What became of an attempt that was granted its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ActionOutcome {
    /// The action ran; the answer is known.
    Ran(StoredReply),
    /// The attempt ended without sending anything and never will.
    NotRun,
    /// The attempt sent the action and got no whole answer.
    Unknown,
}

/// Asks a holder for a key, or to seal it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The action.
    pub key: ActionKey,
    /// Hash of the request's method, path and body.
    pub content_hash: u64,
    /// The attempt that asks.
    pub attempt: AttemptId,
    /// The roster epoch under which the attempt chose its holders.
    pub epoch: u64,
}

/// Tells a holder what became of a granted attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// The action.
    pub key: ActionKey,
    /// The attempt.
    pub attempt: AttemptId,
    /// What became of it.
    pub outcome: ActionOutcome,
}

/// Why a holder neither grants nor refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AbstainReason {
    /// It may have granted the key in a former life or under a former roster.
    Recovering,
    /// Its configuration is older than the attempt's, or than that of another daemon.
    Behind,
    /// The attempt's roster gives the key other holders than the roster in force.
    OtherRoster,
    /// The key's resend window is over.
    Expired,
    /// It keeps as many claims as it may.
    TableFull,
}

/// A holder's answer to a claim or a seal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimReply {
    /// The key is the attempt's.
    Granted,
    /// The key is another attempt's, with what is known of it.
    Held {
        /// The attempt that has the key.
        attempt: AttemptId,
        /// What became of it, if that is known.
        outcome: Option<ActionOutcome>,
    },
    /// No attempt will get the key from this holder.
    Sealed,
    /// The key was used for another request.
    Conflict,
    /// The holder cannot tell.
    Abstain {
        /// Why not.
        reason: AbstainReason,
        /// The holder's roster epoch.
        epoch: u64,
    },
}
