//! Loopback addresses that no other test fleet uses.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// First port of the range from which Linux takes ports for outgoing connections by default.
const FIRST_KERNEL_PORT: u16 = 32_768;

static NEXT_PORT: AtomicU16 = AtomicU16::new(2_000);
static NEXT_NET: AtomicU8 = AtomicU8::new(0);

/// A /24 block of loopback addresses that belongs to one fleet.
#[derive(Clone, Copy, Debug)]
pub struct LoopbackNet {
    /// Second and third octets of its addresses.
    second: u8,
    third: u8,
}

impl LoopbackNet {
    /// Returns a block that is unique within this process and unlikely to be used by another test process.
    pub fn allocate() -> Self {
        let second = u8::try_from(std::process::id() % 200).unwrap_or_default() + 20;
        Self { second, third: NEXT_NET.fetch_add(1, Ordering::SeqCst) }
    }

    /// The address of the block with the given last octet.
    pub fn ip(self, octet: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, octet))
    }

    /// Reserves an unused port on an address of the block.
    ///
    /// The port lies below the range from which the kernel takes ports for outgoing connections. Ports
    /// that another program serves on all addresses are skipped. They are found by connecting and not by
    /// binding a listener, because a child process that starts at that moment would inherit the listener
    /// and keep it open.
    ///
    /// # Panics
    /// When no ports are left.
    pub fn port(self, octet: u8) -> SocketAddr {
        loop {
            let address = self.ports(octet, 1);
            if TcpStream::connect(address).is_err() {
                return address;
            }
        }
    }

    /// Reserves `count` consecutive ports and returns the first; whether they are in use is not checked.
    ///
    /// # Panics
    /// When fewer ports are left.
    pub fn ports(self, octet: u8, count: u16) -> SocketAddr {
        let first = NEXT_PORT.fetch_add(count, Ordering::SeqCst);
        assert!(first + count < FIRST_KERNEL_PORT, "not enough ports are left");
        SocketAddr::new(self.ip(octet), first)
    }
}
