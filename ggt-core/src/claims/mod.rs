//! Claims on one-time actions: who may send, and what became of it.
//!
//! Each key has [`HOLDERS_PER_KEY`] holders, daemons that are chosen by rendezvous from the
//! published roster. An attempt may send its action once a majority of them granted it the key,
//! and a holder grants a key to one attempt only. What a holder forgets in a restart it makes good
//! with the key's minting time: it abstains from every key that its former life may have granted.
//! The design note on one-time actions gives the argument.

mod holder;
mod key;
mod message;
mod placement;
mod readiness;
mod tally;

pub use holder::ClaimHolder;
pub use holder::HolderOptions;
pub use holder::HolderStats;
pub use key::ActionKey;
pub use key::AttemptId;
pub use key::KeyError;
pub use key::KeyPolicy;
pub use key::parse_key;
pub use message::AbstainReason;
pub use message::ActionOutcome;
pub use message::ClaimReply;
pub use message::ClaimRequest;
pub use message::SettleRequest;
pub use message::StoredReply;
pub use placement::HOLDERS_PER_KEY;
pub use placement::HolderSet;
pub use placement::holders_of;
pub use placement::older_epochs;
pub use readiness::EpochLedger;
pub use tally::ClaimDecision;
pub use tally::SealDecision;
pub use tally::tally_claims;
pub use tally::tally_seals;
