//! Compressed replies between daemons: a large configuration reaches the whole fleet in a few
//! seconds, also over slow links.

use std::io;
use std::io::Read;
use std::io::Write;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;

/// Maximum size in bytes of a reply after decompression.
const MAX_UNPACKED_BYTES: u64 = 64 * 1024 * 1024;

/// Why a reply cannot be packed or unpacked.
#[derive(Debug, Snafu)]
pub enum PackError {
    /// The postcard codec failed.
    #[snafu(display("codec: {source}"))]
    Codec { source: postcard::Error },
    /// Compression or decompression failed.
    #[snafu(display("compression: {source}"))]
    Compression { source: io::Error },
}

/// Encodes and compresses a value.
pub fn pack<T>(value: &T) -> Result<Vec<u8>, PackError>
where
    T: Serialize,
{
    let bytes = postcard::to_stdvec(value).context(CodecSnafu)?;
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&bytes).context(CompressionSnafu)?;
    encoder.finish().context(CompressionSnafu)
}

/// Decompresses and decodes a value.
pub fn unpack<T>(bytes: &[u8]) -> Result<T, PackError>
where
    T: DeserializeOwned,
{
    let mut unpacked = Vec::new();
    let mut decoder = ZlibDecoder::new(bytes).take(MAX_UNPACKED_BYTES);
    decoder.read_to_end(&mut unpacked).context(CompressionSnafu)?;
    postcard::from_bytes(&unpacked).context(CodecSnafu)
}

/// The last packed reply with a folder's changes, cached because many peers request the same at
/// once.
#[derive(Clone, Debug, Default)]
pub struct PackedReply {
    /// Cache key: the requested path and the revision of the folder.
    pub key: (String, u64),
    /// The packed reply body.
    pub body: Bytes,
}
