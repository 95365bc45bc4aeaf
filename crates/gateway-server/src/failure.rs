//! Why a send to a replica brought no answer that can be given on.

use luglink_edge::SendOutcome;

/// What went wrong with a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection to the replica came up.
    Unreachable,
    /// All connections that this gateway may have to the replica are in use.
    NoFreeConnection,
    /// Several kept connections in a row had been closed.
    ConnectionsClosed,
    /// The connection was closed before anything was sent.
    ConnectionClosed,
    /// The request cannot be put on the wire.
    Unsendable,
    /// The replica had no room, or too little time was left.
    Declined,
    /// The replica is not the one that the request is for.
    Misdirected,
    /// The connection broke after the request was sent.
    Broken,
    /// The caller's time was over.
    NoAnswerInTime,
    /// The answer names another request.
    ForeignAnswer,
    /// The answer names no request.
    UnnamedAnswer,
    /// A success without the replica's signature.
    UnsignedAnswer,
    /// A body in an encoding that nobody asked for.
    EncodedAnswer,
    /// The answer ended early.
    CutAnswer,
    /// The replica would not go on with a stream.
    NotResumed,
}

impl Failure {
    /// Whether the request may have run.
    pub(crate) fn outcome(self) -> SendOutcome {
        match self {
            Self::Unreachable
            | Self::NoFreeConnection
            | Self::ConnectionsClosed
            | Self::ConnectionClosed
            | Self::Unsendable => SendOutcome::NotSent,
            Self::Declined | Self::Misdirected => SendOutcome::Declined,
            Self::Broken
            | Self::NoAnswerInTime
            | Self::ForeignAnswer
            | Self::UnnamedAnswer
            | Self::UnsignedAnswer
            | Self::EncodedAnswer
            | Self::CutAnswer
            | Self::NotResumed => SendOutcome::Uncertain,
        }
    }

    /// Whether the replica only had no room for the request.
    pub(crate) fn is_full(self) -> bool {
        matches!(self, Self::Declined | Self::NoFreeConnection)
    }

    /// Its name in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::NoFreeConnection => "no_free_connection",
            Self::ConnectionsClosed => "connections_closed",
            Self::ConnectionClosed => "connection_closed",
            Self::Unsendable => "unsendable",
            Self::Declined => "declined",
            Self::Misdirected => "misdirected",
            Self::Broken => "broken",
            Self::NoAnswerInTime => "no_answer_in_time",
            Self::ForeignAnswer => "foreign_answer",
            Self::UnnamedAnswer => "unnamed_answer",
            Self::UnsignedAnswer => "unsigned_answer",
            Self::EncodedAnswer => "encoded_answer",
            Self::CutAnswer => "cut_answer",
            Self::NotResumed => "not_resumed",
        }
    }
}
