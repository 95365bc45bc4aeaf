//! Ways in which replicas end.

/// How the end of a replica shows at its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// All connections close at once.
    AtOnce,
    /// The request's connection closes, the others a little later.
    ConnectionsInTurn,
    /// The request's connection closes, the process ends a little later.
    AfterBreak,
    /// All connections stay open and silent. New ones are refused.
    Silent,
    /// Sends a whole response with status 500. The process ends a little later.
    AfterError,
    /// Sends a whole response and bytes beyond its length. The process ends a little later.
    AfterSurplus,
    /// Sends bytes that are no HTTP. The process ends a little later.
    AfterNoise,
    /// Sends a part of a response. The process ends a little later.
    AfterCut,
    /// Sends a response to another request. The process ends a little later.
    AfterForeign,
    /// Sends nothing until the gateway closes the connection. The process ends a little later.
    AfterGivenUp,
    /// The request's connection closes, the others a little later. The process starts
    /// again at once under the same identifier and address, which its list entry does not show.
    Restart,
}
