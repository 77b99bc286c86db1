//! Memory for the bodies of requests: which are admitted, and which give way when there is no room.
//!
//! A body counts with the bytes that are set aside for it, from its admission until its request has ended. Large bodies
//! leave room for small ones, and those of one customer leave room for other customers' large ones. A body that arrives
//! too slowly keeps its room only until another one needs it.

use std::collections::HashMap;

use slotmap::SlotMap;
use slotmap::new_key_type;
use snafu::Snafu;

use crate::arrival::ArrivalWindow;
use crate::clock::MonoTime;

new_key_type! {
    /// Identifies a body in a [`BodyTable`].
    pub struct BodyKey;
}

/// Size in bytes up to which a body is small.
pub const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Share of the room that large bodies may take together.
const LARGE_SHARE: f64 = 0.75;
/// Share of that which those of one customer may take, if it has more than one.
const CUSTOMER_SHARE: f64 = 0.5;

/// Why a body cannot be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum BodyDenial {
    /// The bodies that are held leave no room.
    #[snafu(display("no room for the body"))]
    NoRoom,
    /// The customer's large bodies take its share of the room.
    #[snafu(display("the customer's bodies take its share of the room"))]
    CustomerShare,
    /// The body arrived too slowly, and its room was given to another one.
    #[snafu(display("the body arrives too slowly"))]
    Revoked,
}

impl BodyDenial {
    /// The reason as written in logs and responses.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRoom => "no-memory",
            Self::CustomerShare => "over-memory-share",
            Self::Revoked => "body-too-slow",
        }
    }
}

/// How far a body has arrived.
#[derive(Clone, Copy, Debug)]
enum BodyState {
    /// It arrives.
    Arriving(ArrivalWindow),
    /// It is whole.
    Whole,
    /// Its room has been given to another one.
    Revoked,
}

#[derive(Clone, Copy, Debug)]
struct BodyEntry {
    /// Hash of the customer.
    customer: u64,
    /// Bytes that are set aside.
    bytes: usize,
    state: BodyState,
}

impl BodyEntry {
    const fn is_large(&self) -> bool {
        self.bytes > SMALL_BODY_BYTES
    }

    /// Since when a body that arrives has brought too little.
    fn slow_since(&self, now: MonoTime) -> Option<MonoTime> {
        match &self.state {
            BodyState::Arriving(window) => window.slow_since(now),
            BodyState::Whole | BodyState::Revoked => None,
        }
    }
}

/// The bodies that a daemon holds, and the room that they may take together.
#[derive(Clone, Debug)]
pub struct BodyTable {
    entries: SlotMap<BodyKey, BodyEntry>,
    /// Bytes that all bodies may take.
    room: usize,
    /// Bytes that large bodies may take.
    large_room: usize,
    held: usize,
    large_held: usize,
    /// Bytes of large bodies by customer.
    customers: HashMap<u64, usize>,
    /// Number of bodies that have given way.
    revocations: u64,
}

impl BodyTable {
    /// A table with room for `room` bytes.
    pub fn new(room: usize) -> Self {
        let mut table = Self {
            entries: SlotMap::with_key(),
            room: 0,
            large_room: 0,
            held: 0,
            large_held: 0,
            customers: HashMap::new(),
            revocations: 0,
        };
        table.set_room(room, 0);
        table
    }

    /// Sets the room, of which at least one body of the longest allowed length gets its own.
    pub fn set_room(&mut self, room: usize, max_body_bytes: usize) {
        self.large_room = ((room as f64 * LARGE_SHARE) as usize).max(max_body_bytes);
        self.room = room.max(self.large_room);
    }

    /// Bytes that are set aside for all bodies.
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Number of bodies that have given way to others so far.
    pub const fn revocations(&self) -> u64 {
        self.revocations
    }

    /// Bytes that they may take together.
    pub const fn room(&self) -> usize {
        self.room
    }

    /// Sets room aside for a new body of this customer.
    ///
    /// # Errors
    /// [`BodyDenial`] when there is none, also after all bodies that arrive too slowly have given way.
    pub fn admit(
        &mut self,
        customer: u64,
        bytes: usize,
        now: MonoTime,
    ) -> Result<BodyKey, BodyDenial> {
        let state = BodyState::Arriving(ArrivalWindow::new(now));
        let key = self.entries.insert(BodyEntry { customer, bytes: 0, state });
        match self.grow(key, bytes, now) {
            Ok(()) => Ok(key),
            Err(denial) => {
                self.entries.remove(key);
                Err(denial)
            }
        }
    }

