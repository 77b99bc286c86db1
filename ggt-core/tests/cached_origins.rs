//! Which version began a stream that no daemon knows: what the targets' prefix caches show.

use std::cmp::Ordering;
use std::collections::BTreeSet;

use quickcheck::Arbitrary;
use quickcheck::Gen;

use ggt_core::clock::MonoTime;
use ggt_core::prompts::PrefixChain;
use ggt_core::prompts::PromptPart;
use ggt_core::versions::CacheVerdict;
use ggt_core::versions::CachedTokens;
use ggt_core::versions::LISTING_TTL_MS;
use ggt_core::versions::ListedPart;
use ggt_core::versions::ListingTable;
use ggt_core::versions::OriginTarget;
use ggt_core::versions::OtherLosses;
use ggt_core::versions::SoftwareVersion;
use ggt_core::versions::StreamPart;
use ggt_core::versions::StreamProgress;
use ggt_core::versions::judge_cached;
use ggt_core::versions::longest_decision_ms;

/// Tokens of the stream's own part.
const TOKENS: u32 = 700;
/// Tokens in a block of a prefix cache.
const BLOCK_TOKENS: u32 = 16;
/// Tokens of the whole prompt.
const PROMPT_TOKENS: u32 = 1_301;
/// Tokens in each event of a stream.
const EVENT_TOKENS: u32 = 7;
/// The last event that the caller has.
const LAST_EVENT: u32 = 14;
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

/// The own part of a stream of which the caller has the events up to this one.
fn part_after(last_event: u32) -> StreamPart {
    let progress = StreamProgress::after_event(u64::from(last_event), EVENT_TOKENS);
    StreamPart { tokens: TOKENS, prompt_tokens: PROMPT_TOKENS, progress: Some(progress) }
}

/// Tokens that a target keeps which has generated so many events after the part.
const fn kept_after(events: u32) -> u32 {
    TOKENS + events * EVENT_TOKENS
}

/// The verdict on a stream after [`LAST_EVENT`], by what targets of these versions keep.
fn judge(versions: &[usize], tokens: &[u32], losses: OtherLosses) -> CacheVerdict {
    judge_cached(&part_after(LAST_EVENT), &targets(versions), &listed(tokens), |_| losses)
}

// Guards against a stream that goes on at the only listed version though none of its targets has run it.
#[test]
fn stream_whose_part_no_target_has_is_refused() {
    let judge_known = |tokens: &[u32]| judge(&[0, 0], tokens, OtherLosses::None);
    assert_eq!(judge_known(&[0, 0]), CacheVerdict::Nowhere);
    assert_eq!(judge_known(&[TOKENS - 1, 0]), CacheVerdict::Nowhere);
    assert_eq!(judge_known(&[TOKENS, 0]), CacheVerdict::Cached(version(0)));
    assert_eq!(judge(&[], &[], OtherLosses::None), CacheVerdict::Nowhere);
}

// Guards against streams that are refused since a cache keeps whole blocks only, so not the last tokens of their prompts.
#[test]
fn part_whose_last_block_is_not_full_counts_as_kept() {
    let blocks = TOKENS - PROMPT_TOKENS % BLOCK_TOKENS;
    let judge_kept = |losses| judge(&[0, 1], &[0, blocks], losses);
    assert_eq!(judge_kept(OtherLosses::None), CacheVerdict::Cached(version(1)));
    assert_eq!(judge_kept(OtherLosses::Known), CacheVerdict::Departed);
    assert_eq!(judge(&[0, 1], &[blocks, TOKENS], OtherLosses::None), CacheVerdict::Ambiguous);
    let short = StreamPart { tokens: PROMPT_TOKENS % BLOCK_TOKENS, ..part_after(LAST_EVENT) };
    let verdict = judge_cached(&short, &targets(&[0]), &listed(&[0]), |_| OtherLosses::None);
    assert_eq!(verdict, CacheVerdict::Nowhere);
}

