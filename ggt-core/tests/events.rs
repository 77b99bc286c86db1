//! Splitting of streams into complete events, each of which is forwarded once.

use quickcheck::QuickCheck;

use ggt_core::events::EventAction;
use ggt_core::events::EventOrder;
use ggt_core::events::EventSplitter;
use ggt_core::events::StreamEvent;

fn stream_of(count: u64) -> Vec<u8> {
    let events = (1..=count).map(|id| format!("id: {id}\ndata: part {id}\n\n"));
    events.collect::<String>().into_bytes()
}

#[test]
fn events_are_complete_for_any_chunking() {
    fn splits_into_events(chunk_lengths: Vec<u8>) -> bool {
        let bytes = stream_of(20);
        let mut splitter = EventSplitter::default();
        let (mut start, mut ids, mut forwarded) = (0, Vec::new(), Vec::new());
        for length in chunk_lengths.iter().copied().chain(std::iter::repeat(7)) {
            if start == bytes.len() {
                break;
            }
            let end = (start + usize::from(length)).min(bytes.len());
            for event in splitter.push(&bytes[start..end]).expect("short events") {
                ids.extend(event.id);
                forwarded.extend(event.bytes);
            }
            start = end;
        }
        ids == (1..=20).collect::<Vec<_>>() && forwarded == bytes && !splitter.has_partial_event()
    }
    QuickCheck::new().tests(500).quickcheck(splits_into_events as fn(Vec<u8>) -> bool);
}

#[test]
fn a_stream_that_ends_within_an_event_has_a_partial_event() {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").expect("short events");
    assert_eq!(events.len(), 1);
    assert!(splitter.has_partial_event());
}

#[test]
fn lines_may_end_with_crlf_and_other_fields_may_precede_the_id() {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(b"version: 4\r\nid: 9\r\ndata: a\r\n\r\n").expect("short events");
    assert_eq!(events[0].id, Some(9));
}

fn event(text: &str) -> StreamEvent {
    let events = EventSplitter::default().push(text.as_bytes()).expect("a short event");
    events.into_iter().next().expect("a complete event")
}

fn event_with_id(id: u64) -> StreamEvent {
    event(&format!("id: {id}\ndata: a\n\n"))
}

#[test]
fn a_resumed_stream_continues_with_the_next_event() {
    let mut order = EventOrder::after(Some(4));
    assert_eq!(order.check(&event_with_id(4)), EventAction::Skip);
    assert_eq!(order.check(&event_with_id(5)), EventAction::Pass);
    assert_eq!(order.check(&event_with_id(5)), EventAction::Skip);
    assert_eq!(order.check(&event_with_id(7)), EventAction::Gap);
    assert_eq!(order.last(), Some(5));
}

// Guards against an event of which nobody knows where it belongs in place of those that are missing.
#[test]
fn an_event_without_an_id_interrupts_a_stream_whose_events_have_ids() {
    let mut order = EventOrder::after(Some(4));
    assert_eq!(order.check(&event("data: a\n\n")), EventAction::Gap);
    assert_eq!(order.check(&event(": keep-alive\n\n")), EventAction::Pass);
    let mut order = EventOrder::after(None);
    assert_eq!(order.check(&event("data: a\n\n")), EventAction::Pass);
}
