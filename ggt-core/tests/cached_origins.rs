//! Which version began a stream that no daemon knows: what the targets' prefix caches show.

use std::collections::BTreeSet;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use ggt_core::clock::MonoTime;
use ggt_core::prompts::PrefixChain;
use ggt_core::prompts::PromptPart;
use ggt_core::versions::CacheVerdict;
use ggt_core::versions::CachedTokens;
use ggt_core::versions::LISTING_TTL_MS;
use ggt_core::versions::ListedPart;
use ggt_core::versions::ListingTable;
use ggt_core::versions::OriginTarget;
use ggt_core::versions::SoftwareVersion;
use ggt_core::versions::judge_cached;
use ggt_core::versions::longest_decision_ms;

/// Tokens of the stream's own part.
const TOKENS: u32 = 700;
/// Milliseconds for which a caller waits for an answer to a stream that it takes up.
const MAX_DECISION_MS: u64 = 1_000;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(50_000 + millis)
}

fn version(number: usize) -> SoftwareVersion {
    SoftwareVersion::named(["v1", "v2", "v3"][number])
}

/// Targets with these versions, by their numbers.
fn targets(versions: &[usize]) -> Vec<OriginTarget> {
    let target = |(number, v): (usize, &usize)| OriginTarget {
        hash: number as u32,
        version: version(*v),
        is_gone: false,
    };
    versions.iter().enumerate().map(target).collect()
}

/// Lists of the targets with these numbers of tokens.
fn listed(tokens: &[u32]) -> Vec<ListedPart> {
    let part = |(number, tokens): (usize, &u32)| ListedPart {
        target: number as u32,
        tokens: Some(*tokens),
    };
    tokens.iter().enumerate().map(part).collect()
}

fn judge(versions: &[usize], tokens: &[u32]) -> CacheVerdict {
    judge_cached(TOKENS, &targets(versions), &listed(tokens), |_| false)
}

// Guards against a stream that goes on at the only listed version though none of its targets has run it.
#[test]
fn stream_whose_part_no_target_has_is_refused() {
    assert_eq!(judge(&[0, 0], &[0, 0]), CacheVerdict::Nowhere);
    assert_eq!(judge(&[0, 0], &[TOKENS - 1, 0]), CacheVerdict::Nowhere);
    assert_eq!(judge(&[0, 0], &[TOKENS, 0]), CacheVerdict::Cached(version(0)));
    assert_eq!(judge(&[], &[]), CacheVerdict::Nowhere);
}

// Guards against a session that was at another version before: its part is cached there, too.
#[test]
fn stream_of_a_session_at_two_versions_goes_on_only_if_its_part_has_grown() {
    assert_eq!(judge(&[0, 1], &[TOKENS, TOKENS]), CacheVerdict::Ambiguous);
    assert_eq!(judge(&[0, 1], &[TOKENS - 1, TOKENS]), CacheVerdict::Cached(version(1)));
    assert_eq!(judge(&[0, 1, 2], &[0, 0, TOKENS + 9]), CacheVerdict::Cached(version(2)));
}

// Guards against a target that is left out since it was not asked, or did not reply.
#[test]
fn stream_is_refused_until_all_targets_of_other_versions_are_listed() {
    let judge_first =
        |targets: &[OriginTarget]| judge_cached(TOKENS, targets, &listed(&[TOKENS]), |_| false);
    assert_eq!(judge_first(&targets(&[0, 0])), CacheVerdict::Cached(version(0)));
    let mut others = targets(&[0, 1]);
    assert_eq!(judge_first(&others), CacheVerdict::Unlisted);
    others[1].is_gone = true;
    assert_eq!(judge_first(&others), CacheVerdict::Departed);
}

// Guards against a part from before that is taken for the stream's, once the target that ran it has ended: only
// what was generated after the part shows that its stream ran there.
#[test]
fn stream_goes_on_after_the_end_of_other_targets_only_where_it_has_generated() {
    let judge_after = |tokens, departed: usize| {
        let has_lost_other = |version_found| version_found != version(departed);
        judge_cached(TOKENS, &targets(&[0, 1]), &listed(&[0, tokens]), has_lost_other)
    };
    assert_eq!(judge_after(TOKENS, 0), CacheVerdict::Departed);
    assert_eq!(judge_after(TOKENS + 1, 0), CacheVerdict::Cached(version(1)));
    assert_eq!(judge_after(TOKENS, 1), CacheVerdict::Cached(version(1)));
}

