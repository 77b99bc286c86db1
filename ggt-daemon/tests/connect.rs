//! Options of the connections that a daemon opens, as the kernel reports them.

use std::net::TcpListener;
use std::time::Duration;

use socket2::SockRef;

use ggt_daemon::upstream::connect_tcp;

/// Time after which the kernel closes a connection to a host that sends no packets.
const SILENT_HOST_TIME: Duration = Duration::from_secs(3);

// Guards against keepalive settings that are not in force: `TCP_USER_TIMEOUT`, once it is set, decides when
// keepalive probes give up, whatever their number, so both have to say the same.
#[test]
fn keepalive_and_user_timeout_give_up_a_silent_host_at_the_same_time() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let opened = runtime.expect("a runtime").block_on(connect_tcp(address, SILENT_HOST_TIME));
    let stream = opened.expect("should connect");
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().expect("an option"));
    let first = socket.tcp_keepalive_time().expect("an option");
    let interval = socket.tcp_keepalive_interval().expect("an option");
    let probes = socket.tcp_keepalive_retries().expect("an option");
    assert_eq!(first + interval * probes, SILENT_HOST_TIME);
    assert_eq!(socket.tcp_user_timeout().expect("an option"), Some(SILENT_HOST_TIME));
}
