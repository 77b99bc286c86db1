//! Encoding of datagrams, calls, hints and load headers: round trips, rejection of unauthenticated
//! input, and no panic on any input.

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

use ggt_core::clock::WallTime;
use ggt_core::crashes::CrashId;
use ggt_core::crashes::SuspectKey;
use ggt_core::fleet::EndReport;
use ggt_core::fleet::FragilityReport;
use ggt_core::fleet::PeerDigest;
use ggt_core::fleet::PeerReach;
use ggt_core::fleet::RateReport;
use ggt_core::fleet::StatedLoadReport;
use ggt_core::fleet::WorkTimeReport;
use ggt_core::ident::CustomerName;
use ggt_core::ident::DaemonName;
use ggt_core::limits::DemandReport;
use ggt_core::membership::DatagramHeader;
use ggt_core::membership::GossipItem;
use ggt_core::membership::PeerMessage;
use ggt_core::routing::LoadReport;
use ggt_core::targets::StatedStart;
use ggt_core::versions::ListedPart;
use ggt_core::versions::OriginReply;
use ggt_core::versions::ServiceKey;
use ggt_core::versions::SoftwareVersion;
use ggt_core::versions::StreamKey;
use ggt_core::versions::StreamOrigin;
use ggt_wire::auth::FleetKeys;
use ggt_wire::datagram::DatagramError;
use ggt_wire::datagram::decode_datagram;
use ggt_wire::datagram::encode_datagram;
use ggt_wire::digest::decode_digest;
use ggt_wire::digest::encode_digest;
use ggt_wire::forward::ForwardedReply;
use ggt_wire::forward::ForwardedRequest;
use ggt_wire::forward::ForwardedRoute;
use ggt_wire::forward::decode_reply;
use ggt_wire::forward::decode_request;
use ggt_wire::forward::encode_reply;
use ggt_wire::forward::encode_request;
use ggt_wire::headers::format_load;
use ggt_wire::headers::parse_load;
use ggt_wire::hint::ChatHint;
use ggt_wire::hint::HintVerdict;
use ggt_wire::hint::decode_hint;
use ggt_wire::hint::encode_hint;
use ggt_wire::lifetimes::DoubtedTarget;
use ggt_wire::lifetimes::LifetimeAnswer;
use ggt_wire::lifetimes::LifetimeQuestion;
use ggt_wire::lifetimes::TargetStart;
use ggt_wire::lifetimes::decode_lifetime_answer;
use ggt_wire::lifetimes::decode_lifetime_question;
use ggt_wire::lifetimes::encode_lifetime_answer;
use ggt_wire::lifetimes::encode_lifetime_question;
use ggt_wire::marked::DatagramKind;
use ggt_wire::marked::datagram_kind;
use ggt_wire::origins::CacheAnswer;
use ggt_wire::origins::CacheQuestion;
use ggt_wire::origins::OriginAnswer;
use ggt_wire::origins::OriginQuestion;
use ggt_wire::origins::decode_answer;
use ggt_wire::origins::decode_cache_answer;
use ggt_wire::origins::decode_cache_question;
use ggt_wire::origins::decode_origins;
use ggt_wire::origins::decode_question;
use ggt_wire::origins::encode_answer;
use ggt_wire::origins::encode_cache_answer;
use ggt_wire::origins::encode_cache_question;
use ggt_wire::origins::encode_origins;
use ggt_wire::origins::encode_question;
use ggt_wire::rpc::CallError;
use ggt_wire::rpc::sign_call;
use ggt_wire::rpc::sign_reply;
use ggt_wire::rpc::verify_call;
use ggt_wire::rpc::verify_reply;

fn check<T>(property: T)
where
    T: Testable,
{
    QuickCheck::new().rng(Gen::from_size_and_seed(200, 5)).tests(3_000).quickcheck(property);
}

fn keys() -> FleetKeys {
    FleetKeys::new(["the fleet's first key", "the fleet's second key"])
}

fn header() -> DatagramHeader {
    DatagramHeader { from: "d1".into(), incarnation: 7, number: 1, revision: 3 }
}

fn items() -> Vec<GossipItem> {
    let report = LoadReport { started_total: 90, finished_total: 40 };
    vec![
        GossipItem::Leaving { target: 4, incarnation: 2 },
        GossipItem::Load { target: 4, incarnation: 2, report, is_down: false },
    ]
}

