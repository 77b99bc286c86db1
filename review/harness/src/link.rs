//! Connects like a client behind a narrow link: with small segments and a small window, so that a writer has to
//! wait after some tens of kilobytes. A plain socket on loopback takes megabytes.

use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::os::fd::FromRawFd;

const AF_INET: i32 = 2;
/// `SOCK_STREAM | SOCK_CLOEXEC`.
const SOCKET_TYPE: i32 = 1 | 0o2_000_000;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

/// Bytes of a segment, as on an Ethernet link.
const SEGMENT_BYTES: i32 = 1_400;
/// Bytes that the client's socket keeps for it.
const WINDOW_BYTES: i32 = 16 * 1024;

/// `struct sockaddr_in`, with port and address in network order.
#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SockAddrIn, length: u32) -> i32;
}

/// Opens a connection over a narrow link.
pub fn connect_narrow(address: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(io::Error::other("no IPv4 address"));
    };
    // SAFETY: the call takes no pointers.
    let fd = check(unsafe { socket(AF_INET, SOCKET_TYPE, 0) })?;
    // SAFETY: the descriptor has just been opened, and nothing else owns it.
    let stream = unsafe { TcpStream::from_raw_fd(fd) };
    for (level, name, value) in
        [(SOL_SOCKET, SO_RCVBUF, WINDOW_BYTES), (IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES)]
    {
        // SAFETY: the pointer is that of an `i32`, which outlives the call.
        check(unsafe { setsockopt(fd, level, name, &value, size_of::<i32>() as u32) })?;
    }
    let target = sock_addr(address);
    // SAFETY: the pointer is that of a `sockaddr_in`, which outlives the call.
    check(unsafe { connect(fd, &target, size_of::<SockAddrIn>() as u32) })?;
    Ok(stream)
}

fn sock_addr(address: SocketAddrV4) -> SockAddrIn {
    SockAddrIn {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        address: address.ip().octets(),
        zero: [0; 8],
    }
}

fn check(result: i32) -> io::Result<i32> {
    if result < 0 { Err(io::Error::last_os_error()) } else { Ok(result) }
}
