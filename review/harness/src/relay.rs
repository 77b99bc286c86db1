//! A link between two zones: passes channels on until it is cut.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use crate::record::lock;

/// A link to one address.
pub struct Relay {
    /// Address of the link.
    pub address: SocketAddr,
    target: SocketAddr,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    /// Starts a link to an address.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let relay = Self { address, target, is_cut: Arc::default(), open: Arc::default() };
        relay.listen(listener);
        Ok(relay)
    }

    fn listen(&self, listener: TcpListener) {
        let (target, is_cut, open) = (self.target, self.is_cut.clone(), self.open.clone());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if is_cut.load(Ordering::SeqCst) {
                    return;
                }
                // A target that is gone closes the channel.
                let _ = pass_on(client, target, &open);
            }
        });
    }

    /// Cuts the link: channels are closed, and new ones refused.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.address);
        for stream in lock(&self.open).drain(..) {
            // It may be closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn pass_on(client: TcpStream, target: SocketAddr, open: &Mutex<Vec<TcpStream>>) -> io::Result<()> {
    let server = TcpStream::connect(target)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    lock(open).extend([client.try_clone()?, server.try_clone()?]);
    let pairs = [(client.try_clone()?, server.try_clone()?), (server, client)];
    for (from, to) in pairs {
        thread::spawn(move || copy(from, to));
    }
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(length) = from.read(&mut buffer) {
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    // It may be closed already.
    let _ = to.shutdown(Shutdown::Write);
}
