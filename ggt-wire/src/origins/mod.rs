//! Encoding of the datagrams about the origins of streams that daemons on the users' platform send to each other.

use serde::Deserialize;
use serde::Serialize;

use crate::marked::DatagramKind;
use crate::marked::decode_marked;
use crate::marked::encode_marked;
use ggt_core::versions::ListedPart;
use ggt_core::versions::OriginReply;
use ggt_core::versions::ServiceKey;
use ggt_core::versions::StreamKey;
use ggt_core::versions::StreamOrigin;

/// Asks a daemon which version began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuestion {
    /// Number of the question, which the reply repeats.
    pub number: u64,
    /// The stream.
    pub key: StreamKey,
    /// The stream's service.
    pub service: ServiceKey,
}

/// Reply to an [`OriginQuestion`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// Number of the question.
    pub number: u64,
    /// What the daemon knows.
    pub reply: OriginReply,
}

/// Asks a daemon which of some targets have a prompt part cached, by their own lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheQuestion {
    /// Number of the question, which the reply repeats.
    pub number: u64,
    /// Hash of the prefix that ends with the part.
    pub prefix: u64,
    /// Short hashes of the targets.
    pub targets: Vec<u32>,
}

/// Reply to a [`CacheQuestion`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheAnswer {
    /// Number of the question.
    pub number: u64,
    /// What the lists say; targets without a current list are left out.
    pub listed: Vec<ListedPart>,
}

/// Encodes origins as a datagram.
///
/// # Errors
/// The error of the codec.
pub fn encode_origins(origins: &[StreamOrigin]) -> Result<Vec<u8>, postcard::Error> {
    encode_marked(DatagramKind::Origins, origins)
}

/// Decodes a datagram with origins.
///
/// # Errors
/// The error of the codec for bytes that are no origins.
pub fn decode_origins(bytes: &[u8]) -> Result<Vec<StreamOrigin>, postcard::Error> {
    decode_marked(DatagramKind::Origins, bytes)
}

/// Encodes a question as a datagram.
///
/// # Errors
/// The error of the codec.
pub fn encode_question(question: &OriginQuestion) -> Result<Vec<u8>, postcard::Error> {
    encode_marked(DatagramKind::OriginQuestion, question)
}

/// Decodes a datagram with a question.
///
/// # Errors
/// The error of the codec for bytes that are no question.
pub fn decode_question(bytes: &[u8]) -> Result<OriginQuestion, postcard::Error> {
    decode_marked(DatagramKind::OriginQuestion, bytes)
}

/// Encodes the reply to a question as a datagram.
///
/// # Errors
/// The error of the codec.
pub fn encode_answer(answer: &OriginAnswer) -> Result<Vec<u8>, postcard::Error> {
    encode_marked(DatagramKind::OriginAnswer, answer)
}

/// Decodes a datagram with the reply to a question.
///
/// # Errors
/// The error of the codec for bytes that are no such reply.
pub fn decode_answer(bytes: &[u8]) -> Result<OriginAnswer, postcard::Error> {
    decode_marked(DatagramKind::OriginAnswer, bytes)
}

/// Encodes a question for cached parts as a datagram.
///
/// # Errors
/// The error of the codec.
pub fn encode_cache_question(question: &CacheQuestion) -> Result<Vec<u8>, postcard::Error> {
    encode_marked(DatagramKind::CacheQuestion, question)
}

/// Decodes a datagram with a question for cached parts.
///
/// # Errors
/// The error of the codec for bytes that are no such question.
pub fn decode_cache_question(bytes: &[u8]) -> Result<CacheQuestion, postcard::Error> {
    decode_marked(DatagramKind::CacheQuestion, bytes)
}

/// Encodes the reply to a question for cached parts as a datagram.
///
/// # Errors
/// The error of the codec.
pub fn encode_cache_answer(answer: &CacheAnswer) -> Result<Vec<u8>, postcard::Error> {
    encode_marked(DatagramKind::CacheAnswer, answer)
}

/// Decodes a datagram with the reply to a question for cached parts.
///
/// # Errors
/// The error of the codec for bytes that are no such reply.
pub fn decode_cache_answer(bytes: &[u8]) -> Result<CacheAnswer, postcard::Error> {
    decode_marked(DatagramKind::CacheAnswer, bytes)
}
