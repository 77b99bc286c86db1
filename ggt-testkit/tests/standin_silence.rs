//! The stand-in for a sound server that is silent for a while and continues.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use ggt_standin::users_platform::ServerStandin;
use ggt_standin::users_platform::SilenceKind;
use ggt_testkit::address::LoopbackNet;
use ggt_testkit::http::HttpRequest;

const SILENCE: Duration = Duration::from_millis(900);
/// Shorter than the time after which the kernel tries to connect again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

fn start() -> (LoopbackNet, ServerStandin) {
    let net = LoopbackNet::allocate();
    let server = ServerStandin::start(net.port(2), "i-0").expect("should start");
    (net, server)
}

fn status_of(address: SocketAddr) -> Option<u16> {
    HttpRequest::new("GET", address, "/read/").send().map(|response| response.status)
}

// Guards against a silent time that ends no response late.
#[test]
fn silent_server_accepts_a_connection_and_responds_later() {
    let (_net, server) = start();
    let begun_at = Instant::now();
    assert!(server.pause(SILENCE, SilenceKind::AcceptsConnections));
    assert!(!server.pause(SILENCE, SilenceKind::AcceptsConnections), "it is silent already");
    assert!(TcpStream::connect_timeout(&server.address, CONNECT_TIMEOUT).is_ok());
    assert_eq!(status_of(server.address), Some(200));
    assert!(begun_at.elapsed() >= SILENCE);
}

// Guards against a listener that accepts connections meanwhile, or none afterwards.
#[test]
fn silent_server_that_accepts_nothing_accepts_again_later() {
    let (_net, server) = start();
    assert!(server.pause(SILENCE, SilenceKind::AcceptsNothing));
    assert!(TcpStream::connect_timeout(&server.address, CONNECT_TIMEOUT).is_err());
    assert_eq!(status_of(server.address), Some(200));
    assert!(TcpStream::connect_timeout(&server.address, CONNECT_TIMEOUT).is_ok());
}

// Guards against a crash that waits for a connection which a silent listener does not accept.
#[test]
fn silent_server_crashes_and_starts_again() {
    let (_net, server) = start();
    assert!(server.pause(SILENCE, SilenceKind::AcceptsNothing));
    server.crash();
    assert!(server.is_down());
    server.restart("i-1").expect("should start again");
    assert_eq!(status_of(server.address), Some(200));
}
