//! A link between one daemon and one server, which can be cut while both ends live on.

use std::io::ErrorKind;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::LazyLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::select;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio::try_join;

/// Threads that pass the bytes of all links of a process.
const LINK_THREADS: usize = 2;
/// Backlog of a listener that accepts connections.
const BACKLOG: i32 = 128;
/// Time after which a connection attempt to a saturated listener is given up.
const FILLER_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of connections that saturate a listener; its queue holds one or two.
const MAX_FILLERS: usize = 8;
const CHUNK_BYTES: usize = 16 * 1024;

static RUNTIME: LazyLock<Runtime> = LazyLock::new(|| {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(LINK_THREADS).enable_all().build().expect("runtime should start")
});

/// What becomes of connections on a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkKind {
    /// They pass all bytes unchanged.
    #[default]
    Open,
    /// Existing ones are reset, new ones are refused.
    Reset,
    /// Existing ones stay open and pass nothing, and attempts to connect time out. The kernel still
    /// acknowledges what is sent on existing ones, keep-alive probes included.
    Hang,
    /// Existing ones pass all bytes, new ones are refused.
    RefuseNew,
}

/// Connections and bytes that a link has passed.
#[derive(Debug, Default)]
pub struct LinkCounts {
    connections: AtomicUsize,
    bytes_up: AtomicU64,
    bytes_down: AtomicU64,
}

impl LinkCounts {
    /// Connections accepted so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Bytes passed to the server.
    pub fn bytes_up(&self) -> u64 {
        self.bytes_up.load(Ordering::SeqCst)
    }

    /// Bytes passed from the server.
    pub fn bytes_down(&self) -> u64 {
        self.bytes_down.load(Ordering::SeqCst)
    }
}

/// Forwards TCP connections from one address to a server; closed when it is dropped.
///
/// A connection to a server that is down is accepted and reset.
#[derive(Debug)]
pub struct LinkStandin {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// What it has passed.
    pub counts: Arc<LinkCounts>,
    wanted: watch::Sender<LinkKind>,
    in_force: watch::Receiver<LinkKind>,
}

impl LinkStandin {
    /// Starts an open link from `address` to `server`.
    ///
    /// # Errors
    /// Returns the I/O error if the address cannot be bound.
    pub fn start(address: SocketAddr, server: SocketAddr) -> std::io::Result<Self> {
        let counts = Arc::new(LinkCounts::default());
        let (wanted, kind) = watch::channel(LinkKind::Open);
        let (applied, in_force) = watch::channel(LinkKind::Open);
        let listener = RUNTIME.block_on(TcpListener::bind(address))?;
        let path = LinkPath { server, counts: counts.clone(), kind: kind.clone() };
        let acceptor = Acceptor {
            address,
            path,
            kind,
            applied,
            listener: Some(listener),
            fillers: Vec::new(),
            connections: JoinSet::new(),
        };
        RUNTIME.spawn(acceptor.run());
        Ok(Self { address, counts, wanted, in_force })
    }

    /// Changes the kind, and returns when it is in force.
    pub fn set(&self, kind: LinkKind) {
        self.begin(kind);
        self.await_begun();
    }

    /// Begins to change the kind. Existing connections follow at once.
    pub fn begin(&self, kind: LinkKind) {
        self.wanted.send_if_modified(|wanted| std::mem::replace(wanted, kind) != kind);
    }

    /// Waits until the kind set last is in force for new connections too.
    ///
    /// # Panics
    /// When the address cannot be bound again.
    pub fn await_begun(&self) {
        let (wanted, mut in_force) = (*self.wanted.borrow(), self.in_force.clone());
        let waited =
            RUNTIME.block_on(async { in_force.wait_for(|kind| *kind == wanted).await.is_ok() });
        assert!(waited, "the link at {} ended", self.address);
    }
}

/// Where connections lead, and what becomes of them.
#[derive(Clone, Debug)]
struct LinkPath {
    server: SocketAddr,
    counts: Arc<LinkCounts>,
    kind: watch::Receiver<LinkKind>,
}

/// Accepts the connections of a link, or keeps them out.
struct Acceptor {
    address: SocketAddr,
    path: LinkPath,
    kind: watch::Receiver<LinkKind>,
    applied: watch::Sender<LinkKind>,
    /// `None` while new connections are refused.
    listener: Option<TcpListener>,
    /// Connections that saturate the listener's queue.
    fillers: Vec<TcpStream>,
    connections: JoinSet<()>,
}

impl Acceptor {
    /// Follows the link's kind until the link is dropped or its address is lost.
    async fn run(mut self) {
        loop {
            let kind = *self.kind.borrow_and_update();
            let prepared = match kind {
                LinkKind::Open => self.listen(BACKLOG).await,
                LinkKind::Hang => self.saturate().await,
                LinkKind::Reset | LinkKind::RefuseNew => {
                    self.close_listener();
                    Ok(())
                }
            };
            if let Err(e) = prepared {
                return eprintln!("the link at {} ended: {e}", self.address);
            }
            while kind == LinkKind::Reset && self.connections.join_next().await.is_some() {}
            self.applied.send_replace(kind);
            let is_changed = match kind {
                LinkKind::Open => self.accept_until_changed().await,
                _ => self.kind.changed().await.is_ok(),
            };
            if !is_changed {
                return;
            }
        }
    }

