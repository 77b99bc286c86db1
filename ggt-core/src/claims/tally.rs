//! What an attempt concludes from its holders' answers.

use crate::claims::ActionOutcome;
use crate::claims::ClaimReply;
use crate::claims::HolderSet;
use crate::claims::StoredReply;

/// What an attempt concludes from the answers to its claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The attempt may send its action, before its grant's deadline.
    Won,
    /// The action ran in another attempt, with this answer.
    Ran(StoredReply),
    /// The key was used for another request.
    Conflict,
    /// The action was sent by another attempt and its answer is lost.
    Lost,
    /// Not enough holders granted the key; the attempt must never send.
    NotWon,
}

/// What an attempt that must never send may tell its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SealDecision {
    /// No attempt under this key has been sent or ever will be.
    NotRun,
    /// Another attempt has the key and may be running.
    InProgress,
    /// Too few holders answered to tell.
    Unknown,
}

/// Concludes from the holders' answers to a claim; a holder without an answer is left out.
pub fn tally_claims(holders: &HolderSet, replies: &[ClaimReply]) -> ClaimDecision {
    let mut is_lost = false;
    for reply in replies {
        match reply {
            ClaimReply::Held { outcome: Some(ActionOutcome::Ran(stored)), .. } => {
                return ClaimDecision::Ran(stored.clone());
            }
            ClaimReply::Conflict => return ClaimDecision::Conflict,
            ClaimReply::Held { outcome: Some(ActionOutcome::Unknown), .. } => is_lost = true,
            _ => (),
        }
    }
    let granted = replies.iter().filter(|reply| **reply == ClaimReply::Granted).count();
    if !holders.names().is_empty() && granted >= holders.majority() {
        ClaimDecision::Won
    } else if is_lost {
        ClaimDecision::Lost
    } else {
        ClaimDecision::NotWon
    }
}

/// Concludes from the holders' answers to a seal.
///
/// A majority that sealed had granted the key to nobody else, and grants it to nobody from then
/// on. Since any majority of grants would share a holder with it, no attempt has won or can win.
pub fn tally_seals(holders: &HolderSet, replies: &[ClaimReply]) -> SealDecision {
    let sealed = replies.iter().filter(|reply| **reply == ClaimReply::Sealed).count();
    if !holders.names().is_empty() && sealed >= holders.majority() {
        return SealDecision::NotRun;
    }
    let is_held = replies.iter().any(|reply| matches!(reply, ClaimReply::Held { .. }));
    if is_held { SealDecision::InProgress } else { SealDecision::Unknown }
}