// Guards against a session that was at another version before: its part is cached there, too.
#[test]
fn stream_of_a_session_at_two_versions_goes_on_only_if_its_part_has_grown() {
    let judge_known = |tokens: &[u32]| judge(&[0, 1], tokens, OtherLosses::None);
    assert_eq!(judge_known(&[TOKENS, TOKENS]), CacheVerdict::Ambiguous);
    assert_eq!(judge_known(&[TOKENS - 1, TOKENS]), CacheVerdict::Cached(version(1)));
    let grown = [0, 0, kept_after(LAST_EVENT)];
    assert_eq!(judge(&[0, 1, 2], &grown, OtherLosses::None), CacheVerdict::Cached(version(2)));
}

// Guards against a target that is left out since it was not asked, or did not reply.
#[test]
fn stream_is_refused_until_all_targets_of_other_versions_are_listed() {
    let judge_first = |targets: &[OriginTarget]| {
        judge_cached(&part_after(LAST_EVENT), targets, &listed(&[TOKENS]), |_| OtherLosses::None)
    };
    assert_eq!(judge_first(&targets(&[0, 0])), CacheVerdict::Cached(version(0)));
    let mut others = targets(&[0, 1]);
    assert_eq!(judge_first(&others), CacheVerdict::Unlisted);
    others[1].is_gone = true;
    assert_eq!(judge_first(&others), CacheVerdict::Departed);
}

// Guards against a stream that goes on where an earlier answer to its prompt was generated, shorter or longer than the
// stream, once the target of another version that ran the stream has ended.
#[test]
fn earlier_answer_to_the_prompt_does_not_show_where_a_stream_ran() {
    let judge_after = |kept| judge(&[1, 1], &[0, kept], OtherLosses::Known);
    for events in [0, 1, 4, LAST_EVENT - 1, LAST_EVENT + 4, 24] {
        assert_eq!(judge_after(kept_after(events)), CacheVerdict::Departed, "{events}");
    }
    for events in [LAST_EVENT, LAST_EVENT + 1, LAST_EVENT + 2, LAST_EVENT + 3] {
        assert_eq!(judge_after(kept_after(events)), CacheVerdict::Cached(version(1)), "{events}");
    }
}

// Guards against streams that are refused although their targets are left: an earlier answer to the prompt was
// generated at another version, and its length differs.
#[test]
fn stream_goes_on_where_as_much_was_generated_although_another_version_has_its_part() {
    for earlier in [4, 24].map(kept_after) {
        for losses in [OtherLosses::None, OtherLosses::Unknown, OtherLosses::Known] {
            let verdict = judge(&[0, 0, 1], &[0, kept_after(LAST_EVENT + 1), earlier], losses);
            assert_eq!(verdict, CacheVerdict::Cached(version(0)));
        }
    }
    let same = [kept_after(LAST_EVENT), kept_after(LAST_EVENT + 1)];
    assert_eq!(judge(&[0, 1], &same, OtherLosses::None), CacheVerdict::Ambiguous);
}

// Guards against a part that a request has left which failed before its first event: a target need not keep what it
// generates, so the stream may have run where no more than its part is kept.
#[test]
fn part_without_generated_tokens_decides_only_if_no_other_target_may_have_run_the_stream() {
    let bare = |losses| judge(&[0, 1], &[0, TOKENS], losses);
    assert_eq!(bare(OtherLosses::None), CacheVerdict::Cached(version(1)));
    assert_eq!(bare(OtherLosses::Unknown), CacheVerdict::Cached(version(1)));
    assert_eq!(bare(OtherLosses::Known), CacheVerdict::Departed);
    let with_fitting = [TOKENS, kept_after(LAST_EVENT)];
    assert_eq!(judge(&[0, 1], &with_fitting, OtherLosses::None), CacheVerdict::Ambiguous);
}