fn datagram(keys: &FleetKeys) -> Vec<u8> {
    let message = PeerMessage::Ping { round: 9 };
    encode_datagram(keys, &header(), 5, &message, &items()).expect("the datagram is small enough")
}

#[test]
fn datagrams_round_trip() {
    let decoded =
        decode_datagram(&keys(), &datagram(&keys())).expect("an unchanged datagram decodes");
    assert_eq!(decoded.header, header());
    assert_eq!(decoded.hosts_version, 5);
    assert_eq!(decoded.message, Some(PeerMessage::Ping { round: 9 }));
    assert_eq!(decoded.items, items());
    assert_eq!(decoded.skipped, 0);
}

#[test]
fn datagrams_verify_during_key_rotation() {
    let old = FleetKeys::new(["the old key of the fleet"]);
    let both = FleetKeys::new(["the new key of the fleet", "the old key of the fleet"]);
    let new = FleetKeys::new(["the new key of the fleet"]);
    assert!(decode_datagram(&both, &datagram(&old)).is_ok());
    assert!(decode_datagram(&new, &datagram(&both)).is_ok());
    assert_eq!(decode_datagram(&new, &datagram(&old)), Err(DatagramError::Unauthenticated));
}

#[test]
fn datagrams_with_a_flipped_bit_are_rejected() {
    fn property(at: usize, bit: u8) -> bool {
        let mut bytes = datagram(&keys());
        let at = at % bytes.len();
        bytes[at] ^= 1 << (bit % 8);
        decode_datagram(&keys(), &bytes).is_err()
    }
    check(property as fn(usize, u8) -> bool);
}

#[test]
fn decoders_do_not_panic_on_any_input() {
    fn property(bytes: Vec<u8>, text: String) -> bool {
        let _ = decode_datagram(&keys(), &bytes);
        // Also with a valid tag, as from a daemon of another version.
        let mut signed = bytes.clone();
        signed.extend(keys().sign("datagram", &[&bytes]));
        let _ = decode_datagram(&keys(), &signed);
        let _ = decode_hint(&keys(), &CustomerName::from("c"), &text);
        let _ = parse_load(&text);
        true
    }
    check(property as fn(Vec<u8>, String) -> bool);
}

#[test]
fn unknown_items_are_skipped_and_counted() {
    // An item of an unsupported kind before one of a supported kind.
    let known = postcard::to_stdvec(&items()[0]).expect("the item serializes");
    let unknown: &[u8] = &[99, 1, 2, 3];
    let message = postcard::to_stdvec(&PeerMessage::Ping { round: 1 }).expect("it serializes");
    let list: Vec<&[u8]> = vec![unknown, &known];
    let body = (1_u8, header(), 5_u64, message.as_slice(), list);
    let mut bytes = postcard::to_stdvec(&body).expect("the body serializes");
    let tag = keys().sign("datagram", &[&bytes]);
    bytes.extend(tag);
    let decoded = decode_datagram(&keys(), &bytes).expect("the datagram decodes");
    assert_eq!((decoded.items.len(), decoded.skipped), (1, 1));
}

#[test]
fn hints_are_valid_for_their_customer_only() {
    let hint = ChatHint { target: "t".into(), incarnation: 3, warm_tokens: 900 };
    let (own, other) = (CustomerName::from("own"), CustomerName::from("other"));
    let text = encode_hint(&keys(), &own, &hint);
    assert_eq!(decode_hint(&keys(), &own, &text), HintVerdict::Valid(hint));
    assert_eq!(decode_hint(&keys(), &other, &text), HintVerdict::Forged);
    assert_eq!(decode_hint(&keys(), &own, "no hint"), HintVerdict::Malformed);
}

