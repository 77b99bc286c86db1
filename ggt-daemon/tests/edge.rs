//! Connections at the time at which a listener is closed.

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;

use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::task::yield_now;

use ggt_daemon::edge::EdgeHandle;
use ggt_daemon::edge::accept_connections;

// Guards against a shutdown that ends the process while connections wait in the accept queue, since no
// connection counted as open.
#[test]
fn edge_is_open_until_its_accept_queue_is_served() {
    let runtime = Builder::new_current_thread().enable_all().build().expect("should start");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("should bind");
        let address = listener.local_addr().expect("should have an address");
        let handle = EdgeHandle::default();
        let served = Arc::new(Mutex::new(Vec::new()));
        let (edge, streams) = (handle.clone(), served.clone());
        let accepting = tokio::spawn(async move {
            let serve = |stream, _| streams.lock().expect("should lock").push(stream);
            accept_connections(&edge, listener, serve).await;
        });
        yield_now().await;
        let _client = TcpStream::connect(address).expect("should connect");
        handle.close();
        assert!(handle.open_connections() > 0, "the accept queue has not been served");
        accepting.await.expect("should not panic");
        assert_eq!(served.lock().expect("should lock").len(), 1);
        assert_eq!(handle.open_connections(), 0);
    });
}
