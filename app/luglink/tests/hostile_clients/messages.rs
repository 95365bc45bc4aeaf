//! What hostile clients send at each listener.

use crate::fleet::{
    CALL_PATH, Fleet, GATEWAY_METRICS_PORT, HOST, KEPT_PATH, MEMBER_METRICS_PORT, MEMBER_PORT,
    READY_PORT, RESOLUTION_PORT, STORE_METRICS_PORT, STORE_PORT,
};
use luglink_wire::{ClientRole, Frame, Hello, MAX_FRAME_BYTES, PROTOCOL_VERSION, encode_frame};
use std::net::SocketAddr;

/// Length that is announced of bodies and chunks without end, in bytes.
const ENDLESS_BYTES: u64 = 10 << 30;

/// Maximum number of bytes that are sent of a body without end on one connection.
const MAX_SENT_BYTES: usize = 64 << 20;

/// Longest body that an operator may send, in bytes.
const OPERATOR_BODY_BYTES: usize = 16 << 20;

const CHUNK_BYTES: usize = 16 << 10;

const TINY_CHUNKS: usize = 2_000;

/// Time limit that hostile callers state, the longest of the route.
const DEADLINE_MS: u64 = 4_000;

/// Address and kind of request of hostile clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    Callers,
    CallersOfTurns,
    CallersWithoutRoute,
    CallersWithoutIdentifier,
    Operator,
    ConfigurationReaders,
    Directory,
    Readiness,
    GatewayMetrics,
    MemberMetrics,
    StoreMetrics,
    MemberInternal,
    StoreInternal,
}

impl Listener {
    /// Listeners of HTTP.
    pub const HTTP: [Self; 11] = [
        Self::Callers,
        Self::CallersOfTurns,
        Self::CallersWithoutRoute,
        Self::CallersWithoutIdentifier,
        Self::Operator,
        Self::ConfigurationReaders,
        Self::Directory,
        Self::Readiness,
        Self::GatewayMetrics,
        Self::MemberMetrics,
        Self::StoreMetrics,
    ];

    /// Listeners of the internal protocol.
    pub const INTERNAL: [Self; 2] = [Self::MemberInternal, Self::StoreInternal];

    pub fn address(self, fleet: &Fleet) -> SocketAddr {
        match self {
            Self::Callers
            | Self::CallersOfTurns
            | Self::CallersWithoutRoute
            | Self::CallersWithoutIdentifier => fleet.addresses[0],
            Self::Operator | Self::ConfigurationReaders => fleet.operator(),
            Self::Directory => fleet.at_storage(RESOLUTION_PORT),
            Self::Readiness => fleet.at_gateway(READY_PORT),
            Self::GatewayMetrics => fleet.at_gateway(GATEWAY_METRICS_PORT),
            Self::MemberMetrics => fleet.at_storage(MEMBER_METRICS_PORT),
            Self::StoreMetrics => fleet.at_storage(STORE_METRICS_PORT),
            Self::MemberInternal => fleet.at_storage(MEMBER_PORT),
            Self::StoreInternal => fleet.at_storage(STORE_PORT),
        }
    }

    /// Returns the longest body that the listener accepts, in bytes.
    fn max_body_bytes(self, of_callers: usize) -> usize {
        match self {
            Self::Operator | Self::ConfigurationReaders => OPERATOR_BODY_BYTES,
            _ => of_callers,
        }
    }

    fn target(self) -> &'static str {
        match self {
            Self::Callers | Self::CallersWithoutIdentifier => CALL_PATH,
            Self::CallersOfTurns => KEPT_PATH,
            Self::CallersWithoutRoute => "/nowhere/x",
            Self::Operator | Self::ConfigurationReaders => "/v1/configuration",
            Self::Directory => "/v1/gateways",
            Self::Readiness => "/v1/ready",
            Self::GatewayMetrics | Self::MemberMetrics | Self::StoreMetrics => "/metrics",
            Self::MemberInternal | Self::StoreInternal => "/",
        }
    }

    fn method(self) -> &'static str {
        match self {
            Self::ConfigurationReaders
            | Self::Directory
            | Self::Readiness
            | Self::GatewayMetrics
            | Self::MemberMetrics
            | Self::StoreMetrics => "GET",
            _ => "POST",
        }
    }

    /// Returns the head of a request, without the headers that describe its body and without its end.
    fn head(self, version: &str, id: &str) -> String {
        let (method, target) = (self.method(), self.target());
        let identifier = match self {
            Self::CallersWithoutIdentifier => String::new(),
            _ => format!("luglink-request-id: {id}\r\n"),
        };
        format!(
            "{method} {target}?hostile-{id} HTTP/{version}\r\nhost: {HOST}\r\n{identifier}\
             luglink-deadline-ms: {DEADLINE_MS}\r\n"
        )
    }
}

/// What a hostile client does on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Announces a long body and sends it without end.
    LongBody,
    LongBodyAfterExpect,
    LongBodyHttp10,
    EndlessChunks,
    OneEndlessChunk,
    TinyChunks,
    EndlessChunkExtension,
    EndlessTrailers,
    EndlessHead,
    /// Sends all but the last byte of the longest body.
    UnfinishedBody,
    UnfinishedChunks,
    Idle,
    PartialHead,
    /// Announces a short body and sends a part of it.
    PartialBody,
    /// Sends all but the last byte of the longest frame.
    FrameBeforeHello,
    FrameAfterHello,
    /// Sends bytes that are no frame.
    NoFrame,
    HelloOnly,
    /// Sends requests and does not read the responses.
    UnreadResponses,
}

