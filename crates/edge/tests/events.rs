//! Parsing of server-sent events, whatever chunks their bytes arrive in.

use luglink_edge::{EventSplitter, StreamEvent};
use proptest::prelude::*;

fn split(parts: &[&[u8]]) -> (Vec<StreamEvent>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for part in parts {
        splitter.push(part);
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    (events, splitter.has_partial_event())
}

#[test]
fn fields_are_parsed_and_raw_bytes_are_kept() {
    let text = b"id: 7\ndata: one\ndata:two\n\nversions: 3\n\n";
    let (events, partial) = split(&[text]);
    assert!(!partial);
    assert_eq!(events[0].id.as_deref(), Some("7"));
    assert_eq!(events[0].data.as_deref(), Some(&b"one\ntwo"[..]));
    assert_eq!(&events[0].raw[..], &text[..26]);
    assert_eq!((events[1].id.clone(), events[1].data.clone()), (None, None));
}

#[test]
fn an_incomplete_event_is_not_returned() {
    let (events, partial) = split(&[b"id: 1\ndata: a\n\nid: 2\ndata: b\n"]);
    assert_eq!(events.len(), 1);
    assert!(partial);
}

#[test]
fn lines_may_end_with_carriage_return_and_line_feed() {
    let (events, partial) = split(&[b"id: 1\r\ndata: a\r\n\r\n"]);
    assert_eq!(events[0].data.as_deref(), Some(&b"a"[..]));
    assert!(!partial);
}

proptest! {
    #[test]
    fn chunk_boundaries_do_not_matter(
        data in prop::collection::vec("[a-z ]{0,12}", 1..6),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..6),
    ) {
        let mut text = Vec::new();
        for (number, data) in data.iter().enumerate() {
            text.extend_from_slice(format!("id: {number}\ndata: {data}\n\n").as_bytes());
        }
        let mut boundaries: Vec<usize> = cuts.iter().map(|cut| cut.index(text.len())).collect();
        boundaries.extend([0, text.len()]);
        boundaries.sort_unstable();
        let parts: Vec<&[u8]> =
            boundaries.windows(2).map(|pair| &text[pair[0]..pair[1]]).collect();
        let (whole, _) = split(&[&text]);
        let (events, partial) = split(&parts);
        prop_assert_eq!(&events, &whole);
        prop_assert!(!partial);
        prop_assert_eq!(events.len(), data.len());
        let raw: Vec<u8> = events.iter().flat_map(|event| event.raw.to_vec()).collect();
        prop_assert_eq!(raw, text);
    }
}