#[test]
fn calls_and_replies_verify_only_for_their_method_and_call() {
    let (from, at) = (DaemonName::from("d1"), WallTime::from_millis(1_000_000));
    let call = sign_call(&keys(), &from, at, "claim", &vec![1, 2]).expect("the call is signed");
    let params: Vec<u32> = verify_call(&keys(), "claim", &call, at).expect("the call verifies");
    assert_eq!(params, [1, 2]);
    let as_other = verify_call::<Vec<u32>>(&keys(), "seal", &call, at);
    assert!(matches!(as_other, Err(CallError::Unauthenticated)), "another method");
    let late = WallTime::from_millis(at.as_millis() + 61_000);
    let replayed = verify_call::<Vec<u32>>(&keys(), "claim", &call, late);
    assert!(matches!(replayed, Err(CallError::Stale)), "a replayed call");
    let reply = sign_reply(&keys(), &call, &"granted").expect("the reply is signed");
    let result: String = verify_reply(&keys(), &call.tag, &reply).expect("the reply verifies");
    assert_eq!(result, "granted");
    let other = sign_call(&keys(), &from, at, "claim", &vec![3]).expect("the call is signed");
    let crossed = verify_reply::<String>(&keys(), &other.tag, &reply);
    assert!(matches!(crossed, Err(CallError::Unauthenticated)), "the reply to another call");
}

#[test]
fn load_headers_round_trip() {
    let report = LoadReport { started_total: 12, finished_total: 9 };
    assert_eq!(parse_load(&format_load(&report)), Some(report));
    assert_eq!(parse_load("started=1 finished=2"), None);
    assert_eq!(parse_load("started=1"), None);
}

fn digest() -> PeerDigest {
    PeerDigest {
        address: ([10, 0, 0, 1], 7_340).into(),
        incarnation: 1,
        number: 2,
        centre_hash: 3,
        link_mbps: 1_000,
        is_watching: true,
        age_ms: 4,
        is_leaving: false,
        target_revision: 5,
        config_revision: 6,
        platform_age_ms: 7,
        loads: Vec::new(),
        cached_prefixes: vec![(8, 9)],
        crashes: vec![(SuspectKey(10), CrashId(11))],
        known_peers: vec![([10, 0, 0, 2], 7_340).into()],
        crash_ages_ms: vec![300],
        exonerated: vec![SuspectKey(12)],
        rates: vec![RateReport {
            target: 13,
            limit: Some(4.5),
            sent_age_ms: 200,
            received_age_ms: 100,
        }],
        reach: PeerReach { protocol: 1, unreached: vec![14, u32::MAX] },
        fragile: vec![FragilityReport {
            service: 14,
            max_rejections: 5,
            named_age_ms: 40,
            unnamed_age_ms: Some(900),
            rejecting: vec![13],
        }],
        stated_loads: vec![StatedLoadReport { target: 13, requests: 21, age_ms: 350 }],
        work_times: vec![WorkTimeReport { target: 13, percent: 250, age_ms: 90 }],
        replaced: vec![15],
        demands: vec![DemandReport {
            pool: 16,
            offered: 900,
            admitted: 300,
            largest: vec![(17, 600)],
        }],
        ended: vec![EndReport { target: 18, age_ms: 250 }],
    }
}

#[test]
fn digest_survives_the_round_trip() {
    let bytes = encode_digest(&digest()).expect("should encode");
    assert_eq!(decode_digest(&bytes).expect("should decode"), digest());
}

/// Empties a field of a digest, which then takes so many bytes.
type LaterField = (fn(&mut PeerDigest), usize);

/// Empties the last fields of a digest, which earlier builds do not send, from the end on.
const LATER_FIELDS: [LaterField; 10] = [
    (|digest| digest.ended.clear(), 1),
    (|digest| digest.demands.clear(), 1),
    (|digest| digest.replaced.clear(), 1),
    (|digest| digest.work_times.clear(), 1),
    (|digest| digest.stated_loads.clear(), 1),
    (|digest| digest.fragile.clear(), 1),
    (|digest| digest.reach = PeerReach::default(), 2),
    (|digest| digest.rates.clear(), 1),
    (|digest| digest.exonerated.clear(), 1),
    (|digest| digest.crash_ages_ms.clear(), 1),
];

// Guards against fleets with two builds in which daemons no longer know each other, or in which requests are forwarded
// to daemons that take none.
#[test]
fn digests_of_all_earlier_builds_decode() {
    let (mut earlier, mut missing) = (digest(), 0);
    for (number, (empty, length)) in LATER_FIELDS.into_iter().enumerate() {
        empty(&mut earlier);
        missing += length;
        let bytes = encode_digest(&earlier).expect("should encode");
        let (sent, left_out) = bytes.split_at(bytes.len() - missing);
        assert!(left_out.iter().all(|byte| *byte == 0), "field {number} from the end");
        assert_eq!(decode_digest(sent).expect("should decode"), earlier);
    }
    assert_eq!(earlier.reach.protocol, 0);
    let bytes = encode_digest(&earlier).expect("should encode");
    assert!(decode_digest(&bytes[..(bytes.len() - missing) / 2]).is_err());
}

