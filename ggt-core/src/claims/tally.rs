//! Counts the replies of a key's holders.

use crate::claims::ActionOutcome;
use crate::claims::ClaimReply;
use crate::claims::HolderSet;
use crate::claims::StoredReply;

/// Result of an attempt's claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// A majority granted the key: the attempt may send its action before the grant's deadline.
    Won,
    /// The action ran in an earlier attempt, with this reply.
    Ran(StoredReply),
    /// The key was used for a request with other content.
    Conflict,
    /// An earlier attempt sent the action and received no complete reply.
    OutcomeUnknown,
    /// Not enough holders granted the key; the attempt must never send.
    NotWon,
}

/// Result of a seal, from which the response to the caller is derived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SealDecision {
    /// No attempt under this key has sent the action or ever will.
    NotRun,
    /// Another attempt was granted the key by some holder and may be running.
    InProgress,
    /// Too few holders sealed the key, and none reported another attempt.
    Unknown,
}

/// Evaluates the holders' replies to a claim; holders that did not reply are left out.
pub fn tally_claims(holders: &HolderSet, replies: &[ClaimReply]) -> ClaimDecision {
    let mut is_unknown = false;
    for reply in replies {
        match reply {
            ClaimReply::Held { outcome: Some(ActionOutcome::Ran(stored)), .. } => {
                return ClaimDecision::Ran(stored.clone());
            }
            ClaimReply::Conflict => return ClaimDecision::Conflict,
            ClaimReply::Held { outcome: Some(ActionOutcome::Unknown), .. } => is_unknown = true,
            _ => (),
        }
    }
    let granted = replies.iter().filter(|reply| **reply == ClaimReply::Granted).count();
    if !holders.names().is_empty() && granted >= holders.majority() {
        ClaimDecision::Won
    } else if is_unknown {
        ClaimDecision::OutcomeUnknown
    } else {
        ClaimDecision::NotWon
    }
}

/// Evaluates the holders' replies to a seal request.
///
/// The holders that sealed the key have granted it to no other attempt and never will. If they are
/// a majority, any majority of grants would include one of them, so no attempt has won or can win.
pub fn tally_seals(holders: &HolderSet, replies: &[ClaimReply]) -> SealDecision {
    let sealed = replies.iter().filter(|reply| **reply == ClaimReply::Sealed).count();
    if !holders.names().is_empty() && sealed >= holders.majority() {
        return SealDecision::NotRun;
    }
    let is_held = replies.iter().any(|reply| matches!(reply, ClaimReply::Held { .. }));
    if is_held { SealDecision::InProgress } else { SealDecision::Unknown }
}
