//! Loopback addresses that no other test uses.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// Where the kernel's ports for outgoing connections begin on Linux.
const FIRST_KERNEL_PORT: u16 = 32_768;

static NEXT_PORT: AtomicU16 = AtomicU16::new(2_000);
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

    /// A port on an address of the block that is given to nobody else.
    ///
    /// It lies below the range from which the kernel takes ports for outgoing connections. A port
    /// that some other program serves on all addresses is passed over; that is found out by
    /// connecting, since a child that is started meanwhile would hold a trial listener open.
    ///
    /// # Panics
    /// When all ports have been given out.
    pub fn port(self, last: u8) -> SocketAddr {
        loop {
            let address = self.ports(last, 1);
            if TcpStream::connect(address).is_err() {
                return address;
            }
        }
    }

    /// The first of `count` ports in a row that are given to nobody else.
    ///
    /// # Panics
    /// When there are not so many ports left.
    pub fn ports(self, last: u8, count: u16) -> SocketAddr {
        let first = NEXT_PORT.fetch_add(count, Ordering::SeqCst);
        assert!(first + count < FIRST_KERNEL_PORT, "not enough ports are left");
        SocketAddr::new(self.ip(last), first)
    }
}