fn forwarded_request() -> ForwardedRequest {
    ForwardedRequest {
        protocol: 1,
        sender: ([10, 0, 0, 1], 7_340).into(),
        incarnation: 1_700_000_000_000,
        config_version: 9,
        route: ForwardedRoute {
            name: "r".into(),
            is_stream: true,
            is_idempotent: true,
            is_sticky: false,
            goal_ms: 900,
            max_gap_ms: 40,
        },
        service: "s".into(),
        customer: Some("c".into()),
        priority: 2,
        attempts: 3,
        remaining_ms: 12_000,
        may_have_run: true,
        last_event: Some(7),
        first_attempt: Some("id-1".into()),
        version: Some(SoftwareVersion::named("v1")),
        allowed_centres: Some(vec!["a".into(), "b".into()]),
    }
}

// Guards against requests of daemons of an earlier build that are taken for malformed.
#[test]
fn forwarded_request_of_a_build_without_allowed_centres_decodes() {
    let without = ForwardedRequest { allowed_centres: None, ..forwarded_request() };
    let value = encode_request(&without).expect("should encode");
    let earlier = value.strip_suffix("00").expect("the last field should be absent");
    assert_eq!(decode_request(earlier).expect("should decode"), without);
}

// Guards against facts of a forwarded request that are lost or changed on the way to the peer.
#[test]
fn forwarded_requests_and_their_replies_round_trip_as_header_values() {
    let plain = ForwardedRequest {
        customer: None,
        last_event: None,
        first_attempt: None,
        version: None,
        ..forwarded_request()
    };
    for request in [forwarded_request(), plain] {
        let value = encode_request(&request).expect("should encode");
        assert!(value.bytes().all(|byte| byte.is_ascii_alphanumeric()), "{value}");
        assert_eq!(decode_request(&value).expect("should decode"), request);
        assert!(decode_request(&value[..value.len() / 2]).is_err());
    }
    let replies = [
        ForwardedReply::Served { version: None },
        ForwardedReply::Served { version: Some(SoftwareVersion::named("v2")) },
        ForwardedReply::Refused { cause: "no-room".into(), retry_after_ms: Some(150) },
    ];
    for reply in replies {
        let value = encode_reply(&reply).expect("should encode");
        assert_eq!(decode_reply(&value).expect("should decode"), reply);
    }
    for malformed in ["", "0", "zz", "00ff", "é0"] {
        assert!(decode_request(malformed).is_err(), "{malformed:?}");
    }
}

#[test]
fn earlier_builds_ignore_fields_at_the_end_of_a_digest() {
    let bytes = encode_digest(&digest()).expect("should encode");
    let (address, incarnation): (std::net::SocketAddr, u64) =
        postcard::from_bytes(&bytes).expect("should decode the first fields");
    assert_eq!((address, incarnation), (digest().address, digest().incarnation));
}

#[test]
fn origins_of_streams_round_trip_and_differ_from_digests() {
    let origin = |number| StreamOrigin {
        key: StreamKey(number),
        version: SoftwareVersion::named(&format!("v{number}")),
    };
    let origins: Vec<_> = (0..50).map(|number| origin(u64::MAX - number)).collect();
    let bytes = encode_origins(&origins).expect("should encode");
    assert_eq!(datagram_kind(&bytes), DatagramKind::Origins);
    assert!(bytes.len() < 1_400, "{} bytes", bytes.len());
    assert_eq!(decode_origins(&bytes).expect("should decode"), origins);
    for end in 0..bytes.len() {
        assert!(decode_origins(&bytes[..end]).is_err(), "truncated at {end}");
    }
    for address in ["127.0.0.1:1", "[::1]:1"] {
        let address: std::net::SocketAddr = address.parse().expect("an address");
        let bytes = postcard::to_stdvec(&address).expect("should encode");
        assert_eq!(datagram_kind(&bytes), DatagramKind::Digest);
    }
}

