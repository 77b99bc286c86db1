//! Encoding of the datagrams by which one daemon asks targets for their starts for others.

use serde::Deserialize;
use serde::Serialize;

use crate::marked::DatagramKind;
use crate::marked::decode_marked;
use crate::marked::encode_marked;
use ggt_core::clock::MonoTime;
use ggt_core::targets::StatedStart;

/// Asks a daemon whether targets are the incarnations that are registered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LifetimeQuestion {
    /// Number of the question, which the reply repeats.
    pub number: u64,
    /// The targets.
    pub targets: Vec<DoubtedTarget>,
}

/// A target whose incarnation is in doubt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoubtedTarget {
    /// Short hash of the registered incarnation.
    pub target: u32,
    /// Milliseconds since something last spoke against it, when the question was made.
    pub age_ms: u32,
}

impl DoubtedTarget {
    /// A target that was last doubted at this time.
    pub fn new(target: u32, doubted_at: MonoTime, now: MonoTime) -> Self {
        let age_ms = u32::try_from(now.millis_since(doubted_at)).unwrap_or(u32::MAX);
        Self { target, age_ms }
    }

    /// When it was last doubted, on the receiver's clock; not before that by the time of the message on the way.
    pub fn doubted_at(&self, now: MonoTime) -> MonoTime {
        MonoTime::from_millis(now.as_millis().saturating_sub(u64::from(self.age_ms)))
    }
}

/// What a target said of its start after what spoke against its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStart {
    /// Short hash of the registered incarnation.
    pub target: u32,
    /// Its statement.
    pub start: StatedStart,
}

/// Reply to a [`LifetimeQuestion`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LifetimeAnswer {
    /// Number of the question.
    pub number: u64,
    /// What the targets said; those that did not reply are left out.
    pub starts: Vec<TargetStart>,
}

/// Encodes a question as a datagram.
///
/// # Errors
/// The error of the codec.
pub fn encode_lifetime_question(question: &LifetimeQuestion) -> Result<Vec<u8>, postcard::Error> {
    encode_marked(DatagramKind::LifetimeQuestion, question)
}

/// Decodes a datagram with a question.
///
/// # Errors
/// The error of the codec for bytes that are no such question.
pub fn decode_lifetime_question(bytes: &[u8]) -> Result<LifetimeQuestion, postcard::Error> {
    decode_marked(DatagramKind::LifetimeQuestion, bytes)
}

/// Encodes the reply to a question as a datagram.
///
/// # Errors
/// The error of the codec.
pub fn encode_lifetime_answer(answer: &LifetimeAnswer) -> Result<Vec<u8>, postcard::Error> {
    encode_marked(DatagramKind::LifetimeAnswer, answer)
}

/// Decodes a datagram with the reply to a question.
///
/// # Errors
/// The error of the codec for bytes that are no such reply.
pub fn decode_lifetime_answer(bytes: &[u8]) -> Result<LifetimeAnswer, postcard::Error> {
    decode_marked(DatagramKind::LifetimeAnswer, bytes)
}
