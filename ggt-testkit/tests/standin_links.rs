//! The stand-in for a link between a daemon and a server, and fleets in which each daemon has its own.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;

use ggt_standin::users_platform::LinkKind;
use ggt_standin::users_platform::LinkStandin;
use ggt_testkit::address::LoopbackNet;
use ggt_testkit::front::FrontFleet;
use ggt_testkit::http::HttpRequest;
use ggt_testkit::wait::wait_until;

/// Shorter than the time after which the kernel tries to connect again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which nothing must arrive on a link that hangs.
const SILENT_TIME: Duration = Duration::from_millis(200);

/// A link and the server's end of it.
struct LinkedServer {
    link: LinkStandin,
    listener: TcpListener,
}

impl LinkedServer {
    fn start() -> Self {
        let net = LoopbackNet::allocate();
        let listener = TcpListener::bind(net.port(2)).expect("should bind");
        let server = listener.local_addr().expect("should have an address");
        Self { link: LinkStandin::start(net.port(4), server).expect("should start"), listener }
    }

    /// The two ends of a new connection.
    fn connect(&self) -> (TcpStream, TcpStream) {
        let client = TcpStream::connect(self.link.address).expect("should connect");
        (client, self.listener.accept().expect("should accept").0)
    }

    fn connect_error(&self) -> Option<ErrorKind> {
        let connected = TcpStream::connect_timeout(&self.link.address, CONNECT_TIMEOUT);
        connected.err().map(|e| e.kind())
    }
}

fn assert_passes(from: &mut TcpStream, to: &mut TcpStream, text: &str) {
    from.write_all(text.as_bytes()).expect("should write");
    let mut bytes = vec![0; text.len()];
    to.read_exact(&mut bytes).expect("should read");
    assert_eq!(bytes, text.as_bytes());
}

fn assert_nothing_arrives(end: &mut TcpStream) {
    end.set_read_timeout(Some(SILENT_TIME)).expect("should set the timeout");
    let kind = end.read(&mut [0]).expect_err("nothing should arrive").kind();
    assert!(matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut), "{kind:?}");
    end.set_read_timeout(None).expect("should set the timeout");
}

// Guards against a link that changes bytes, drops them, or ends both directions with one.
#[test]
fn open_link_passes_bytes_and_the_end_of_one_direction() {
    let server = LinkedServer::start();
    let (mut client, mut accepted) = server.connect();
    assert_passes(&mut client, &mut accepted, "to the server");
    client.shutdown(Shutdown::Write).expect("should shut down");
    assert_eq!(accepted.read(&mut [0]).ok(), Some(0));
    assert_passes(&mut accepted, &mut client, "back");
    drop(accepted);
    assert_eq!(client.read(&mut [0]).ok(), Some(0));
    wait_until("all is counted", || server.link.counts.bytes_down() == 4);
    assert_eq!(server.link.counts.bytes_up(), 13);
    assert_eq!(server.link.counts.connections(), 1);
}

// Guards against a cut that closes connections in an orderly way, or that lets new ones through.
#[test]
fn reset_link_resets_connections_and_refuses_new_ones_until_it_is_open() {
    let server = LinkedServer::start();
    let (mut client, mut accepted) = server.connect();
    server.link.set(LinkKind::Reset);
    for end in [&mut client, &mut accepted] {
        assert_eq!(end.read(&mut [0]).map_err(|e| e.kind()), Err(ErrorKind::ConnectionReset));
    }
    assert_eq!(server.connect_error(), Some(ErrorKind::ConnectionRefused));
    server.link.set(LinkKind::Open);
    let (mut client, mut accepted) = server.connect();
    assert_passes(&mut client, &mut accepted, "again");
}

// Guards against bytes that pass a link that hangs, connections that it accepts, and bytes lost later.
#[test]
fn hanging_link_passes_nothing_and_resumes_when_it_is_open() {
    let server = LinkedServer::start();
    let (mut client, mut accepted) = server.connect();
    assert_passes(&mut client, &mut accepted, "before");
    server.link.set(LinkKind::Hang);
    client.write_all(b"held").expect("should write");
    accepted.write_all(b"up").expect("should write");
    assert_nothing_arrives(&mut accepted);
    assert_nothing_arrives(&mut client);
    assert_eq!(server.connect_error(), Some(ErrorKind::TimedOut));
    server.link.set(LinkKind::Open);
    let mut bytes = [0; 4];
    accepted.read_exact(&mut bytes).expect("should read");
    assert_eq!(&bytes, b"held");
    client.read_exact(&mut bytes[..2]).expect("should read");
    assert_eq!(&bytes[..2], b"up");
    let (mut client, mut accepted) = server.connect();
    assert_passes(&mut client, &mut accepted, "again");
}

// Guards against requests that reach the server after the daemon has reset their connection.
#[test]
fn hanging_link_drops_what_it_held_up_of_a_reset_connection() {
    let server = LinkedServer::start();
    let (mut client, mut accepted) = server.connect();
    assert_passes(&mut client, &mut accepted, "before");
    accepted.write_all(b"unread").expect("should write");
    client.peek(&mut [0]).expect("should arrive");
    server.link.set(LinkKind::Hang);
    client.write_all(b"held").expect("should write");
    // The kernel resets a connection that is closed with bytes unread.
    drop(client);
    server.link.set(LinkKind::Open);
    let read = accepted.read(&mut [0; 8]).map_err(|e| e.kind());
    assert_eq!(read, Err(ErrorKind::ConnectionReset));
}

// Guards against a link that cuts what it should leave alone.
#[test]
fn link_that_refuses_new_connections_keeps_existing_ones() {
    let server = LinkedServer::start();
    let (mut client, mut accepted) = server.connect();
    server.link.set(LinkKind::RefuseNew);
    assert_eq!(server.connect_error(), Some(ErrorKind::ConnectionRefused));
    assert_passes(&mut client, &mut accepted, "still");
    server.link.set(LinkKind::Hang);
    assert_eq!(server.connect_error(), Some(ErrorKind::TimedOut));
    server.link.set(LinkKind::Reset);
    assert_eq!(server.connect_error(), Some(ErrorKind::ConnectionRefused));
    assert_eq!(client.read(&mut [0]).map_err(|e| e.kind()), Err(ErrorKind::ConnectionReset));
    server.link.set(LinkKind::RefuseNew);
    assert_eq!(server.connect_error(), Some(ErrorKind::ConnectionRefused));
}

// Guards against a fleet whose daemons share links, or do not use their own.
#[test]
fn linked_daemons_reach_the_servers_by_their_own_links_alone() {
    let mut fleet = FrontFleet::start_linked(2, 2);
    // A daemon that starts beside others must not read their entries.
    fleet.restart(1);
    let serve = |daemon: usize, id: &str| {
        let request: HttpRequest = fleet.request(daemon, "GET", "/read/", id);
        request.send().is_some_and(|response| response.status == 200)
    };
    wait_until("both daemons serve", || serve(0, "r-0") && serve(1, "r-1"));
    fleet.cut(0, LinkKind::Reset);
    let bytes = |daemon: usize| -> u64 {
        fleet.links[daemon].links.iter().map(|link| link.counts.bytes_up()).sum()
    };
    let before = (bytes(0), bytes(1));
    assert!(serve(1, "r-2"));
    assert_eq!(bytes(0), before.0);
    assert!(bytes(1) > before.1);
    fleet.heal(0);
    wait_until("the daemon serves again by its links", || serve(0, "r-3") && bytes(0) > before.0);
}