impl Behaviour {
    /// Behaviours at listeners of HTTP.
    pub const HTTP: [Self; 14] = [
        Self::LongBody,
        Self::LongBodyAfterExpect,
        Self::LongBodyHttp10,
        Self::EndlessChunks,
        Self::OneEndlessChunk,
        Self::TinyChunks,
        Self::EndlessChunkExtension,
        Self::EndlessTrailers,
        Self::EndlessHead,
        Self::UnfinishedBody,
        Self::UnfinishedChunks,
        Self::Idle,
        Self::PartialHead,
        Self::PartialBody,
    ];

    /// Behaviours at listeners of the internal protocol.
    pub const INTERNAL: [Self; 6] = [
        Self::Idle,
        Self::FrameBeforeHello,
        Self::FrameAfterHello,
        Self::NoFrame,
        Self::HelloOnly,
        Self::UnreadResponses,
    ];
}

/// Bytes of a connection: an opening, then a repeated part up to a number of bytes.
#[derive(Clone, Debug)]
pub struct Script {
    pub opening: Vec<u8>,
    pub part: Vec<u8>,
    pub max_bytes: usize,
}

impl Script {
    fn opening(opening: impl Into<Vec<u8>>) -> Self {
        Self {
            opening: opening.into(),
            part: Vec::new(),
            max_bytes: 0,
        }
    }

    fn endless(opening: impl Into<Vec<u8>>, part: impl Into<Vec<u8>>) -> Self {
        Self {
            opening: opening.into(),
            part: part.into(),
            max_bytes: MAX_SENT_BYTES,
        }
    }
}

/// Returns what a client sends on one connection. Callers' bodies may have `max_body_bytes`.
pub fn script(listener: Listener, behaviour: Behaviour, id: &str, max_body_bytes: usize) -> Script {
    let head = listener.head("1.1", id);
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    let long = format!("content-length: {ENDLESS_BYTES}\r\n\r\n");
    let longest = listener.max_body_bytes(max_body_bytes);
    let filler = vec![b'x'; CHUNK_BYTES];
    let chunk = [format!("{CHUNK_BYTES:x}\r\n").as_bytes(), &filler, b"\r\n"].concat();
    match behaviour {
        Behaviour::LongBody => Script::endless(head + &long, filler),
        Behaviour::LongBodyAfterExpect => {
            Script::endless(format!("{head}expect: 100-continue\r\n{long}"), filler)
        }
        Behaviour::LongBodyHttp10 => Script::endless(listener.head("1.0", id) + &long, filler),
        Behaviour::EndlessChunks => Script::endless(chunked, chunk),
        Behaviour::OneEndlessChunk => {
            Script::endless(format!("{chunked}{ENDLESS_BYTES:x}\r\n"), filler)
        }
        Behaviour::TinyChunks => Script::endless(chunked, "1\r\nx\r\n".repeat(TINY_CHUNKS)),
        Behaviour::EndlessChunkExtension => Script::endless(chunked + "1;", filler),
        Behaviour::EndlessTrailers => {
            Script::endless(chunked + "0\r\n", "x-trailer: value\r\n".repeat(100))
        }
        Behaviour::EndlessHead => Script::endless(head, "x-header: value\r\n".repeat(100)),
        Behaviour::UnfinishedBody => Script {
            max_bytes: longest - 1,
            ..Script::endless(format!("{head}content-length: {longest}\r\n\r\n"), filler)
        },
        Behaviour::UnfinishedChunks => Script {
            max_bytes: longest / CHUNK_BYTES * chunk.len() - 1,
            ..Script::endless(chunked, chunk)
        },
        Behaviour::Idle => Script::opening(""),
        Behaviour::PartialHead => Script::opening(head),
        Behaviour::PartialBody => {
            Script::opening(format!("{head}content-length: 1000\r\n\r\n{{\"half\":"))
        }
        _ => internal_script(listener, behaviour),
    }
}

fn internal_script(listener: Listener, behaviour: Behaviour) -> Script {
    let role = match listener {
        Listener::MemberInternal => ClientRole::Observer,
        _ => ClientRole::StoreClient,
    };
    let hello = Frame::Hello(Hello {
        version: PROTOCOL_VERSION,
        role,
        id: 77,
    });
    let hello = encode_frame(&hello).expect("a hello is short");
    let filler = vec![3; CHUNK_BYTES];
    let length = u32::try_from(MAX_FRAME_BYTES).expect("the longest frame has 32 bits");
    let unfinished = |opening: Vec<u8>| Script {
        max_bytes: MAX_FRAME_BYTES - 1,
        ..Script::endless(
            [opening, length.to_be_bytes().to_vec()].concat(),
            filler.clone(),
        )
    };
    match behaviour {
        Behaviour::FrameBeforeHello => unfinished(Vec::new()),
        Behaviour::FrameAfterHello => unfinished(hello),
        Behaviour::HelloOnly => Script::opening(hello),
        Behaviour::UnreadResponses => {
            let request = encode_frame(&Frame::request(1, vec![0xFF; 8]));
            Script::endless(hello, request.expect("a request is short").repeat(500))
        }
        _ => Script::endless("", vec![0xFF; CHUNK_BYTES]),
    }
}
