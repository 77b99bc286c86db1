//! Which version began a stream that no daemon knows, by where the prompt part of its own is cached.
//!
//! The last part of a prompt belongs to the request or its session, so it is cached where the stream ran, and where
//! the session ran before. A target keeps it with what it has generated after it.

use crate::versions::ListedPart;
use crate::versions::SoftwareVersion;

/// A target at which the stream may have begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OriginTarget {
    /// Short hash of the target's incarnation.
    pub hash: u32,
    /// Version of its software.
    pub version: SoftwareVersion,
    /// Whether it is known to have ended or not to accept connections.
    pub is_gone: bool,
}

/// What the lists of the targets' caches show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheVerdict {
    /// Targets of this version only have the part: it began the stream.
    Cached(SoftwareVersion),
    /// The prompt has no part of its own.
    NoPart,
    /// A target that may have the part has not been listed.
    Unlisted,
    /// Targets of several versions have it.
    Ambiguous,
    /// No target has it.
    Nowhere,
    /// Targets of one version have it, perhaps from before: a target of another version has ended, which may have had
    /// it, too.
    Departed,
}

impl CacheVerdict {
    /// The verdict as written in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Cached(_) => "cached",
            Self::NoPart => "no-part",
            Self::Unlisted => "unlisted",
            Self::Ambiguous => "ambiguous",
            Self::Nowhere => "nowhere",
            Self::Departed => "departed",
        }
    }
}

/// Judges which version began a stream whose own part has `tokens` tokens, by what the lists of the service's
/// targets say about the part.
///
/// An earlier request of the same session leaves fewer tokens than this one states. If it does not, the part may be
/// cached at several versions, or only at the wrong one, once the target that ran the stream has ended.
/// `has_lost_other` says whether a target of another version than its argument has. Then only more tokens than the part
/// has will do, since these were generated after it.
pub fn judge_cached<D>(
    tokens: u32,
    targets: &[OriginTarget],
    listed: &[ListedPart],
    has_lost_other: D,
) -> CacheVerdict
where
    D: Fn(SoftwareVersion) -> bool,
{
    let kept = |target: &OriginTarget| {
        let parts = listed.iter().filter(|part| part.target == target.hash);
        parts.filter_map(|part| part.tokens).max()
    };
    let is_listed = |target: &&OriginTarget| listed.iter().any(|part| part.target == target.hash);
    let has_part = |target: &&OriginTarget| kept(target).is_some_and(|kept| kept >= tokens.max(1));
    let mut holders = targets.iter().filter(has_part);
    let Some(version) = holders.next().map(|target| target.version) else {
        let is_whole = targets.iter().all(|target| target.is_gone || is_listed(&target));
        return if is_whole { CacheVerdict::Nowhere } else { CacheVerdict::Unlisted };
    };
    if holders.any(|target| target.version != version) {
        return CacheVerdict::Ambiguous;
    }
    let others = || targets.iter().filter(|target| target.version != version);
    if others().any(|target| !target.is_gone && !is_listed(&target)) {
        return CacheVerdict::Unlisted;
    }
    let may_have_lost = has_lost_other(version) || others().any(|target| kept(target).is_none());
    let has_generated = targets
        .iter()
        .filter(|target| target.version == version)
        .any(|target| kept(target).is_some_and(|kept| kept > tokens));
    match may_have_lost && !has_generated {
        true => CacheVerdict::Departed,
        false => CacheVerdict::Cached(version),
    }
}