    /// Sets more room aside for a body that arrives, `bytes` in all.
    ///
    /// # Errors
    /// [`BodyDenial`] as for a new body, or if this one has given way.
    pub fn grow(&mut self, key: BodyKey, bytes: usize, now: MonoTime) -> Result<(), BodyDenial> {
        let Some(entry) = self.entries.get(key).copied() else { return Err(BodyDenial::Revoked) };
        if matches!(entry.state, BodyState::Revoked) {
            return Err(BodyDenial::Revoked);
        }
        let grown = BodyEntry { bytes, ..entry };
        self.count_out(entry);
        let admitted = self.make_room(key, &grown, now);
        let entry = if admitted.is_ok() { grown } else { entry };
        self.count_in(entry);
        self.entries[key] = entry;
        admitted
    }

    /// Records that bytes of a body have arrived.
    pub fn record_bytes(&mut self, key: BodyKey, bytes: usize, now: MonoTime) {
        let state = self.entries.get_mut(key).map(|entry| &mut entry.state);
        if let Some(BodyState::Arriving(window)) = state {
            window.record(bytes, now);
        }
    }

    /// Records that a body has arrived whole, in a buffer of this size.
    pub fn finish(&mut self, key: BodyKey, bytes: usize) {
        let Some(entry) = self.entries.get(key).copied() else { return };
        if matches!(entry.state, BodyState::Revoked) {
            return;
        }
        let whole = BodyEntry { bytes, state: BodyState::Whole, ..entry };
        self.count_out(entry);
        self.count_in(whole);
        self.entries[key] = whole;
    }

    /// Whether a body has given way to another one.
    pub fn is_revoked(&self, key: BodyKey) -> bool {
        self.entries.get(key).is_none_or(|entry| matches!(entry.state, BodyState::Revoked))
    }

    /// Returns the room of a body that is no longer held.
    pub fn release(&mut self, key: BodyKey) {
        let Some(entry) = self.entries.remove(key) else { return };
        if !matches!(entry.state, BodyState::Revoked) {
            self.count_out(entry);
        }
    }

    /// Makes room for `grown`, which does not count yet: others that arrive too slowly give way, the slowest first.
    fn make_room(
        &mut self,
        key: BodyKey,
        grown: &BodyEntry,
        now: MonoTime,
    ) -> Result<(), BodyDenial> {
        let Err(mut denial) = self.check(grown) else { return Ok(()) };
        let others = self.entries.iter().filter(|(other, _)| *other != key);
        let mut slow: Vec<_> =
            others.filter_map(|(other, entry)| Some((entry.slow_since(now)?, other))).collect();
        slow.sort_unstable();
        for (_, other) in slow {
            self.revoke(other);
            match self.check(grown) {
                Ok(()) => return Ok(()),
                Err(e) => denial = e,
            }
        }
        Err(denial)
    }

    fn check(&self, body: &BodyEntry) -> Result<(), BodyDenial> {
        if self.held + body.bytes > self.room {
            return Err(BodyDenial::NoRoom);
        }
        if !body.is_large() {
            return Ok(());
        }
        if self.large_held + body.bytes > self.large_room {
            return Err(BodyDenial::NoRoom);
        }
        let held = self.customers.get(&body.customer).copied().unwrap_or(0);
        let share = (self.large_room as f64 * CUSTOMER_SHARE) as usize;
        match held > 0 && held + body.bytes > share {
            true => Err(BodyDenial::CustomerShare),
            false => Ok(()),
        }
    }

    /// Takes the room of a body. Its bytes are dropped as soon as the task that reads them runs.
    fn revoke(&mut self, key: BodyKey) {
        let Some(entry) = self.entries.get(key).copied() else { return };
        self.count_out(entry);
        self.revocations += 1;
        self.entries[key].state = BodyState::Revoked;
    }

    fn count_in(&mut self, entry: BodyEntry) {
        self.held += entry.bytes;
        if entry.is_large() {
            self.large_held += entry.bytes;
            *self.customers.entry(entry.customer).or_default() += entry.bytes;
        }
    }

    fn count_out(&mut self, entry: BodyEntry) {
        self.held -= entry.bytes;
        if !entry.is_large() {
            return;
        }
        self.large_held -= entry.bytes;
        if let Some(held) = self.customers.get_mut(&entry.customer) {
            *held -= entry.bytes;
            if *held == 0 {
                self.customers.remove(&entry.customer);
            }
        }
    }
}
