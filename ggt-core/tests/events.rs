//! Splitting of streams into complete events, each of which is forwarded once.

use quickcheck::QuickCheck;

use ggt_core::events::EventAction;
use ggt_core::events::EventOrder;
use ggt_core::events::EventRelay;
use ggt_core::events::EventSplitter;
use ggt_core::events::RelayError;
use ggt_core::events::SplitError;
use ggt_core::events::StreamEvent;

fn stream_of(count: u64) -> Vec<u8> {
    let events = (1..=count).map(|id| format!("id: {id}\ndata: part {id}\n\n"));
    events.collect::<String>().into_bytes()
}

/// The ids and bytes of the events that these bytes complete.
fn push(splitter: &mut EventSplitter, bytes: &[u8]) -> Vec<(Option<u64>, Vec<u8>)> {
    splitter.push(bytes);
    let mut events = Vec::new();
    while let Some(event) = splitter.next_event().expect("short events") {
        events.push((event.id, event.bytes.to_vec()));
    }
    events
}

/// The events of a stream that is pushed in pieces of these lengths, then of 7 bytes.
fn push_pieces(
    splitter: &mut EventSplitter,
    bytes: &[u8],
    lengths: &[u8],
) -> Vec<(Option<u64>, Vec<u8>)> {
    let mut events = Vec::new();
    let mut start = 0;
    for length in lengths.iter().copied().chain(std::iter::repeat(7)) {
        if start == bytes.len() {
            break;
        }
        let end = (start + usize::from(length)).min(bytes.len());
        events.extend(push(splitter, &bytes[start..end]));
        start = end;
    }
    events
}

#[test]
fn events_are_complete_for_any_chunking() {
    fn splits_into_events(chunk_lengths: Vec<u8>) -> bool {
        let bytes = stream_of(20);
        let mut splitter = EventSplitter::default();
        let events = push_pieces(&mut splitter, &bytes, &chunk_lengths);
        let (ids, forwarded): (Vec<_>, Vec<_>) = events.into_iter().unzip();
        let ids: Vec<_> = ids.into_iter().flatten().collect();
        ids == (1..=20).collect::<Vec<_>>()
            && forwarded.concat() == bytes
            && !splitter.has_partial_event()
    }
    QuickCheck::new().tests(500).quickcheck(splits_into_events as fn(Vec<u8>) -> bool);
}

/// Texts of which any sequence is a stream, well-formed or not.
const FRAGMENTS: [&str; 12] =
    ["\n", "\n", "\r\n", "\r", "id: 7", "id:", "i", ": c", "data: a", "event", " ", "\u{e9}"];

/// The events of a stream, found line by line in the whole of it.
fn reference_events(bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut events = Vec::new();
    let mut event = Vec::new();
    for line in bytes.split_inclusive(|byte| *byte == b'\n') {
        let is_blank = line == b"\n" || line == b"\r\n";
        let is_end = is_blank && !event.is_empty();
        event.extend_from_slice(line);
        if is_end {
            events.push(std::mem::take(&mut event));
        }
    }
    events
}

#[test]
fn any_division_of_any_stream_gives_the_same_events() {
    fn gives_the_same_events(fragments: Vec<u8>, lengths: Vec<u8>) -> bool {
        let fragments = fragments.iter().map(|number| FRAGMENTS[usize::from(*number) % 12]);
        let bytes = fragments.collect::<String>().into_bytes();
        let mut splitter = EventSplitter::default();
        let events = push_pieces(&mut splitter, &bytes, &lengths);
        let events: Vec<_> = events.into_iter().map(|(_, bytes)| bytes).collect();
        let expected = reference_events(&bytes);
        let is_partial = expected.iter().map(Vec::len).sum::<usize>() < bytes.len();
        events == expected && splitter.has_partial_event() == is_partial
    }
    QuickCheck::new()
        .tests(3_000)
        .quickcheck(gives_the_same_events as fn(Vec<u8>, Vec<u8>) -> bool);
}

// Guards against a stream of short events in large chunks that fills a daemon's memory: each event held a
// buffer of the size of its chunk.
#[test]
fn memory_is_linear_in_the_bytes_of_a_chunk() {
    const CHUNK_BYTES: usize = 64 * 1024;
    for event in [": c\n\n", "data: noid\n\n", "id: 1\ndata: a\n\n"] {
        let chunk = event.repeat(CHUNK_BYTES / event.len() + 1);
        let mut splitter = EventSplitter::default();
        let mut held_bytes = 0;
        for _ in 0..100 {
            let events = push(&mut splitter, chunk.as_bytes());
            held_bytes = held_bytes.max(splitter.held_bytes());
            let forwarded: Vec<_> = events.into_iter().flat_map(|(_, bytes)| bytes).collect();
            assert_eq!(forwarded, chunk.as_bytes());
        }
        assert!(held_bytes <= 4 * CHUNK_BYTES, "{event:?}: {held_bytes} bytes held");
    }
}