// Guards against a stream that goes on where an earlier answer was generated, while it is not known whether a target of
// another version has ended; and against streams that are refused then since their targets ran on after the loss of the
// daemons.
#[test]
fn shorter_answer_does_not_decide_while_the_history_is_not_known() {
    let judge_kept = |events, losses| judge(&[1, 1], &[0, kept_after(events)], losses);
    for events in [1, 4, LAST_EVENT - 1] {
        assert_eq!(judge_kept(events, OtherLosses::Unknown), CacheVerdict::Departed);
        assert_eq!(judge_kept(events, OtherLosses::None), CacheVerdict::Cached(version(1)));
    }
    for events in [LAST_EVENT, 24] {
        assert_eq!(judge_kept(events, OtherLosses::Unknown), CacheVerdict::Cached(version(1)));
    }
}

// Guards against a part that a failed request has left, which decides after the end of a target of unknown version; and
// against streams of targets that ran on, which are refused whenever a target has crashed lately.
#[test]
fn more_than_the_stream_had_decides_only_if_no_target_of_another_version_is_known_to_have_ended() {
    let judge_kept = |kept, losses| judge(&[0, 1], &[0, kept], losses);
    let longer = kept_after(24);
    assert_eq!(judge_kept(longer, OtherLosses::Unversioned), CacheVerdict::Cached(version(1)));
    assert_eq!(judge_kept(longer, OtherLosses::Known), CacheVerdict::Departed);
    for kept in [TOKENS, kept_after(LAST_EVENT - 1)] {
        assert_eq!(judge_kept(kept, OtherLosses::Unversioned), CacheVerdict::Departed);
    }
    let fitting = kept_after(LAST_EVENT);
    assert_eq!(judge_kept(fitting, OtherLosses::Unversioned), CacheVerdict::Cached(version(1)));
}

// Guards against a stream that goes on before it can be known that a target of another version has ended.
#[test]
fn stream_waits_for_the_history_unless_its_progress_shows_where_it_ran() {
    let judge_kept = |kept| judge(&[0, 1], &[0, kept], OtherLosses::Unread);
    for kept in [TOKENS, kept_after(24)] {
        assert_eq!(judge_kept(kept), CacheVerdict::Unread);
    }
    assert_eq!(judge_kept(kept_after(LAST_EVENT - 1)), CacheVerdict::Departed);
    assert_eq!(judge_kept(kept_after(LAST_EVENT)), CacheVerdict::Cached(version(1)));
}

// Guards against a service whose events are of unknown size: nothing shows then that a part was kept for this stream.
#[test]
fn stream_of_unknown_progress_is_refused_after_the_end_of_a_target_of_another_version() {
    let part = StreamPart { progress: None, ..part_after(LAST_EVENT) };
    let judge_kept = |losses| {
        judge_cached(&part, &targets(&[0, 1]), &listed(&[0, kept_after(LAST_EVENT)]), |_| losses)
    };
    assert_eq!(judge_kept(OtherLosses::Known), CacheVerdict::Departed);
    assert_eq!(judge_kept(OtherLosses::Unknown), CacheVerdict::Cached(version(1)));
    assert_eq!(judge_kept(OtherLosses::None), CacheVerdict::Cached(version(1)));
}

/// What targets keep of what they generate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DrawnCache {
    /// Nothing.
    Prompts,
    /// All, as it is generated.
    Generated,
}

/// What is known of targets that have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DrawnMemory {
    /// Their versions.
    Versions,
    /// That some have.
    Ends,
    /// Nothing.
    Nothing,
}

/// What is drawn.
#[derive(Clone, Copy, Debug)]
struct DrawnOptions {
    cache: DrawnCache,
    memory: DrawnMemory,
    /// Whether some targets are not listed.
    lacks_lists: bool,
    /// Whether requests fail before their first event after a stream has begun, too.
    fails_late: bool,
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
    /// The request that it ran last, if it has run any.
    last_run: Option<usize>,
}

/// A session that goes from target to target, while targets end and start.
///
/// A request after a reply includes it, so it states more tokens than any target keeps; or it repeats the one before.
/// Its stream ends as a whole, is broken off by its caller, or fails before its first event. The last stream that has
/// begun is taken up.
#[derive(Clone, Debug)]
struct DrawnHistory {
    options: DrawnOptions,
    targets: Vec<DrawnTarget>,
    /// Versions of the targets that have ended.
    departed: BTreeSet<usize>,
    /// Tokens of the part in the last request.
    tokens: u32,
    /// Number of requests.
    requests: usize,
    /// The last request whose stream has begun: its number and target, and the last event that its caller has.
    origin: Option<(usize, usize, u32)>,
}

