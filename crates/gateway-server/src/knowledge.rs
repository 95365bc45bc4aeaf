//! What a gateway needs to know before it may send a request.

use luglink_turns::MAX_CRASHES;

/// Holders of crash reports that have told a gateway all reports of a request.
///
/// Turn stores and control members are two groups of holders, and a quorum of one does not contain a
/// holder of the other. So the ends that a request may cause are divided among them: gateways that one
/// group has told send it while fewer ends are known than the share of the group, and the last end of
/// all needs both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Knowledge {
    /// Neither group has a quorum that answers.
    None,
    /// A majority of the control members.
    Members,
    /// A quorum of the turn stores that own the reports of the request.
    Stores,
    /// Both, and each has the reports of the other.
    Both,
}

impl Knowledge {
    /// Returns the number of crashes under a request from which on it is not sent.
    pub(crate) fn max_crashes(self) -> usize {
        match self {
            Self::None => 0,
            Self::Members => 1,
            Self::Stores => MAX_CRASHES - 1,
            Self::Both => MAX_CRASHES,
        }
    }
}
