//! Which daemons live, and what they tell each other.
//!
//! Liveness follows the SWIM pattern: each period a daemon pings one other of its data centre,
//! directly and then through others, suspects it when no answer comes and believes it dead when
//! nobody refutes the suspicion. News rides on the same datagrams under a byte budget. Nothing
//! that must always hold rests on these beliefs: they save work and time only.

mod budget;
mod item;
mod message;
mod peers;
mod share;

pub use budget::ByteBudget;
pub use item::GossipItem;
pub use item::ItemKey;
pub use item::ItemTable;
pub use item::short_hash;
pub use message::PeerMessage;
pub use message::PeerStatus;
pub use message::SignedHead;
pub use peers::PeerAction;
pub use peers::PeerEntry;
pub use peers::PeerKey;
pub use peers::PeerOptions;
pub use peers::PeerTable;
pub use share::probed_by;
pub use share::speakers_of;
pub use share::watchers_of;
