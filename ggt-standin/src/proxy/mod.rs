//! Fault-injection proxy: refuses, cuts, stalls, delays and blocks traffic on any number of routes.
//!
//! Each route forwards TCP connections and UDP datagrams from one address to another. Datagrams are
//! forwarded in one direction only: daemons reply to the address that the roster gives.

mod transfer;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::proxy::transfer::transfer;
use crate::server::BufferedRequest;
use crate::server::StandinResponse;
use crate::server::json_response;
use crate::server::lock;
use crate::server::serve;
use crate::server::text_response;

/// Size of the receive buffer; no UDP datagram is larger.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Interval at which a route checks whether it is to be unreachable.
const PLAN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Faults that a route injects.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    /// New connections are closed at once and datagrams are dropped.
    pub refuse: bool,
    /// New connections are refused, since nothing listens, and open ones are closed.
    pub unreachable: bool,
    /// No bytes are forwarded to the target, connections stay open, and datagrams are dropped.
    pub stall_up: bool,
    /// No bytes are forwarded from the target; connections stay open.
    pub stall_down: bool,
    /// Number of bytes to the target after which a connection is closed.
    pub cut_up: Option<u64>,
    /// Number of bytes from the target after which a connection is closed.
    pub cut_down: Option<u64>,
    /// Delay of each chunk and datagram, in milliseconds.
    pub delay_ms: u64,
    /// Number of new connections that `cut_up` and `cut_down` still apply to; `None` for all.
    pub cuts_left: Option<u64>,
    /// Sources whose new connections and datagrams are dropped and whose connections stall.
    pub blocked_sources: BTreeSet<IpAddr>,
}

/// Direction of the bytes of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FlowDirection {
    /// To the target.
    Up,
    /// From the target.
    Down,
}

impl FaultPlan {
    /// Number of bytes in one direction after which a connection is closed.
    pub(crate) fn cut_after(&self, direction: FlowDirection) -> Option<u64> {
        match direction {
            FlowDirection::Up => self.cut_up,
            FlowDirection::Down => self.cut_down,
        }
    }

    /// Whether no bytes are forwarded in one direction.
    pub(crate) fn is_stalled(&self, direction: FlowDirection) -> bool {
        match direction {
            FlowDirection::Up => self.stall_up,
            FlowDirection::Down => self.stall_down,
        }
    }
}

/// Route from a listening address to a target, with its faults.
#[derive(Debug)]
pub(crate) struct ProxyRoute {
    target: SocketAddr,
    plan: Mutex<FaultPlan>,
    /// Number of TCP connections forwarded so far.
    connections: Mutex<u64>,
}

impl ProxyRoute {
    pub(crate) fn plan(&self) -> FaultPlan {
        lock(&self.plan).clone()
    }
}

/// Routes by listening address.
type RouteTable = Arc<Mutex<BTreeMap<SocketAddr, Arc<ProxyRoute>>>>;

/// Runs the proxy until the process ends; requests to `control` add routes and set their faults.
///
/// # Errors
/// Returns the I/O error if the address cannot be bound or a connection cannot be accepted.
pub async fn run_proxy(control: SocketAddr) -> std::io::Result<()> {
    let routes: RouteTable = Arc::default();
    serve(control, move |request| {
        let routes = routes.clone();
        async move { respond(&routes, &request).await }
    })
    .await
}

/// Runs a control request for each address of its comma-separated parameter `listen`.
async fn respond(routes: &RouteTable, request: &BufferedRequest) -> StandinResponse {
    let mut response = text_response(400, "listen is needed");
    for listen in request.query("listen").unwrap_or_default().split(',') {
        response = respond_for(routes, request, listen).await;
        if response.status() != 200 {
            break;
        }
    }
    response
}

async fn respond_for(
    routes: &RouteTable,
    request: &BufferedRequest,
    listen: &str,
) -> StandinResponse {
    let listen: Option<SocketAddr> = listen.parse().ok();
    let Some(listen) = listen else {
        return text_response(400, "listen is needed");
    };
    let segments: Vec<&str> = request.path().trim_start_matches('/').split('/').collect();
    if segments == ["control", "route"] {
        let Some(target) = request.query("to").and_then(|x| x.parse().ok()) else {
            return text_response(400, "to is needed");
        };
        return match add_route(routes, listen, target).await {
            Ok(()) => text_response(200, "ok"),
            Err(e) => text_response(500, e.to_string()),
        };
    }
    let Some(route) = lock(routes).get(&listen).cloned() else {
        return text_response(404, "no such route");
    };
    let mut plan = lock(&route.plan);
    match segments.as_slice() {
        ["control", "plan"] => {
            let number = |name: &str| request.query(name).and_then(|x| x.parse().ok());
            let is_set = |name: &str| request.query(name).is_some();
            *plan = FaultPlan {
                refuse: is_set("refuse"),
                unreachable: is_set("unreachable"),
                stall_up: is_set("stall") || is_set("stall_up"),
                stall_down: is_set("stall") || is_set("stall_down"),
                cut_up: number("cut_up"),
                cut_down: number("cut_down"),
                delay_ms: request.number("delay_ms", 0),
                cuts_left: number("cuts"),
                blocked_sources: plan.blocked_sources.clone(),
            };
        }
        ["control", "block"] => {
            let ip: Option<IpAddr> = request.query("ip").and_then(|x| x.parse().ok());
            plan.blocked_sources.extend(ip);
        }
        ["control", "unblock"] => plan.blocked_sources.clear(),
        ["control", "stats"] => {
            return json_response(&json!({ "connections": *lock(&route.connections) }));
        }
        _ => return text_response(404, "not found"),
    }
    text_response(200, "ok")
}

