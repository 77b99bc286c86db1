//! Which version began a stream that no daemon knows: what the targets' prefix caches show.

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
