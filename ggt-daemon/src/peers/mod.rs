//! Communication with other daemons: gossip over UDP and JSON-RPC over WebSocket.

mod datagrams;
mod epoch_query;
mod gossip;
mod links;
mod server;
mod stream;

pub use epoch_query::peers_without_epoch;
pub use epoch_query::run_epoch_queries;
pub use gossip::announce_departure;
pub use gossip::broadcast_crash;
pub use gossip::run_gossip;
pub use gossip::sweep_items;
pub use links::LinkError;
pub use links::PeerLinks;
pub(crate) use server::handle_claim;
pub(crate) use server::handle_seal;
pub(crate) use server::handle_settle;
pub use server::serve_peers;
