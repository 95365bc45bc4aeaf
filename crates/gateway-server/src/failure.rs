//! Reasons why a send to a replica produced no response that can be passed on.

use luglink_edge::SendOutcome;

/// Reason of a failed send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// Too many replicas have ended, or may still end, while they run the request.
    CrashLimit,
    /// Connecting to the replica failed.
    Unreachable,
    /// All connections that this gateway may open to the replica are in use.
    NoFreeConnection,
    /// Several reused connections in a row had been closed by the replica.
    ConnectionsClosed,
    /// The connection was closed before anything was sent.
    ConnectionClosed,
    /// The request cannot be encoded, for example because of an invalid header value.
    Unsendable,
    /// The replica declined the request: it had no capacity, or too little time was left.
    Declined,
    /// The request reached a replica other than the expected one.
    Misdirected,
    /// The replica's process is not the one in the list, and may have another software version.
    Restarted,
    /// The connection broke after the request was sent.
    Broken,
    /// The deadline passed before the response.
    NoAnswerInTime,
    /// The response has a status that no final response to the request has.
    ImpossibleStatus,
    /// The response carries the identifier of another request.
    ForeignAnswer,
    /// The response carries no request identifier.
    UnnamedAnswer,
    /// The response is a success without the replica's signature.
    UnsignedAnswer,
    /// The body has a content encoding that was not requested.
    EncodedAnswer,
    /// The response ended early, or holding it would exceed the memory limit.
    CutAnswer,
    /// The replica did not resume a stream.
    NotResumed,
}

impl Failure {
    /// Classifies the failure by whether the request may have run.
    pub(crate) fn outcome(self) -> SendOutcome {
        match self {
            Self::CrashLimit
            | Self::Unreachable
            | Self::NoFreeConnection
            | Self::ConnectionsClosed
            | Self::ConnectionClosed
            | Self::Restarted
            | Self::Unsendable => SendOutcome::NotSent,
            Self::Declined | Self::Misdirected => SendOutcome::Declined,
            Self::Broken
            | Self::NoAnswerInTime
            | Self::ImpossibleStatus
            | Self::ForeignAnswer
            | Self::UnnamedAnswer
            | Self::UnsignedAnswer
            | Self::EncodedAnswer
            | Self::CutAnswer
            | Self::NotResumed => SendOutcome::Uncertain,
        }
    }

    /// Returns true if the replica only lacked capacity or connections for the request.
    pub(crate) fn is_full(self) -> bool {
        matches!(self, Self::Declined | Self::NoFreeConnection)
    }

    /// Returns the name used in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::CrashLimit => "crash_limit",
            Self::Unreachable => "unreachable",
            Self::NoFreeConnection => "no_free_connection",
            Self::ConnectionsClosed => "connections_closed",
            Self::ConnectionClosed => "connection_closed",
            Self::Unsendable => "unsendable",
            Self::Declined => "declined",
            Self::Misdirected => "misdirected",
            Self::Restarted => "restarted",
            Self::Broken => "broken",
            Self::NoAnswerInTime => "no_answer_in_time",
            Self::ImpossibleStatus => "impossible_status",
            Self::ForeignAnswer => "foreign_answer",
            Self::UnnamedAnswer => "unnamed_answer",
            Self::UnsignedAnswer => "unsigned_answer",
            Self::EncodedAnswer => "encoded_answer",
            Self::CutAnswer => "cut_answer",
            Self::NotResumed => "not_resumed",
        }
    }
}