/// A target in a drawn history.
#[derive(Clone, Copy, Debug)]
struct DrawnTarget {
    version: usize,
    has_ended: bool,
    /// Whether the platform still lists it.
    is_listed: bool,
    /// Tokens that it keeps of the session's part and what it has generated after it.
    kept: u32,
}

/// A session that goes from target to target, while targets end and start.
///
/// A request after a reply includes it, so it states more tokens than any target keeps. One that is repeated, since no
/// event of it has arrived, states as many as before.
#[derive(Clone, Debug)]
struct DrawnHistory {
    targets: Vec<DrawnTarget>,
    /// Versions of the targets that have ended.
    departed: BTreeSet<usize>,
    /// Tokens of the part in the last request.
    tokens: u32,
    /// The target that began the last stream.
    origin: Option<usize>,
    /// Whether the last request states as many tokens as one before.
    is_repeated: bool,
}

impl DrawnHistory {
    fn new(versions: [usize; 6]) -> Self {
        let target = |version| DrawnTarget { version, has_ended: false, is_listed: true, kept: 0 };
        Self {
            targets: versions.map(target).to_vec(),
            departed: BTreeSet::new(),
            tokens: TOKENS,
            origin: None,
            is_repeated: false,
        }
    }

    fn play(&mut self, step: u32) {
        let number = (step / 16) as usize % self.targets.len();
        let amount = 1 + step / 1_024 % 50;
        if self.targets[number].has_ended {
            return;
        }
        match step % 16 {
            // A request that fails after its prompt was read, and is repeated.
            0..=3 if self.origin.is_none() => {
                let kept = self.tokens - amount % 2 * amount;
                self.targets[number].kept = self.targets[number].kept.max(kept);
                self.is_repeated = true;
            }
            // A request whose stream begins.
            0..=9 => {
                if self.origin.is_some() {
                    let most = self.targets.iter().map(|target| target.kept).max();
                    self.tokens = self.tokens.max(most.unwrap_or(0)) + amount;
                    self.is_repeated = false;
                }
                self.targets[number].kept = self.tokens + amount;
                self.origin = Some(number);
            }
            10 | 11 => self.end(number, step.is_multiple_of(2)),
            // It starts anew, perhaps with another version.
            12 | 13 => {
                let version = (self.targets[number].version + amount as usize % 2) % 3;
                self.end(number, false);
                let started = DrawnTarget { version, has_ended: false, is_listed: true, kept: 0 };
                self.targets.push(started);
            }
            // The part is evicted, unless it is the last that was used.
            _ if self.origin != Some(number) => self.targets[number].kept = 0,
            _ => {}
        }
    }

    fn end(&mut self, number: usize, is_listed: bool) {
        let target = &mut self.targets[number];
        *target = DrawnTarget { has_ended: true, kept: 0, is_listed, ..*target };
        self.departed.insert(target.version);
    }

    /// The verdict on the last stream; the bits of `lists` say which targets are listed, `is_forgotten` whether the
    /// history of those that have ended is lost.
    fn judge(&self, lists: u32, is_forgotten: bool) -> CacheVerdict {
        let numbered = || self.targets.iter().enumerate().filter(|(_, target)| target.is_listed);
        let targets: Vec<_> = numbered()
            .map(|(number, target)| OriginTarget {
                hash: number as u32,
                version: version(target.version),
                is_gone: target.has_ended,
            })
            .collect();
        let listed = numbered().filter_map(|(number, target)| match lists >> (2 * number) & 3 {
            0 => None,
            1 if number % 3 == 0 => Some(ListedPart { target: number as u32, tokens: None }),
            _ if target.has_ended => None,
            _ => Some(ListedPart { target: number as u32, tokens: Some(target.kept) }),
        });
        let listed: Vec<_> = listed.collect();
        let has_lost_other = |found| {
            !is_forgotten && self.departed.iter().any(|departed| version(*departed) != found)
        };
        judge_cached(self.tokens, &targets, &listed, has_lost_other)
    }
}

