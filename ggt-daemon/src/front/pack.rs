//! What daemons answer each other, packed: a large configuration goes to all of a fleet in a few
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

/// Longest answer in bytes after unpacking.
const MAX_UNPACKED_BYTES: u64 = 64 * 1024 * 1024;

/// Why an answer cannot be packed or unpacked.
#[derive(Debug, Snafu)]
pub enum PackError {
    /// The codec refused it.
    #[snafu(display("codec: {source}"))]
    Codec {
        /// The cause.
        source: postcard::Error,
    },
    /// The compression failed.
    #[snafu(display("compression: {source}"))]
    Compression {
        /// The cause.
        source: io::Error,
    },
}

/// Encodes and compresses a value.
///
/// # Errors
/// [`PackError`] says which step failed.
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
///
/// # Errors
/// [`PackError`] says which step failed.
pub fn unpack<T>(bytes: &[u8]) -> Result<T, PackError>
where
    T: DeserializeOwned,
{
    let mut whole = Vec::new();
    let mut decoder = ZlibDecoder::new(bytes).take(MAX_UNPACKED_BYTES);
    decoder.read_to_end(&mut whole).context(CompressionSnafu)?;
    postcard::from_bytes(&whole).context(CodecSnafu)
}

/// The last packed answer with facts, which many peers ask for at once.
#[derive(Clone, Debug, Default)]
pub struct PackedFacts {
    /// The path that was asked and the revision of the facts.
    pub question: (String, u64),
    /// The packed answer.
    pub answer: Bytes,
}