impl DrawnHistory {
    fn new(versions: [usize; 6], options: DrawnOptions) -> Self {
        let target = |version| DrawnTarget {
            version,
            has_ended: false,
            is_listed: true,
            kept: 0,
            last_run: None,
        };
        Self {
            options,
            targets: versions.map(target).to_vec(),
            departed: BTreeSet::new(),
            tokens: TOKENS,
            requests: 0,
            origin: None,
        }
    }

    fn play(&mut self, step: u32) {
        let number = (step / 16) as usize % self.targets.len();
        let amount = 1 + step / 1_024 % 50;
        if self.targets[number].has_ended {
            return;
        }
        match step % 16 {
            // A request that fails before its first event.
            0 | 1 if self.options.fails_late || self.origin.is_none() => self.run(number, 0),
            0 | 1 => {}
            // A request whose stream begins, and that repeats the one before or includes its reply.
            2..=5 => self.begin(number, amount, step >> 16 & 3),
            6..=9 => {
                let most = self.targets.iter().map(|target| target.kept).max().unwrap_or(0);
                self.tokens = self.tokens.max(most) + amount;
                self.begin(number, amount, step >> 16 & 3);
            }
            10 | 11 => self.end(number, step.is_multiple_of(2)),
            // It starts anew, perhaps with another version.
            12 | 13 => {
                let version = (self.targets[number].version + amount as usize % 2) % 3;
                self.end(number, false);
                self.targets.push(DrawnTarget {
                    version,
                    has_ended: false,
                    is_listed: true,
                    kept: 0,
                    last_run: None,
                });
            }
            // The part is evicted, unless it is the last that was used.
            _ if self.origin.is_none_or(|(_, origin, _)| origin != number) => {
                self.targets[number].kept = 0;
            }
            _ => {}
        }
    }

    /// Runs a request whose caller gets this many events, of which the target has generated some more.
    fn begin(&mut self, number: usize, events: u32, unseen: u32) {
        self.run(number, events + unseen);
        self.origin = Some((self.requests, number, events));
    }

    fn run(&mut self, number: usize, events: u32) {
        self.requests += 1;
        let generated = match self.options.cache {
            DrawnCache::Prompts => 0,
            DrawnCache::Generated => events * EVENT_TOKENS,
        };
        let target = &mut self.targets[number];
        target.kept = self.tokens + generated;
        target.last_run = Some(self.requests);
    }

    fn end(&mut self, number: usize, is_listed: bool) {
        let target = &mut self.targets[number];
        *target = DrawnTarget { has_ended: true, kept: 0, is_listed, ..*target };
        self.departed.insert(target.version);
    }

    fn part(&self, last_event: u32) -> StreamPart {
        let prompt_tokens = PROMPT_TOKENS - TOKENS + self.tokens;
        StreamPart { tokens: self.tokens, prompt_tokens, ..part_after(last_event) }
    }

    /// The verdict on the last stream; the bits of `lists` say which targets are listed.
    fn judge(&self, lists: u32) -> CacheVerdict {
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
        let has_lost = |found| self.departed.iter().any(|lost| version(*lost) != found);
        let other_losses = |found| match self.options.memory {
            DrawnMemory::Nothing => OtherLosses::Unknown,
            DrawnMemory::Ends if !self.departed.is_empty() => OtherLosses::Unversioned,
            DrawnMemory::Versions if has_lost(found) => OtherLosses::Known,
            DrawnMemory::Ends | DrawnMemory::Versions => OtherLosses::None,
        };
        let (_, _, last_event) = self.origin.expect("a stream");
        judge_cached(&self.part(last_event), &targets, &listed, other_losses)
    }

