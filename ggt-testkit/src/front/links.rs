//! Links of one daemon to all servers, and the store in which it finds the servers at its links.

use std::net::SocketAddr;

use ggt_platform::TARGET_PREFIX;
use ggt_standin::users_platform::LinkKind;
use ggt_standin::users_platform::LinkStandin;
use ggt_standin::users_platform::ServerStandin;
use ggt_standin::users_platform::StoreStandin;

use crate::address::LoopbackNet;

/// Last octet of the address of all links.
const LINK_OCTET: u8 = 4;

/// A daemon's own store, and its links to the servers by the servers' index.
pub struct DaemonLinks {
    /// Store that the daemon reads; entries name the servers' links as their addresses.
    pub store: StoreStandin,
    /// Links by index of the server.
    pub links: Vec<LinkStandin>,
}

impl DaemonLinks {
    /// Starts an empty store without links.
    ///
    /// # Panics
    /// When the store does not start.
    pub(super) fn start(net: LoopbackNet) -> Self {
        let store = StoreStandin::start(net.port(1)).expect("store should start");
        Self { store, links: Vec::new() }
    }

    /// Adds an open link to the address of the next server.
    ///
    /// # Panics
    /// When it does not start.
    pub(super) fn add(&mut self, net: LoopbackNet, server: SocketAddr) {
        let link = LinkStandin::start(net.port(LINK_OCTET), server);
        self.links.push(link.expect("link should start"));
    }

    /// Writes the entry of a server, which is reached at its link.
    pub fn register(&self, number: usize, server: &ServerStandin, registration: &str) {
        let at_link = registration
            .replace(&server.address.to_string(), &self.links[number].address.to_string());
        self.store.put(&format!("{TARGET_PREFIX}{}", server.id()), &at_link);
    }

    /// Makes all links of this kind, and returns when that is in force.
    pub fn set(&self, kind: LinkKind) {
        self.links.iter().for_each(|link| link.begin(kind));
        self.links.iter().for_each(LinkStandin::await_begun);
    }
}
