//! Loopback addresses that no other test uses.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

static NEXT_NET: AtomicU8 = AtomicU8::new(0);

/// A block of loopback addresses that belongs to one fleet.
#[derive(Clone, Copy, Debug)]
pub struct LoopbackNet {
    second: u8,
    third: u8,
}

impl LoopbackNet {
    /// A block that no other fleet of this process has, and hardly one of another process.
    pub fn allocate() -> Self {
        let second = u8::try_from(std::process::id() % 200).unwrap_or_default() + 20;
        Self { second, third: NEXT_NET.fetch_add(1, Ordering::SeqCst) }
    }

    /// One address of the block.
    pub fn ip(self, last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, last))
    }

    /// An unused port on an address of the block, free for TCP and for UDP.
    ///
    /// # Panics
    /// When the machine has no free port.
    pub fn port(self, last: u8) -> SocketAddr {
        let ip = self.ip(last);
        loop {
            let listener = TcpListener::bind((ip, 0)).expect("a free port");
            let address = listener.local_addr().expect("a bound address");
            if UdpSocket::bind(address).is_ok() {
                return address;
            }
        }
    }
}
