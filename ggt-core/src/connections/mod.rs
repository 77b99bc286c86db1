//! Connections of callers: how many there may be and how much memory they may take, and which give way when others need
//! their places.
//!
//! A connection takes a descriptor and some memory for itself, and the head of a request several times its bytes until
//! the response has been sent. What is idle gives way first, then what arrives too slowly, each the longest first; a
//! request that is whole never does.

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::arrival::ArrivalWindow;
use crate::clock::MonoTime;

new_key_type! {
    /// Identifies a connection in a [`ConnectionTable`].
    pub struct ConnectionKey;
}

/// Bytes that a connection takes beside the heads and bodies of its requests.
const CONNECTION_BYTES: usize = 24 * 1024;
/// Bytes that a head takes for each byte of it: its buffer, the decoded headers and their index.
const HEAD_FACTOR: usize = 4;
/// Milliseconds after which an idle connection may be closed for others. A caller that sends one request after the other
/// is not idle for so long.
const MIN_IDLE_MS: u64 = 1_000;
/// Share of the connections, as a divisor, that give way together, so that not each new one looks through all.
const REVOKED_SHARE: usize = 64;

/// What connections may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum bytes of memory of all connections, without the bodies of their requests.
    pub max_bytes: usize,
    /// Maximum bytes of the head of a request.
    pub max_head_bytes: usize,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug)]
enum ConnectionState {
    /// No request is in progress.
    Idle { since: MonoTime },
    /// The head of a request arrives.
    Head(ArrivalWindow),
    /// Its body arrives.
    Body(ArrivalWindow),
    /// The request is whole, and its response has not been sent.
    Serving,
    /// It has to end.
    Revoked,
}

/// What a connection was doing when its place was given to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevokedState {
    /// It was idle.
    Idle,
    /// It brought the head of a request too slowly.
    Head,
    /// It brought the body of a request too slowly.
    Body,
}

impl RevokedState {
    /// The state as written in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "slow-head",
            Self::Body => "slow-body",
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct ConnectionEntry {
    state: ConnectionState,
    /// Bytes that count for it.
    bytes: usize,
}

impl ConnectionEntry {
    /// Why it may give way, and since when it could; `None` if it may not. Idle ones come first.
    fn dispensable_since(&self, now: MonoTime) -> Option<(RevokedState, MonoTime)> {
        match &self.state {
            ConnectionState::Idle { since } => {
                (now >= *since + MIN_IDLE_MS).then_some((RevokedState::Idle, *since))
            }
            ConnectionState::Head(window) => Some((RevokedState::Head, window.slow_since(now)?)),
            ConnectionState::Body(window) => Some((RevokedState::Body, window.slow_since(now)?)),
            ConnectionState::Serving | ConnectionState::Revoked => None,
        }
    }
}

/// A connection that has to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevokedConnection {
    /// The connection.
    pub key: ConnectionKey,
    /// What it was doing.
    pub state: RevokedState,
}

/// Whether there is room, and what has to end for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoomOutcome {
    /// Whether there is room now.
    pub has_room: bool,
    /// Connections that have to end.
    pub revoked: Vec<RevokedConnection>,
}

/// The connections of all callers.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    entries: SlotMap<ConnectionKey, ConnectionEntry>,
    limits: ConnectionLimits,
    /// Connections that count, and their bytes; revoked ones do not.
    count: usize,
    bytes: usize,
}