    /// Whether a target that did not run the stream keeps what the stream would have left, of an earlier or later
    /// request: nothing tells the two apart.
    fn has_lookalike(&self) -> bool {
        let memory = self.options.memory;
        let is_forgotten = memory == DrawnMemory::Nothing;
        let (run, _, last_event) = self.origin.expect("a stream");
        let Some(progress) = self.part(last_event).progress else { return false };
        let is_alike = |kept: u32| match kept.checked_sub(self.tokens) {
            None => {
                let prompt_tokens = self.part(last_event).prompt_tokens;
                is_forgotten && self.tokens - kept == prompt_tokens % BLOCK_TOKENS
            }
            Some(0) => is_forgotten,
            Some(generated) => match progress.compare(generated) {
                Ordering::Equal => true,
                Ordering::Greater => memory != DrawnMemory::Versions,
                Ordering::Less => false,
            },
        };
        let others = self.targets.iter().filter(|target| target.last_run != Some(run));
        others.filter(|target| !target.has_ended).any(|target| is_alike(target.kept))
    }
}

/// Seed of the drawn histories.
const SEED: u64 = 20_261_207;
const CASES: usize = 20_000;
const MAX_STEPS: usize = 24;

/// What became of drawn streams.
#[derive(Clone, Copy, Debug, Default)]
struct DrawnCounts {
    streams: usize,
    /// Those whose target is left.
    left: usize,
    went_on: usize,
    /// Those that went on at another version, while a target kept what they would have left.
    joined_by_lookalikes: usize,
}

/// Plays drawn histories; no stream may go on at another version unless a target of another request looks as if it had
/// run it.
fn play_all(options: DrawnOptions) -> DrawnCounts {
    let mut generator = Gen::from_size_and_seed(MAX_STEPS, SEED);
    let mut counts = DrawnCounts::default();
    for _ in 0..CASES {
        let mut history = DrawnHistory::new([0, 0, 0, 1, 1, 2], options);
        let steps = Vec::<u32>::arbitrary(&mut generator);
        let lists = u32::arbitrary(&mut generator);
        steps.iter().for_each(|step| history.play(*step));
        let Some((run, origin, _)) = history.origin else { continue };
        let verdict = history.judge(if options.lacks_lists { lists } else { 0xaaaa_aaaa });
        let is_wrong = matches!(verdict, CacheVerdict::Cached(found)
            if found != version(history.targets[origin].version));
        assert!(!is_wrong || history.has_lookalike(), "{history:?} {verdict:?}");
        counts.streams += 1;
        counts.joined_by_lookalikes += usize::from(is_wrong);
        counts.went_on += usize::from(!is_wrong && matches!(verdict, CacheVerdict::Cached(_)));
        let target = &history.targets[origin];
        counts.left += usize::from(!target.has_ended && target.last_run == Some(run));
    }
    println!("{options:?}: {counts:?}");
    counts
}

// Guards against a stream that goes on at another version than the one that began it, whatever the targets keep, which
// of them ended and which were listed.
#[test]
fn no_stream_of_a_drawn_history_goes_on_at_another_version() {
    for cache in [DrawnCache::Prompts, DrawnCache::Generated] {
        let options = DrawnOptions {
            cache,
            memory: DrawnMemory::Versions,
            lacks_lists: true,
            fails_late: true,
        };
        let counts = play_all(options);
        assert!(counts.streams > CASES / 2, "{counts:?}");
        // Another request to the same prompt generated as much, and the stream's own target has ended.
        assert!(100 * counts.joined_by_lookalikes < counts.streams, "{counts:?}");
        for memory in [DrawnMemory::Ends, DrawnMemory::Nothing] {
            play_all(DrawnOptions { memory, ..options });
        }
    }
}

// Guards against histories of which nearly all streams are refused, so that the check above shows nothing.
#[test]
fn most_streams_whose_target_is_left_go_on_if_all_targets_are_listed() {
    let cache = DrawnCache::Generated;
    let options = DrawnOptions {
        cache,
        memory: DrawnMemory::Versions,
        lacks_lists: false,
        fails_late: false,
    };
    let counts = play_all(options);
    assert!(counts.left > CASES / 4, "{counts:?}");
    assert!(10 * counts.went_on > 9 * counts.left, "{counts:?}");
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
