//! Which version began a stream that no daemon knows, by where the prompt part of its own is cached.
//!
//! The last part of a prompt belongs to the request or its session, so it is cached where the stream ran, and where
//! the session ran before. A target keeps it with what it has generated after it.

use std::cmp::Ordering;
use std::collections::BTreeSet;

use crate::versions::ListedPart;
use crate::versions::SoftwareVersion;
use crate::versions::StreamProgress;

/// Usual number of tokens in a block of a prefix cache, which may keep whole blocks of a prompt only.
const BLOCK_TOKENS: u32 = 16;

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

/// The prompt part of a stream's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamPart {
    /// Tokens of the part, as the request states them.
    pub tokens: u32,
    /// Tokens of the whole prompt, which ends with the part.
    pub prompt_tokens: u32,
    /// How much the stream had generated after it; `None` if that is not known.
    pub progress: Option<StreamProgress>,
}

/// What is known of targets of other versions that have ended within the life of a stream, with what they had cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OtherLosses {
    /// There are none.
    None,
    /// There may be some: what is known does not reach back that far.
    Unknown,
    /// There may be some, which the store's history may name, and it has not been read yet.
    Unread,
    /// A target has ended whose version is not known.
    Unversioned,
    /// There is one.
    Known,
}

/// What the lists of the targets' caches show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheVerdict {
    /// This version began the stream.
    Cached(SoftwareVersion),
    /// The prompt has no part of its own.
    NoPart,
    /// A target that may have the part has not been listed.
    Unlisted,
    /// Targets of one version have the part, and the store's history has not been read yet.
    Unread,
    /// Targets of several versions may have run the stream.
    Ambiguous,
    /// No target has the part.
    Nowhere,
    /// Targets of one version have the part, perhaps from another request: a target of another version has ended, or may
    /// have, which may have had it, too.
    Departed,
}

impl CacheVerdict {
    /// The verdict as written in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Cached(_) => "cached",
            Self::NoPart => "no-part",
            Self::Unlisted => "unlisted",
            Self::Unread => "unread",
            Self::Ambiguous => "ambiguous",
            Self::Nowhere => "nowhere",
            Self::Departed => "departed",
        }
    }
}

/// What a target that has the part keeps after it, against what the stream had generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeptPart {
    /// Nothing, or it is not known how much the stream had generated. The stream may have run there, since a target need
    /// not keep what it generates.
    Open,
    /// Less than the stream had generated, so it is from another request.
    Shorter,
    /// As much as the stream had generated: it ran there, or another request generated just as much.
    Fitting,
    /// More than the stream had generated: it is from another request, or the target has not noticed that the stream's
    /// connection had ended.
    Longer,
}

impl KeptPart {
    const ALL: [Self; 4] = [Self::Open, Self::Shorter, Self::Fitting, Self::Longer];

    /// What shows that a stream ran where it is kept, given what is known of targets of other versions that have ended.
    ///
    /// The more likely there is one that may have run it, the more has to speak for a target that is left.
    const fn sufficient(losses: OtherLosses) -> &'static [Self] {
        match losses {
            OtherLosses::None => &Self::ALL,
            OtherLosses::Unknown => &[Self::Open, Self::Fitting, Self::Longer],
            OtherLosses::Unversioned => &[Self::Fitting, Self::Longer],
            OtherLosses::Unread | OtherLosses::Known => &[Self::Fitting],
        }
    }
}

impl StreamPart {
    /// What keeping this many tokens shows; `None` if they are not the whole part, or as much of it as fills blocks.
    fn kept(&self, tokens: u32) -> Option<KeptPart> {
        if tokens == 0 {
            return None;
        }
        let Some(generated) = tokens.checked_sub(self.tokens) else {
            let is_whole = self.tokens - tokens == self.prompt_tokens % BLOCK_TOKENS;
            return is_whole.then_some(KeptPart::Open);
        };
        let Some(progress) = self.progress.filter(|_| generated > 0) else {
            return Some(KeptPart::Open);
        };
        Some(match progress.compare(generated) {
            Ordering::Less => KeptPart::Shorter,
            Ordering::Equal => KeptPart::Fitting,
            Ordering::Greater => KeptPart::Longer,
        })
    }
}

/// What the lists say about one part.
#[derive(Clone, Copy, Debug)]
struct PartView<'a> {
    part: &'a StreamPart,
    targets: &'a [OriginTarget],
    listed: &'a [ListedPart],
}

impl PartView<'_> {
    /// The tokens that a target keeps of the part and after it; `None` if it gave no list.
    fn tokens(&self, target: &OriginTarget) -> Option<u32> {
        let parts = self.listed.iter().filter(|part| part.target == target.hash);
        parts.filter_map(|part| part.tokens).max()
    }

    /// Whether a target may still be listed.
    fn is_pending(&self, target: &OriginTarget) -> bool {
        !target.is_gone && !self.listed.iter().any(|part| part.target == target.hash)
    }

    /// The versions of the targets that keep the part in one of these ways.
    fn versions(&self, wanted: &[KeptPart]) -> BTreeSet<SoftwareVersion> {
        let is_wanted = |target: &&OriginTarget| {
            let kept = self.tokens(target).and_then(|tokens| self.part.kept(tokens));
            kept.is_some_and(|kept| wanted.contains(&kept))
        };
        self.targets.iter().filter(is_wanted).map(|target| target.version).collect()
    }
}

/// Judges which version began the stream with this part of its own, by what the lists of the service's targets say
/// about the part.
///
/// An earlier request of the same session leaves fewer tokens than this one states. If the same prompt was sent before,
/// the part may be at several versions, or only at the wrong one, once the target that ran the stream has ended. Then
/// only a target that keeps as much as the stream had generated shows where it ran. `other_losses` says what is known
/// of targets of other versions than its argument that have ended.
pub fn judge_cached<L>(
    part: &StreamPart,
    targets: &[OriginTarget],
    listed: &[ListedPart],
    other_losses: L,
) -> CacheVerdict
where
    L: Fn(SoftwareVersion) -> OtherLosses,
{
    let view = PartView { part, targets, listed };
    let is_fitting = !view.versions(&[KeptPart::Fitting]).is_empty();
    let mut holders = match is_fitting {
        true => view.versions(&[KeptPart::Fitting, KeptPart::Open]),
        false => view.versions(&KeptPart::ALL),
    };
    let Some(version) = holders.pop_first() else {
        return match targets.iter().any(|target| view.is_pending(target)) {
            true => CacheVerdict::Unlisted,
            false => CacheVerdict::Nowhere,
        };
    };
    if !holders.is_empty() {
        return CacheVerdict::Ambiguous;
    }
    let others = || targets.iter().filter(|target| target.version != version);
    if others().any(|target| view.is_pending(target)) {
        return CacheVerdict::Unlisted;
    }
    let losses = match others().any(|target| view.tokens(target).is_none()) {
        true => OtherLosses::Known,
        false => other_losses(version),
    };
    let has_any = |kinds: &[KeptPart]| !view.versions(kinds).is_empty();
    match losses {
        _ if has_any(KeptPart::sufficient(losses)) => CacheVerdict::Cached(version),
        OtherLosses::Unread if has_any(KeptPart::sufficient(OtherLosses::Unknown)) => {
            CacheVerdict::Unread
        }
        _ => CacheVerdict::Departed,
    }
}
