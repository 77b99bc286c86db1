//! Loopback addresses that no other test fleet uses.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::sync::LazyLock;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// First port of the range from which Linux takes ports for outgoing connections by default.
const FIRST_KERNEL_PORT: u16 = 32_768;

/// Number of blocks of addresses among which processes choose theirs.
const PROCESS_BLOCKS: u32 = 200;
/// Second octet of the first of these blocks.
const FIRST_PROCESS_OCTET: u8 = 20;
/// Port of the socket that reserves a block for a process.
const GUARD_PORT: u16 = 1_989;

/// Second octet of all addresses of this process, and the socket that reserves it until the process ends.
static PROCESS_BLOCK: LazyLock<(u8, UdpSocket)> = LazyLock::new(reserve_process_block);

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
    /// Returns a block that no other fleet of this or another test process uses.
    ///
    /// # Panics
    /// When other processes have reserved all blocks.
    pub fn allocate() -> Self {
        Self { second: PROCESS_BLOCK.0, third: NEXT_NET.fetch_add(1, Ordering::SeqCst) }
    }

    /// Address of the socket that reserves the addresses of this process.
    pub fn guard_address(self) -> SocketAddr {
        guard_address(self.second)
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

fn guard_address(second: u8) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, second, u8::MAX, 254)), GUARD_PORT)
}

/// Reserves the first block that no other process has, from one that depends on the process id on.
fn reserve_process_block() -> (u8, UdpSocket) {
    let own = std::process::id() % PROCESS_BLOCKS;
    let octets = (0..PROCESS_BLOCKS)
        .map(|offset| FIRST_PROCESS_OCTET + ((own + offset) % PROCESS_BLOCKS) as u8);
    let mut reserved = octets.filter_map(|octet| {
        UdpSocket::bind(guard_address(octet)).ok().map(|socket| (octet, socket))
    });
    reserved.next().expect("a block of loopback addresses should be free")
}
