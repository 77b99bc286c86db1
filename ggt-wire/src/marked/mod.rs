//! Kinds of the datagrams that daemons on the users' platform send to each other. Each begins with a byte of its own;
//! digests begin with 0 or 1, the kind of an address.

use serde::Serialize;
use serde::de::DeserializeOwned;

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
    /// A question whether targets are the incarnations that are registered.
    LifetimeQuestion,
    /// The reply to such a question.
    LifetimeAnswer,
}

/// The first bytes of the kinds but digests.
const MARKS: [(u8, DatagramKind); 7] = [
    (0xb7, DatagramKind::Origins),
    (0xb8, DatagramKind::OriginQuestion),
    (0xb9, DatagramKind::OriginAnswer),
    (0xba, DatagramKind::CacheQuestion),
    (0xbb, DatagramKind::CacheAnswer),
    (0xbc, DatagramKind::LifetimeQuestion),
    (0xbd, DatagramKind::LifetimeAnswer),
];

/// The kind of a datagram, by its first byte.
pub fn datagram_kind(bytes: &[u8]) -> DatagramKind {
    let kind = MARKS.iter().find(|(mark, _)| bytes.first() == Some(mark));
    kind.map_or(DatagramKind::Digest, |(_, kind)| *kind)
}

/// Encodes a value as a datagram of this kind.
pub(crate) fn encode_marked<V>(kind: DatagramKind, value: &V) -> Result<Vec<u8>, postcard::Error>
where
    V: Serialize + ?Sized,
{
    let mark = MARKS.iter().find(|(_, other)| *other == kind).map(|(mark, _)| *mark);
    postcard::to_extend(value, mark.into_iter().collect())
}

/// Decodes a datagram of this kind.
pub(crate) fn decode_marked<V>(kind: DatagramKind, bytes: &[u8]) -> Result<V, postcard::Error>
where
    V: DeserializeOwned,
{
    match bytes.split_first() {
        Some((_, value)) if datagram_kind(bytes) == kind => postcard::from_bytes(value),
        _ => Err(postcard::Error::DeserializeBadEncoding),
    }
}
