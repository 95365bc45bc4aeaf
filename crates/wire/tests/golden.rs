//! Checks that the frame layout stays compatible with earlier builds, in both directions.

#[path = "support/golden.rs"]
mod golden;

use golden::{Golden, to_hex};
use luglink_wire::{ClientRole, Frame, FrameDecoder, Hello, PROTOCOL_VERSION, encode_frame};

fn hello(role: ClientRole) -> (&'static str, Frame) {
    let label = match role {
        ClientRole::Member => "hello-member",
        ClientRole::Daemon => "hello-daemon",
        ClientRole::Observer => "hello-observer",
        ClientRole::StoreClient => "hello-writer",
        ClientRole::ReportClient => "hello-report-client",
    };
    let version = PROTOCOL_VERSION;
    let id = 0x0102_0304;
    (label, Frame::Hello(Hello { version, role, id }))
}

fn label(frame: &Frame) -> &'static str {
    match frame {
        Frame::Hello(_) => "hello",
        Frame::Peer { .. } => "peer",
        Frame::Request { .. } => "request",
        Frame::Response { .. } => "response",
    }
}

#[test]
fn frames_keep_their_layout() {
    let golden = Golden::new(include_str!("golden/frames.txt"));
    let roles = [
        ClientRole::Member,
        ClientRole::Daemon,
        ClientRole::Observer,
        ClientRole::StoreClient,
        ClientRole::ReportClient,
    ];
    let others = [
        Frame::peer(7, vec![1, 2, 3]),
        Frame::request(0x0102_0304_0506_0708, vec![4, 5]),
        Frame::response(9, Vec::new()),
    ];
    let others = others.into_iter().map(|frame| (label(&frame), frame));
    for (label, frame) in roles.into_iter().map(hello).chain(others) {
        let written = encode_frame(&frame).unwrap();
        assert_eq!(to_hex(&written), to_hex(golden.bytes(label)), "{label}");
        let mut decoder = FrameDecoder::default();
        decoder.push(golden.bytes(label));
        assert_eq!(decoder.next_frame().unwrap(), Some(frame), "{label}");
    }
    golden.finish();
}