#[test]
fn questions_for_origins_and_their_replies_round_trip() {
    let (key, service) = (StreamKey(u64::MAX), ServiceKey::named("s"));
    let question = OriginQuestion { number: u64::MAX - 1, key, service };
    let bytes = encode_question(&question).expect("should encode");
    assert_eq!(datagram_kind(&bytes), DatagramKind::OriginQuestion);
    assert_eq!(decode_question(&bytes).expect("should decode"), question);
    let known = OriginReply { version: Some(SoftwareVersion::named("v1")), only_version: None };
    for reply in [known, OriginReply::default()] {
        let answer = OriginAnswer { number: 1, reply };
        let bytes = encode_answer(&answer).expect("should encode");
        assert_eq!(datagram_kind(&bytes), DatagramKind::OriginAnswer);
        assert_eq!(decode_answer(&bytes).expect("should decode"), answer);
        for end in 0..bytes.len() {
            assert!(decode_answer(&bytes[..end]).is_err(), "truncated at {end}");
            assert!(decode_question(&bytes[..end]).is_err());
        }
    }
}

// Guards against a reply for many targets that does not fit into a datagram, and against truncated ones.
#[test]
fn questions_for_cached_parts_and_their_replies_round_trip() {
    let targets: Vec<_> = (0..100).map(|number| u32::MAX - number).collect();
    let part = |target| ListedPart { target, tokens: Some(2_000_000) };
    let listed = targets.iter().copied().map(part).collect();
    let question = CacheQuestion { number: u64::MAX, prefix: u64::MAX, targets };
    let bytes = encode_cache_question(&question).expect("should encode");
    assert_eq!(datagram_kind(&bytes), DatagramKind::CacheQuestion);
    assert_eq!(decode_cache_question(&bytes).expect("should decode"), question);
    for end in 0..bytes.len() {
        assert!(decode_cache_question(&bytes[..end]).is_err(), "truncated at {end}");
    }
    let answer = CacheAnswer { number: u64::MAX, listed };
    let bytes = encode_cache_answer(&answer).expect("should encode");
    assert_eq!(datagram_kind(&bytes), DatagramKind::CacheAnswer);
    assert!(bytes.len() < 1_400, "{} bytes", bytes.len());
    assert_eq!(decode_cache_answer(&bytes).expect("should decode"), answer);
    for end in 0..bytes.len() {
        assert!(decode_cache_answer(&bytes[..end]).is_err(), "truncated at {end}");
    }
}

// Guards against lifetime messages that are taken for others, and ones that do not fit into a datagram.
#[test]
fn questions_for_starts_of_targets_and_their_replies_round_trip() {
    let targets: Vec<_> = (0..100).map(|number| u32::MAX - number).collect();
    let starts = [StatedStart::Registered, StatedStart::Another, StatedStart::Unstated];
    let start =
        |(target, start): (&u32, &StatedStart)| TargetStart { target: *target, start: *start };
    let starts = targets.iter().zip(starts.iter().cycle()).map(start).collect();
    let doubted = targets.iter().map(|target| DoubtedTarget { target: *target, age_ms: u32::MAX });
    let question = LifetimeQuestion { number: u64::MAX, targets: doubted.collect() };
    let bytes = encode_lifetime_question(&question).expect("should encode");
    assert_eq!(datagram_kind(&bytes), DatagramKind::LifetimeQuestion);
    assert!(bytes.len() < 1_400, "{} bytes", bytes.len());
    assert_eq!(decode_lifetime_question(&bytes).expect("should decode"), question);
    for end in 0..bytes.len() {
        assert!(decode_lifetime_question(&bytes[..end]).is_err(), "truncated at {end}");
    }
    let answer = LifetimeAnswer { number: u64::MAX, starts };
    let bytes = encode_lifetime_answer(&answer).expect("should encode");
    assert_eq!(datagram_kind(&bytes), DatagramKind::LifetimeAnswer);
    assert!(bytes.len() < 1_400, "{} bytes", bytes.len());
    assert_eq!(decode_lifetime_answer(&bytes).expect("should decode"), answer);
    for end in 0..bytes.len() {
        assert!(decode_lifetime_answer(&bytes[..end]).is_err(), "truncated at {end}");
    }
}
