//! Tests of message extensions between builds of different versions.

use luglink_wire::{
    PartNumber, Parts, decode_body, decode_with_parts, encode_body, encode_with_parts,
};
use proptest::prelude::*;

const KNOWN: PartNumber = PartNumber(1);
const UNKNOWN_PART: PartNumber = PartNumber(9);

type Message = (u64, Vec<String>);

fn message() -> Message {
    (7, vec!["a".to_owned(), "b".to_owned()])
}

#[test]
fn an_older_build_reads_the_message_and_ignores_its_parts() {
    let mut parts = Parts::default();
    parts.put(KNOWN, &"new").unwrap();
    let bytes = encode_with_parts(&message(), &parts).unwrap();
    assert_eq!(decode_body::<Message>(&bytes).unwrap(), message());
}

#[test]
fn the_message_of_an_older_build_has_no_parts() {
    let bytes = encode_body(&message()).unwrap();
    let (read, parts) = decode_with_parts::<Message>(&bytes).unwrap();
    assert_eq!(read, message());
    assert!(parts.is_empty());
    assert_eq!(encode_with_parts(&message(), &parts).unwrap(), bytes);
}

#[test]
fn an_unknown_part_is_ignored() {
    let mut parts = Parts::default();
    parts.put(UNKNOWN_PART, &(1_u64, 2_u64)).unwrap();
    parts.put(KNOWN, &5_u32).unwrap();
    let bytes = encode_with_parts(&message(), &parts).unwrap();
    let (_, read) = decode_with_parts::<Message>(&bytes).unwrap();
    assert_eq!(read.get::<u32>(KNOWN).unwrap(), Some(5));
    assert_eq!(read.get::<u32>(PartNumber(2)).unwrap(), None);
}

proptest! {
    #[test]
    fn invalid_bytes_never_cause_a_panic(bytes: Vec<u8>) {
        let _ = decode_with_parts::<Message>(&bytes);
    }
}
