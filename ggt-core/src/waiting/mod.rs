//! Requests that find no place at their service now and wait for one within their latency objective.
//!
//! The queue is bounded and ordered: more urgent requests first, then those within their customer's share, then those
//! of customers with fewer waiting requests, then those that have to begin earlier. A request leaves it as soon as its
//! place is not certain in time.

use std::collections::BTreeMap;

use crate::clock::MonoTime;

/// Maximum number of requests of one service that wait at one daemon.
const MAX_WAITING: usize = 64;
/// Part of the latency objective for which a request may wait; the rest is for the target's work.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// The latest time at which a request that was received at `received_at` may begin, by its latency objective.
pub fn latest_start(received_at: MonoTime, goal_ms: u64) -> MonoTime {
    received_at + (goal_ms as f64 * MAX_WAIT_FRACTION) as u64
}

/// Place of a request in the order of its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitTicket {
    priority: u32,
    is_over_share: bool,
    /// Requests of the same customer that waited when it joined.
    customer_rank: u32,
    latest_start: MonoTime,
    number: u64,
}

/// A request that asks to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitRequest {
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Short hash of the customer.
    pub customer: u32,
    /// Whether the customer has more than its share already; the request gets what the others leave.
    pub is_over_share: bool,
    /// Latest time at which it may begin.
    pub latest_start: MonoTime,
}

/// What is known about the places that become free.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomForecast {
    /// Milliseconds until the first place is free; `None` if that is not known.
    pub first_ms: Option<u64>,
    /// Milliseconds from one place of this daemon to the next.
    pub interval_ms: f64,
}

impl RoomForecast {
    /// When the request at this position of the queue is to get its place; `None` if that is not known.
    pub fn start_at(&self, position: usize, now: MonoTime) -> Option<MonoTime> {
        let later_ms = (self.interval_ms.max(0.0) * position as f64).ceil() as u64;
        Some(now + self.first_ms?.saturating_add(later_ms))
    }
}

/// Requests of one service that wait at one daemon.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    waiting: BTreeMap<WaitTicket, u32>,
    joined: u64,
}

impl WaitQueue {
    /// Adds a request if its place is certain in time. If the queue is full, the last one has to go for one before it.
    pub fn join(
        &mut self,
        request: WaitRequest,
        forecast: RoomForecast,
        now: MonoTime,
    ) -> Option<WaitTicket> {
        let same_customer = self.waiting.values().filter(|customer| **customer == request.customer);
        let ticket = WaitTicket {
            priority: request.priority,
            is_over_share: request.is_over_share,
            customer_rank: same_customer.count() as u32,
            latest_start: request.latest_start,
            number: self.joined,
        };
        if !self.is_certain(ticket, forecast, now) {
            return None;
        }
        if self.waiting.len() >= MAX_WAITING {
            let last = self.waiting.last_key_value().map(|(last, _)| *last);
            match last {
                Some(last) if ticket < last => drop(self.waiting.remove(&last)),
                _ => return None,
            }
        }
        self.joined += 1;
        self.waiting.insert(ticket, request.customer);
        Some(ticket)
    }

    /// Whether a request still waits and its place is still certain in time.
    pub fn may_wait_on(&self, ticket: WaitTicket, forecast: RoomForecast, now: MonoTime) -> bool {
        self.waiting.contains_key(&ticket) && self.is_certain(ticket, forecast, now)
    }

    /// Whether a request is the first in the order, so that it may take a place that is free.
    pub fn is_first(&self, ticket: WaitTicket) -> bool {
        self.waiting.first_key_value().is_some_and(|(first, _)| *first == ticket)
    }

    /// Whether any request before one of this priority waits, so that it has to wait, too.
    pub fn must_queue(&self, priority: u32) -> bool {
        self.waiting.first_key_value().is_some_and(|(first, _)| first.priority <= priority)
    }

    /// Removes a request that got its place, is refused, or whose caller has left.
    pub fn leave(&mut self, ticket: WaitTicket) {
        self.waiting.remove(&ticket);
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn is_certain(&self, ticket: WaitTicket, forecast: RoomForecast, now: MonoTime) -> bool {
        let position = self.waiting.range(..ticket).count();
        let start_at = forecast.start_at(position, now);
        start_at.is_some_and(|start_at| start_at <= ticket.latest_start)
    }
}
