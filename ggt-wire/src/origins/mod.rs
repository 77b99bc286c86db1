//! Encoding of the datagrams about the origins of streams that daemons on the users' platform send to each other.
//! Each kind begins with a byte of its own; digests begin with 0 or 1, the kind of an address.

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use ggt_core::versions::ListedPart;
use ggt_core::versions::OriginReply;
use ggt_core::versions::ServiceKey;
use ggt_core::versions::StreamKey;
use ggt_core::versions::StreamOrigin;

/// First byte of a datagram with origins.
const ORIGINS_MARK: u8 = 0xb7;
/// First byte of a datagram that asks for the origin of a stream.
const QUESTION_MARK: u8 = 0xb8;
/// First byte of the reply to it.
const REPLY_MARK: u8 = 0xb9;

/// First byte of a datagram that asks which targets have a prompt part cached.
const CACHE_QUESTION_MARK: u8 = 0xba;
/// First byte of the reply to it.
const CACHE_REPLY_MARK: u8 = 0xbb;

/// What a datagram between daemons is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramKind {
    /// A digest.
    Digest,
    /// Origins of streams that the sender tells of.
    Origins,
    /// A question for the origin of a stream.
    OriginQuestion,
    /// The reply to such a question.
    OriginAnswer,
    /// A question for the targets that have a prompt part cached.
    CacheQuestion,
    /// The reply to such a question.
    CacheAnswer,
}

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

/// The kind of a datagram, by its first byte.
pub fn datagram_kind(bytes: &[u8]) -> DatagramKind {
    match bytes.first() {
        Some(&ORIGINS_MARK) => DatagramKind::Origins,
        Some(&QUESTION_MARK) => DatagramKind::OriginQuestion,
        Some(&REPLY_MARK) => DatagramKind::OriginAnswer,
        Some(&CACHE_QUESTION_MARK) => DatagramKind::CacheQuestion,
        Some(&CACHE_REPLY_MARK) => DatagramKind::CacheAnswer,
        _ => DatagramKind::Digest,
    }
}

/// Encodes origins as a datagram.
///
/// # Errors
/// The error of the codec.
pub fn encode_origins(origins: &[StreamOrigin]) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(origins, vec![ORIGINS_MARK])
}

/// Decodes a datagram with origins.
///
/// # Errors
/// The error of the codec for bytes that are no origins.
pub fn decode_origins(bytes: &[u8]) -> Result<Vec<StreamOrigin>, postcard::Error> {
    decode_marked(ORIGINS_MARK, bytes)
}

/// Encodes a question as a datagram.
///
/// # Errors
/// The error of the codec.
pub fn encode_question(question: &OriginQuestion) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(question, vec![QUESTION_MARK])
}

/// Decodes a datagram with a question.
///
/// # Errors
/// The error of the codec for bytes that are no question.
pub fn decode_question(bytes: &[u8]) -> Result<OriginQuestion, postcard::Error> {
    decode_marked(QUESTION_MARK, bytes)
}

/// Encodes the reply to a question as a datagram.
///
/// # Errors
/// The error of the codec.
pub fn encode_answer(answer: &OriginAnswer) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(answer, vec![REPLY_MARK])
}

/// Decodes a datagram with the reply to a question.
///
/// # Errors
/// The error of the codec for bytes that are no such reply.
pub fn decode_answer(bytes: &[u8]) -> Result<OriginAnswer, postcard::Error> {
    decode_marked(REPLY_MARK, bytes)
}

/// Encodes a question for cached parts as a datagram.
///
/// # Errors
/// The error of the codec.
pub fn encode_cache_question(question: &CacheQuestion) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(question, vec![CACHE_QUESTION_MARK])
}

/// Decodes a datagram with a question for cached parts.
///
/// # Errors
/// The error of the codec for bytes that are no such question.
pub fn decode_cache_question(bytes: &[u8]) -> Result<CacheQuestion, postcard::Error> {
    decode_marked(CACHE_QUESTION_MARK, bytes)
}

/// Encodes the reply to a question for cached parts as a datagram.
///
/// # Errors
/// The error of the codec.
pub fn encode_cache_answer(answer: &CacheAnswer) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(answer, vec![CACHE_REPLY_MARK])
}

/// Decodes a datagram with the reply to a question for cached parts.
///
/// # Errors
/// The error of the codec for bytes that are no such reply.
pub fn decode_cache_answer(bytes: &[u8]) -> Result<CacheAnswer, postcard::Error> {
    decode_marked(CACHE_REPLY_MARK, bytes)
}

fn decode_marked<V>(mark: u8, bytes: &[u8]) -> Result<V, postcard::Error>
where
    V: DeserializeOwned,
{
    match bytes.split_first() {
        Some((first, value)) if *first == mark => postcard::from_bytes(value),
        _ => Err(postcard::Error::DeserializeBadEncoding),
    }
}
