//! Encoding of the datagrams that carry pings and gossip items between daemons.

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::auth::FleetKeys;
use crate::auth::TAG_BYTES;
use ggt_core::membership::DatagramHeader;
use ggt_core::membership::GossipItem;
use ggt_core::membership::PeerMessage;

/// Maximum size of a datagram; with the IP and UDP headers it fits the usual MTU of 1,500 bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Bytes of the IPv4 and UDP headers of each datagram.
pub const UDP_HEADER_BYTES: usize = 28;
/// Version of the layout; datagrams of other versions are dropped.
const LAYOUT_VERSION: u8 = 1;
/// Purpose that the tag of a datagram is bound to.
const PURPOSE: &str = "datagram";

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum DatagramError {
    /// No key of the fleet verifies its tag.
    #[snafu(display("the tag does not verify"))]
    Unauthenticated,
    /// It is too short or too long, or does not decode.
    #[snafu(display("the datagram does not decode"))]
    Malformed,
    /// Its layout version is not supported.
    #[snafu(display("the layout version is not supported"))]
    Version,
}

/// One decoded datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerDatagram {
    /// Header with the sender and the sequence number.
    pub header: DatagramHeader,
    /// Version of the host list in use on the sender.
    pub hosts_version: u64,
    /// The message, or `None` if this version does not support its kind.
    pub message: Option<PeerMessage>,
    /// The gossip items of supported kinds.
    pub items: Vec<GossipItem>,
    /// Number of items that were skipped because their kind is not supported.
    pub skipped: usize,
}

/// The message and each item are encoded as separate byte strings, so that unknown kinds can be
/// skipped.
#[derive(Serialize, Deserialize)]
struct DatagramBody<'a> {
    version: u8,
    #[serde(rename = "head")]
    header: DatagramHeader,
    hosts_version: u64,
    #[serde(borrow)]
    message: &'a [u8],
    #[serde(borrow)]
    items: Vec<&'a [u8]>,
}

/// Encodes and tags a datagram.
///
/// # Errors
/// [`DatagramError::Malformed`] when it would be larger than [`MAX_DATAGRAM_BYTES`].
pub fn encode_datagram(
    keys: &FleetKeys,
    header: &DatagramHeader,
    hosts_version: u64,
    message: &PeerMessage,
    items: &[GossipItem],
) -> Result<Vec<u8>, DatagramError> {
    let malformed = |_| DatagramError::Malformed;
    let message = postcard::to_stdvec(message).map_err(malformed)?;
    let items: Vec<Vec<u8>> =
        items.iter().map(postcard::to_stdvec).collect::<Result<_, _>>().map_err(malformed)?;
    let body = DatagramBody {
        version: LAYOUT_VERSION,
        header: header.clone(),
        hosts_version,
        message: &message,
        items: items.iter().map(Vec::as_slice).collect(),
    };
    let mut bytes = postcard::to_stdvec(&body).map_err(malformed)?;
    let tag = keys.sign(PURPOSE, &[&bytes]);
    bytes.extend_from_slice(&tag);
    if bytes.len() > MAX_DATAGRAM_BYTES { Err(DatagramError::Malformed) } else { Ok(bytes) }
}

/// Bytes that an item adds to a datagram, with its length prefix.
pub fn item_bytes(item: &GossipItem) -> usize {
    1 + postcard::to_stdvec(item).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}

/// Verifies and decodes a datagram.
///
/// # Errors
/// [`DatagramError`] states why the datagram must be dropped.
pub fn decode_datagram(keys: &FleetKeys, bytes: &[u8]) -> Result<PeerDatagram, DatagramError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::Malformed);
    }
    let split = bytes.len().checked_sub(TAG_BYTES).ok_or(DatagramError::Malformed)?;
    let (body, tag) = bytes.split_at(split);
    if !keys.verify(PURPOSE, &[body], tag) {
        return Err(DatagramError::Unauthenticated);
    }
    match body.first() {
        Some(&LAYOUT_VERSION) => (),
        _ => return Err(DatagramError::Version),
    }
    let body: DatagramBody<'_> =
        postcard::take_from_bytes(body).map_err(|_| DatagramError::Malformed)?.0;
    let items: Vec<GossipItem> =
        body.items.iter().filter_map(|bytes| postcard::from_bytes(bytes).ok()).collect();
    Ok(PeerDatagram {
        skipped: body.items.len() - items.len(),
        header: body.header,
        hosts_version: body.hosts_version,
        message: postcard::from_bytes(body.message).ok(),
        items,
    })
}