impl ConnectionTable {
    /// A table with these limits.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self { entries: SlotMap::with_key(), limits, count: 0, bytes: 0 }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: ConnectionLimits) {
        self.limits = limits;
    }

    /// Bytes that count for all connections.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of connections that have not been revoked.
    pub const fn count(&self) -> usize {
        self.count
    }

    /// Makes room for one more connection.
    pub fn make_room(&mut self, now: MonoTime) -> RoomOutcome {
        self.make_room_for(1, CONNECTION_BYTES + self.head_bytes(self.limits.max_head_bytes), now)
    }

    /// Adds a connection, which is expected to send a request at once.
    pub fn insert(&mut self, now: MonoTime) -> ConnectionKey {
        let bytes = CONNECTION_BYTES + self.head_bytes(self.limits.max_head_bytes);
        self.count += 1;
        self.bytes += bytes;
        let state = ConnectionState::Head(ArrivalWindow::new(now));
        self.entries.insert(ConnectionEntry { state, bytes })
    }

    /// Makes room for the head of the next request, if the connection is idle. Without room the head is not to be read
    /// yet.
    pub fn begin_head(&mut self, key: ConnectionKey, now: MonoTime) -> RoomOutcome {
        if !self.is_idle(key) {
            return RoomOutcome { has_room: true, revoked: Vec::new() };
        }
        // It does not give way to itself.
        self.set(key, ConnectionState::Serving, CONNECTION_BYTES);
        let bytes = self.head_bytes(self.limits.max_head_bytes);
        let outcome = self.make_room_for(0, bytes, now);
        match outcome.has_room {
            true => {
                let window = ArrivalWindow::new(now);
                self.set(key, ConnectionState::Head(window), CONNECTION_BYTES + bytes);
            }
            false => self.set(key, ConnectionState::Idle { since: now }, CONNECTION_BYTES),
        }
        outcome
    }

    /// Records that bytes have arrived on a connection.
    pub fn record_bytes(&mut self, key: ConnectionKey, bytes: usize, now: MonoTime) {
        let state = self.entries.get_mut(key).map(|entry| &mut entry.state);
        if let Some(ConnectionState::Head(window) | ConnectionState::Body(window)) = state {
            window.record(bytes, now);
        }
    }

    /// Records that the head of a request of this length is whole, and its body is to be read.
    pub fn finish_head(&mut self, key: ConnectionKey, head_bytes: usize, now: MonoTime) {
        let bytes = CONNECTION_BYTES + self.head_bytes(head_bytes);
        self.set(key, ConnectionState::Body(ArrivalWindow::new(now)), bytes);
    }

    /// Records that a request is whole.
    pub fn begin_service(&mut self, key: ConnectionKey) {
        if let Some(bytes) = self.entries.get(key).map(|entry| entry.bytes) {
            self.set(key, ConnectionState::Serving, bytes);
        }
    }

    /// Records that the response to a request has been sent or dropped.
    pub fn end_request(&mut self, key: ConnectionKey, now: MonoTime) {
        self.set(key, ConnectionState::Idle { since: now }, CONNECTION_BYTES);
    }

    /// Whether no request is in progress on a connection.
    pub fn is_idle(&self, key: ConnectionKey) -> bool {
        let state = self.entries.get(key).map(|entry| entry.state);
        matches!(state, Some(ConnectionState::Idle { .. }))
    }

    /// Whether a connection has to end.
    pub fn is_revoked(&self, key: ConnectionKey) -> bool {
        let state = self.entries.get(key).map(|entry| entry.state);
        matches!(state, None | Some(ConnectionState::Revoked))
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, key: ConnectionKey) {
        let Some(entry) = self.entries.remove(key) else { return };
        if !matches!(entry.state, ConnectionState::Revoked) {
            self.count -= 1;
            self.bytes -= entry.bytes;
        }
    }

    /// Bytes of memory for a head of this length.
    const fn head_bytes(&self, length: usize) -> usize {
        HEAD_FACTOR.saturating_mul(length)
    }

    /// Sets what a connection does and takes, unless it has to end.
    fn set(&mut self, key: ConnectionKey, state: ConnectionState, bytes: usize) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        if matches!(entry.state, ConnectionState::Revoked) {
            return;
        }
        self.bytes = self.bytes - entry.bytes + bytes;
        *entry = ConnectionEntry { state, bytes };
    }

    fn has_room(&self, connections: usize, bytes: usize) -> bool {
        let ConnectionLimits { max_connections, max_bytes, .. } = self.limits;
        // A single connection always has.
        self.count == 0
            || (self.count + connections <= max_connections && self.bytes + bytes <= max_bytes)
    }

    fn make_room_for(&mut self, connections: usize, bytes: usize, now: MonoTime) -> RoomOutcome {
        if self.has_room(connections, bytes) {
            return RoomOutcome { has_room: true, revoked: Vec::new() };
        }
        let dispensable = self.entries.iter().filter_map(|(key, entry)| {
            let (state, since) = entry.dispensable_since(now)?;
            Some((state != RevokedState::Idle, since, RevokedConnection { key, state }))
        });
        let mut dispensable: Vec<_> = dispensable.collect();
        dispensable.sort_unstable_by_key(|(is_slow, since, _)| (*is_slow, *since));
        let least = self.entries.len() / REVOKED_SHARE;
        let mut revoked = Vec::new();
        for (_, _, connection) in dispensable {
            if revoked.len() >= least && self.has_room(connections, bytes) {
                break;
            }
            self.revoke(connection.key);
            revoked.push(connection);
        }
        RoomOutcome { has_room: self.has_room(connections, bytes), revoked }
    }

    fn revoke(&mut self, key: ConnectionKey) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        self.count -= 1;
        self.bytes -= entry.bytes;
        *entry = ConnectionEntry { state: ConnectionState::Revoked, bytes: 0 };
    }
}
