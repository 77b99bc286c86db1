//! Loopback addresses of test fleets.

use std::net::UdpSocket;

use ggt_testkit::address::LoopbackNet;

// Guards against two test processes whose daemons listen on the same addresses.
#[test]
fn block_of_addresses_belongs_to_one_process() {
    let (first, second) = (LoopbackNet::allocate(), LoopbackNet::allocate());
    assert_ne!(first.ip(1), second.ip(1));
    assert!(UdpSocket::bind(first.guard_address()).is_err(), "another process would take it, too");
}
