//! Software versions of targets, and which version began a stream.
//!
//! What targets of two versions write does not fit together, so a stream only goes on at the version that
//! began it. A daemon knows that of the streams that it has served and of those that it was told of, and for
//! a service that has had one version only, of all. If no daemon knows, the targets' prefix caches may show it.

mod cached;
mod history;
mod listings;
mod origins;
mod past;
mod progress;
mod replies;
mod timing;
mod version;

pub use cached::CacheVerdict;
pub use cached::OriginTarget;
pub use cached::OtherLosses;
pub use cached::StreamPart;
pub use cached::judge_cached;
pub use history::ServiceKey;
pub use history::VersionHistory;
pub use history::VersionState;
pub use listings::CachedTokens;
pub use listings::LISTING_TTL_MS;
pub use listings::ListedPart;
pub use listings::ListingTable;
pub use origins::OriginTable;
pub use origins::StreamKey;
pub use origins::StreamOrigin;
pub use past::PastChange;
pub use past::PastState;
pub use past::PastVersions;
pub use progress::StreamProgress;
pub use replies::OriginReply;
pub use replies::OriginVerdict;
pub use replies::judge_replies;
pub use timing::ASK_MS;
pub use timing::BUSY_GRACE_MS;
pub use timing::CACHE_ASK_MS;
pub use timing::FIRST_ASK_MS;
pub use timing::LIST_WAIT_MS;
pub use timing::OPEN_TELL_DELAY_MS;
pub use timing::TELL_DELAY_MS;
pub use timing::longest_ask_ms;
pub use timing::longest_decision_ms;
pub use timing::longest_tell_ms;
pub use version::SoftwareVersion;