async fn add_route(
    routes: &RouteTable,
    listen: SocketAddr,
    target: SocketAddr,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    let socket = UdpSocket::bind(listen).await?;
    let route =
        Arc::new(ProxyRoute { target, plan: Mutex::default(), connections: Mutex::default() });
    lock(routes).insert(listen, route.clone());
    tokio::spawn(accept_connections(route.clone(), listen, listener));
    tokio::spawn(forward_datagrams(route, socket));
    Ok(())
}

async fn accept_connections(route: Arc<ProxyRoute>, listen: SocketAddr, mut listener: TcpListener) {
    loop {
        if route.plan().unreachable {
            drop(listener);
            listener = listen_again(&route, listen).await;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_until_unreachable(&route) => continue,
        };
        let Ok((stream, peer)) = accepted else { return };
        let plan = route.plan();
        if plan.refuse || plan.blocked_sources.contains(&peer.ip()) {
            continue;
        }
        *lock(&route.connections) += 1;
        let route = route.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = forward_connection(route.clone(), stream, peer) => {}
                () = wait_until_unreachable(&route) => {}
            }
        });
    }
}

async fn wait_until_unreachable(route: &ProxyRoute) {
    while !route.plan().unreachable {
        sleep(PLAN_POLL_INTERVAL).await;
    }
}

/// Listens again once the route is no longer unreachable.
async fn listen_again(route: &ProxyRoute, listen: SocketAddr) -> TcpListener {
    loop {
        sleep(PLAN_POLL_INTERVAL).await;
        if route.plan().unreachable {
            continue;
        }
        match TcpListener::bind(listen).await {
            Ok(listener) => return listener,
            Err(e) => eprintln!("proxy: {listen}: {e}"),
        }
    }
}

async fn forward_connection(route: Arc<ProxyRoute>, client: TcpStream, peer: SocketAddr) {
    let target = match connect_from(peer, route.target).await {
        Ok(target) => target,
        Err(e) => {
            // Any other error is the target's, as if there were no proxy.
            if matches!(e.kind(), ErrorKind::AddrInUse | ErrorKind::AddrNotAvailable) {
                eprintln!("proxy: no local port for a connection to {}: {e}", route.target);
            }
            return;
        }
    };
    // Nagle's algorithm would delay small chunks.
    let _ = client.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let cuts_apply = {
        let mut plan = lock(&route.plan);
        match &mut plan.cuts_left {
            None => true,
            Some(0) => false,
            Some(remaining) => {
                *remaining -= 1;
                true
            }
        }
    };
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target.into_split();
    let up = transfer(
        route.clone(),
        peer.ip(),
        client_read,
        target_write,
        cuts_apply,
        FlowDirection::Up,
    );
    let down = transfer(
        route.clone(),
        peer.ip(),
        target_read,
        client_write,
        cuts_apply,
        FlowDirection::Down,
    );
    // A cut in one direction closes the other; an ordinary end lets the other finish.
    let (mut up, mut down) = (Box::pin(up), Box::pin(down));
    tokio::select! {
        is_cut = &mut up => {
            if !is_cut { down.await; }
        }
        is_cut = &mut down => {
            if !is_cut { up.await; }
        }
    }
}

/// Connects with the peer's IP address as the source, so that the target sees the peer's address.
async fn connect_from(peer: SocketAddr, target: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if target.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // The kernel takes this address anyway. A port that is bound explicitly must not belong to any
    // closed connection (TIME_WAIT), whatever its target, so that many tests in a row use them up.
    if peer.ip() != IpAddr::V4(Ipv4Addr::LOCALHOST) {
        socket.bind(SocketAddr::new(peer.ip(), 0))?;
    }
    socket.connect(target).await
}

async fn forward_datagrams(route: Arc<ProxyRoute>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while let Ok((length, peer)) = socket.recv_from(&mut buffer).await {
        let plan = route.plan();
        if plan.refuse || plan.stall_up || plan.blocked_sources.contains(&peer.ip()) {
            continue;
        }
        let (bytes, socket, target) = (buffer[..length].to_vec(), socket.clone(), route.target);
        tokio::spawn(async move {
            sleep(Duration::from_millis(plan.delay_ms)).await;
            // Ignored: datagrams may be lost on any network.
            let _ = socket.send_to(&bytes, target).await;
        });
    }
}