/// Seed of the drawn histories.
const SEED: u64 = 20_261_207;
const CASES: u64 = 20_000;
const MAX_STEPS: usize = 24;

fn play(steps: &[u32]) -> DrawnHistory {
    let mut history = DrawnHistory::new([0, 0, 0, 1, 1, 2]);
    steps.iter().for_each(|step| history.play(*step));
    history
}

// Guards against a stream that goes on at another version than the one that began it, whatever the targets hold,
// which of them ended and which were listed.
#[test]
fn no_stream_of_a_drawn_history_goes_on_at_another_version() {
    fn property(steps: Vec<u32>, lists: u32, is_forgotten: bool) -> bool {
        let history = play(&steps);
        let Some(origin) = history.origin else { return true };
        // A part that was sent twice, and is left where it did not run, is not told from the stream's own.
        if is_forgotten && history.is_repeated {
            return true;
        }
        match history.judge(lists, is_forgotten) {
            CacheVerdict::Cached(found) => found == version(history.targets[origin].version),
            _ => true,
        }
    }
    let generator = Gen::from_size_and_seed(MAX_STEPS, SEED);
    let mut check = QuickCheck::new().rng(generator).tests(CASES).max_tests(CASES);
    check.quickcheck(property as fn(Vec<u32>, u32, bool) -> bool);
}

// Guards against histories of which nearly all streams are refused, so that the check above shows nothing.
#[test]
fn most_streams_whose_target_is_left_go_on_if_all_targets_are_listed() {
    let mut generator = Gen::from_size_and_seed(MAX_STEPS, SEED);
    let (mut left, mut went_on) = (0, 0);
    for _ in 0..2_000 {
        let history = play(&Vec::<u32>::arbitrary(&mut generator));
        let Some(origin) = history.origin.filter(|origin| !history.targets[*origin].has_ended)
        else {
            continue;
        };
        left += 1;
        let expected = CacheVerdict::Cached(version(history.targets[origin].version));
        went_on += usize::from(history.judge(0xaaaa_aaaa, false) == expected);
    }
    assert!(left > 500 && 10 * went_on > 9 * left, "{went_on} of {left}");
}

// Guards against a list that is taken for a current one although a stream may have begun since.
#[test]
fn list_counts_for_a_short_time_and_is_requested_once() {
    let mut table = ListingTable::default();
    assert!(table.begin(1, at(0)) && !table.begin(1, at(500)) && table.is_requested(1));
    assert_eq!(table.part(1, 7, at(500)), None);
    let parts = [CachedTokens { prefix: 7, tokens: 5 }, CachedTokens { prefix: 7, tokens: 9 }];
    table.record(1, &parts, at(0));
    let last = LISTING_TTL_MS - 1;
    assert!(!table.begin(1, at(last)) && !table.is_requested(1));
    assert_eq!(table.part(1, 7, at(last)), Some(ListedPart { target: 1, tokens: Some(9) }));
    assert_eq!(table.part(1, 8, at(last)), Some(ListedPart { target: 1, tokens: Some(0) }));
    assert_eq!(table.part(1, 7, at(LISTING_TTL_MS)), None);
    assert!(table.begin(1, at(LISTING_TTL_MS)));
    table.record_failure(1, at(2_000));
    assert_eq!(table.part(1, 7, at(2_500)), Some(ListedPart { target: 1, tokens: None }));
    table.expire(at(2_000 + LISTING_TTL_MS));
    assert!(table.begin(1, at(2_000 + LISTING_TTL_MS)));
}

// Guards against a part that other requests share, which shows nothing of one request.
#[test]
fn only_the_last_of_several_parts_is_a_requests_own() {
    let parts = [(1, 600), (2, TOKENS)].map(|(hash, tokens)| PromptPart { hash, tokens });
    let own = PrefixChain::new("m", &parts).own_part().expect("an own part");
    assert_eq!((own, own.tokens), (PrefixChain::new("m", &parts).prefixes()[1], TOKENS));
    assert_eq!(PrefixChain::new("m", &parts[..1]).own_part(), None);
    assert_eq!(PrefixChain::default().own_part(), None);
}

#[test]
fn stream_that_no_daemon_knows_is_decided_within_a_second() {
    assert!(longest_decision_ms() < MAX_DECISION_MS);
}
