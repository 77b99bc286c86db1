//! Claims on the idempotency keys of non-idempotent requests, so that each runs at most once.
//!
//! Each key has [`HOLDERS_PER_KEY`] holders: daemons that rendezvous hashing selects from the
//! published roster and that store the claim in memory. An attempt may send its action once a
//! majority of the holders has granted it the key, and a holder grants a key to one attempt only.
//! Before an attempt that did not win the key reports that the action did not run, it has a
//! majority of the holders seal the key, which they then grant to no attempt. An attempt that won
//! settles the claim: it reports its outcome to the holders, which return it to later attempts.
//! A restart loses a holder's claims, so it then abstains from every key whose creation time shows
//! that the previous process may have granted it. The design note on one-time actions has the
//! proof.

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
pub use readiness::EpochTracker;
pub use tally::ClaimDecision;
pub use tally::SealDecision;
pub use tally::tally_claims;
pub use tally::tally_seals;