    async fn listen(&mut self, backlog: i32) -> std::io::Result<()> {
        let listener = match self.listener.take() {
            Some(listener) => listener,
            None => TcpListener::bind(self.address).await?,
        };
        SockRef::from(&listener).listen(backlog)?;
        self.listener = Some(listener);
        Ok(())
    }

    /// Saturates the listener's queue, from which nothing is accepted.
    async fn saturate(&mut self) -> std::io::Result<()> {
        self.listen(0).await?;
        while self.fillers.len() < MAX_FILLERS {
            match timeout(FILLER_TIMEOUT, TcpStream::connect(self.address)).await {
                Ok(filler) => self.fillers.push(filler?),
                Err(_) => break,
            }
        }
        Ok(())
    }

    fn close_listener(&mut self) {
        self.fillers.clear();
        if let Some(listener) = self.listener.take() {
            // A process that another thread starts at this moment has a copy of the listener until it
            // executes its program, and the kernel would accept connections for that long.
            // Ignored: the listener is closed in any case.
            let _ = SockRef::from(&listener).shutdown(Shutdown::Both);
        }
    }

    /// Accepts connections, but for those that saturated the queue, until the kind changes; false if
    /// the link was dropped.
    async fn accept_until_changed(&mut self) -> bool {
        let own: Vec<_> =
            self.fillers.drain(..).filter_map(|filler| filler.local_addr().ok()).collect();
        let Some(listener) = &self.listener else { return false };
        loop {
            select! {
                changed = self.kind.changed() => return changed.is_ok(),
                accepted = listener.accept() => {
                    let Ok((client, peer)) = accepted else { continue };
                    if !own.contains(&peer) {
                        self.path.counts.connections.fetch_add(1, Ordering::SeqCst);
                        self.connections.spawn(self.path.clone().forward(client));
                    }
                    while self.connections.try_join_next().is_some() {}
                }
            }
        }
    }
}

impl LinkPath {
    /// Passes bytes both ways until both ends have finished, or one end or the link resets.
    async fn forward(mut self, mut client: TcpStream) {
        let mut kind = self.kind.clone();
        let connected = select! {
            () = until(&mut kind, LinkKind::Reset) => None,
            connected = connect(self.server) => connected.ok(),
        };
        let Some(mut server) = connected else { return reset(&client) };
        // Nagle's algorithm would delay small chunks. Ignored: a closed connection shows itself below.
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        let up = pass(client_read, server_write, self.kind.clone(), &self.counts.bytes_up);
        let down = pass(server_read, client_write, self.kind.clone(), &self.counts.bytes_down);
        let is_finished = select! {
            () = until(&mut self.kind, LinkKind::Reset) => false,
            passed = async { try_join!(up, down) } => passed.is_ok(),
        };
        if !is_finished {
            reset(&client);
            reset(&server);
        }
    }
}

/// Waits until the link is of this kind.
async fn until(kind: &mut watch::Receiver<LinkKind>, wanted: LinkKind) {
    // An error means that the link was dropped, which ends its connections.
    let _ = kind.wait_for(|kind| *kind == wanted).await;
}

/// Connects to the server; a connection that is given up before is reset.
async fn connect(server: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if server.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    SockRef::from(&socket).set_linger(Some(Duration::ZERO))?;
    let stream = socket.connect(server).await?;
    SockRef::from(&stream).set_linger(None)?;
    Ok(stream)
}

/// Makes a connection end with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    // Ignored: the peer may have closed the connection already.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Passes the bytes of one direction and its end; holds them up while the link hangs.
async fn pass(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut kind: watch::Receiver<LinkKind>,
    count: &AtomicU64,
) -> std::io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        await_passing(&from, &mut kind).await?;
        let length = select! {
            length = from.read(&mut buffer) => length?,
            () = until(&mut kind, LinkKind::Hang) => continue,
        };
        await_passing(&from, &mut kind).await?;
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..length]).await?;
        count.fetch_add(length as u64, Ordering::SeqCst);
    }
}

/// Waits until the link does not hang; an error if the sender reset the connection meanwhile, whose
/// bytes are then dropped.
async fn await_passing(
    from: &ReadHalf<'_>,
    kind: &mut watch::Receiver<LinkKind>,
) -> std::io::Result<()> {
    if *kind.borrow() != LinkKind::Hang {
        return Ok(());
    }
    let waited = kind.wait_for(|kind| *kind != LinkKind::Hang).await;
    waited.map_err(|_| ErrorKind::ConnectionReset)?;
    from.as_ref().take_error()?.map_or(Ok(()), Err)
}
