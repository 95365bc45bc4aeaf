//! Tests of the frame decoder: input in chunks of any size, and invalid input.

use luglink_wire::{
    ClientRole, Frame, FrameDecoder, Hello, MAX_FRAME_BYTES, PROTOCOL_VERSION, WireError,
    encode_frame,
};
use proptest::prelude::*;

fn any_frame() -> impl Strategy<Value = Frame> {
    let body = || prop::collection::vec(any::<u8>(), 0..300);
    prop_oneof![
        (any::<u32>(), any::<bool>()).prop_map(|(id, member)| Frame::Hello(Hello {
            version: PROTOCOL_VERSION,
            role: if member {
                ClientRole::Member
            } else {
                ClientRole::Daemon
            },
            id,
        })),
        (any::<u32>(), body()).prop_map(|(group, body)| Frame::peer(group, body)),
        (any::<u64>(), body()).prop_map(|(number, body)| Frame::request(number, body)),
        (any::<u64>(), body()).prop_map(|(number, body)| Frame::response(number, body)),
    ]
}

proptest! {
    #[test]
    fn frames_are_decoded_from_chunks_of_any_size(
        frames in prop::collection::vec(any_frame(), 1..8),
        chunk_bytes in 1_usize..50,
    ) {
        let mut bytes = Vec::new();
        for frame in &frames {
            bytes.extend(encode_frame(frame).expect("encode"));
        }
        let mut decoder = FrameDecoder::default();
        let mut found = Vec::new();
        for chunk in bytes.chunks(chunk_bytes) {
            decoder.push(chunk);
            while let Some(frame) = decoder.next_frame().expect("decode") {
                found.push(frame);
            }
        }
        prop_assert_eq!(found, frames);
    }

    #[test]
    fn invalid_bytes_never_cause_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut decoder = FrameDecoder::default();
        decoder.push(&bytes);
        while let Ok(Some(_)) = decoder.next_frame() {}
    }
}

#[test]
fn an_excessive_length_is_rejected_before_memory_is_allocated() {
    let mut decoder = FrameDecoder::default();
    decoder.push(&u32::MAX.to_be_bytes());
    let error = decoder.next_frame().expect_err("too long");
    assert!(matches!(error, WireError::TooLong { limit, .. } if limit == MAX_FRAME_BYTES));
}

#[test]
fn bytes_after_a_message_are_rejected() {
    let mut bytes = encode_frame(&Frame::peer(1, vec![7])).expect("encode");
    bytes[3] += 1;
    bytes.push(0);
    let mut decoder = FrameDecoder::default();
    decoder.push(&bytes);
    let error = decoder.next_frame().expect_err("trailing");
    assert!(matches!(error, WireError::Trailing { count: 1 }), "{error}");
}