#[test]
fn memory_of_a_long_event_is_freed_after_it() {
    let mut splitter = EventSplitter::default();
    let line = vec![b'x'; 500_000];
    push(&mut splitter, &line);
    assert!(splitter.held_bytes() >= line.len());
    push(&mut splitter, b"\n\nid: 2\n\n");
    push(&mut splitter, b"id: 3\n\n");
    assert!(splitter.held_bytes() < 10_000, "{} bytes held", splitter.held_bytes());
}

#[test]
fn an_event_beyond_the_maximum_length_is_an_error() {
    let mut splitter = EventSplitter::default();
    push(&mut splitter, b"id: 1\n\n");
    push(&mut splitter, &vec![b'x'; 1024 * 1024]);
    splitter.push(b"x");
    assert_eq!(splitter.next_event(), Err(SplitError::TooLong));
}

#[test]
fn a_stream_that_ends_within_an_event_has_a_partial_event() {
    let mut splitter = EventSplitter::default();
    let events = push(&mut splitter, b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(events.len(), 1);
    assert!(splitter.has_partial_event());
}

#[test]
fn lines_may_end_with_crlf_and_other_fields_may_precede_the_id() {
    let mut splitter = EventSplitter::default();
    let events = push(&mut splitter, b"version: 4\r\nid: 9\r\ndata: a\r\n\r\n");
    assert_eq!(events[0].0, Some(9));
}

fn event_with_id(order: &mut EventOrder, id: u64) -> EventAction {
    order.check(StreamEvent::new(format!("id: {id}\ndata: a\n\n").as_bytes()))
}

#[test]
fn a_resumed_stream_continues_with_the_next_event() {
    let mut order = EventOrder::after(Some(4));
    assert_eq!(event_with_id(&mut order, 4), EventAction::Skip);
    assert_eq!(event_with_id(&mut order, 5), EventAction::Pass);
    assert_eq!(event_with_id(&mut order, 5), EventAction::Skip);
    assert_eq!(event_with_id(&mut order, 7), EventAction::Gap);
    assert_eq!(order.last(), Some(5));
}

// Guards against an event of which nobody knows where it belongs in place of those that are missing.
#[test]
fn an_event_without_an_id_interrupts_a_stream_whose_events_have_ids() {
    let mut order = EventOrder::after(Some(4));
    assert_eq!(order.check(StreamEvent::new(b"data: a\n\n")), EventAction::Gap);
    assert_eq!(order.check(StreamEvent::new(b": keep-alive\n\n")), EventAction::Pass);
    let mut order = EventOrder::after(None);
    assert_eq!(order.check(StreamEvent::new(b"data: a\n\n")), EventAction::Pass);
}

// Guards against events that are lost because they arrive in one piece with an event after a gap.
#[test]
fn events_before_a_gap_in_the_same_bytes_are_forwarded() {
    let mut relay = EventRelay::after(Some(1));
    let mut forwarded = Vec::new();
    let result = relay.push(b"id: 2\n\nid: 3\n\nid: 5\n\n", &mut forwarded);
    assert_eq!(result, Err(RelayError::Gap));
    assert_eq!(forwarded, b"id: 2\n\nid: 3\n\n");
    assert_eq!(relay.last(), Some(3));
}

// Guards against a target that sends comments, or events of which nobody knows the place, without end: the
// caller gets nothing of its stream, up to its deadline.
#[test]
fn a_reply_without_numbered_events_ends() {
    for event in [": c\n\n", "data: noid\n\n"] {
        let mut relay = EventRelay::after(None);
        let chunk = event.repeat(10_000);
        let mut forwarded = Vec::new();
        let mut result = Ok(());
        while result.is_ok() && forwarded.len() < 10_000_000 {
            result = relay.push(chunk.as_bytes(), &mut forwarded);
        }
        assert_eq!(result, Err(RelayError::Unnumbered), "{event:?}");
        assert!(forwarded.len() <= 1024 * 1024, "{event:?}: {} bytes", forwarded.len());
    }
}

#[test]
fn comments_between_events_do_not_end_a_reply() {
    let mut relay = EventRelay::after(None);
    let mut forwarded = Vec::new();
    for id in 0..100 {
        let text = format!("id: {id}\ndata: a\n\n{}", ": keep-alive\n\n".repeat(5_000));
        forwarded.clear();
        assert_eq!(relay.push(text.as_bytes(), &mut forwarded), Ok(()));
        assert_eq!(forwarded, text.as_bytes());
    }
}
