//! Communication with other daemons: gossip over UDP and JSON-RPC over WebSocket.

mod datagrams;
mod gossip;
mod links;
mod server;
mod stream;
mod vouch;

pub use gossip::announce_departure;
pub use gossip::run_gossip;
pub use gossip::spread_crash;
pub use gossip::sweep_items;
pub use links::LinkError;
pub use links::PeerLinks;
pub(crate) use server::answer_claim;
pub(crate) use server::answer_seal;
pub(crate) use server::answer_settle;
pub use server::serve_peers;
pub use vouch::peers_to_ask;
pub use vouch::run_vouching;
