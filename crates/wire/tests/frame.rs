//! Frames survive any cutting into pieces; hostile bytes get an error and no memory.

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
    fn frames_survive_any_cutting(
        frames in prop::collection::vec(any_frame(), 1..8),
        piece in 1_usize..50,
    ) {
        let mut bytes = Vec::new();
        for frame in &frames {
            bytes.extend(encode_frame(frame).expect("encode"));
        }
        let mut decoder = FrameDecoder::default();
        let mut found = Vec::new();
        for part in bytes.chunks(piece) {
            decoder.push(part);
            while let Some(frame) = decoder.next_frame().expect("decode") {
                found.push(frame);
            }
        }
        prop_assert_eq!(found, frames);
    }

    #[test]
    fn hostile_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut decoder = FrameDecoder::default();
        decoder.push(&bytes);
        while let Ok(Some(_)) = decoder.next_frame() {}
    }
}

#[test]
fn an_impossible_length_is_refused_before_it_is_allocated() {
    let mut decoder = FrameDecoder::default();
    decoder.push(&u32::MAX.to_be_bytes());
    let error = decoder.next_frame().expect_err("too long");
    assert!(matches!(error, WireError::TooLong { limit, .. } if limit == MAX_FRAME_BYTES));
}

#[test]
fn bytes_behind_a_message_are_refused() {
    let mut bytes = encode_frame(&Frame::peer(1, vec![7])).expect("encode");
    bytes[3] += 1;
    bytes.push(0);
    let mut decoder = FrameDecoder::default();
    decoder.push(&bytes);
    let error = decoder.next_frame().expect_err("trailing");
    assert!(matches!(error, WireError::Trailing { count: 1 }), "{error}");
}
