//! Membership of the daemons and gossip between them.
//!
//! Failure detection follows SWIM: each period a daemon pings one other daemon of its data centre,
//! directly and then through others, suspects it when no reply comes and declares it dead when the
//! suspicion is not refuted. Gossip items travel in the same datagrams under a byte budget. No
//! safety guarantee depends on membership status: it only saves work and time.

mod assignment;
mod budget;
mod item;
mod message;
mod peers;

pub use assignment::probe_assignment;
pub use assignment::relays_of;
pub use assignment::watchers_of;
pub use budget::ByteBudget;
pub use item::GossipItem;
pub use item::ItemKey;
pub use item::ItemTable;
pub use item::short_hash;
pub use message::DatagramHeader;
pub use message::PeerMessage;
pub use message::PeerStatus;
pub use peers::PeerAction;
pub use peers::PeerEntry;
pub use peers::PeerKey;
pub use peers::PeerOptions;
pub use peers::PeerTable;
