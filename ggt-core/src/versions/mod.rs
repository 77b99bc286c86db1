//! Software versions of targets, and which version began a stream.

mod version;

pub use version::SoftwareVersion;
