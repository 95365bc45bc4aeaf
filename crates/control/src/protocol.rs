//! Requests to a control member, and its responses.

use luglink_fleet::{
    ObserverRequest, ObserverUpdate, RelayedPresence, RetireResponse, StoreName, VersionedDocument,
};
use luglink_program::{Command, ProgramView, Reply};
use luglink_raft::{LogIndex, Membership, MembershipChange, Peer, Term};
use luglink_resources::{CatchUp, Change, ChangeResponse};
use luglink_types::{EngineId, GroupId, MemberId, ProgramId, Revision};
use serde::{Deserialize, Serialize};

/// Identifies one request of one client of a member. The reply carries the same token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestToken {
    /// Number that the server assigned to the client's connection.
    pub client: u64,
    /// Number that the client assigned to the request.
    pub request: u64,
}

/// A request of a client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Applies a command in the group that holds its program.
    Program(Command),
    /// Linearizable read of a program.
    View(ProgramId),
    /// Changes of the configuration after the revision `known`, as this member has applied them.
    WatchConfiguration {
        /// Revision that the client has.
        known: Revision,
        /// Holds the request open for up to `watch_hold` while there is no newer revision.
        hold: bool,
    },
    /// Linearizable read of the changes of the configuration after the revision `known`.
    ReadConfiguration {
        /// Revision that the client has.
        known: Revision,
    },
    /// Changes the configuration.
    Change(Change),
    /// Status of this member.
    Status,
    /// Changes the members of a group.
    ChangeMembership {
        /// The group.
        group: GroupId,
        /// The change.
        change: MembershipChange,
    },
    /// Transfers leadership of every group that this member leads, before a planned stop.
    TransferLeadership,
    /// Replaces the configuration document, unless the current version is the same or newer.
    PutDocument(VersionedDocument),
    /// Linearizable read of the configuration document.
    ReadDocument,
    /// Long poll: reports the observer's presence and what it knows. Answered when something is
    /// new for it, or at the end of the hold.
    Observe(Box<ObserverRequest>),
    /// Relays the presences of the gateways that report to another member of the zone.
    RelayGatewayPresences(Vec<RelayedPresence>),
    /// Asks for admission to the configuration group.
    Join(Peer),
    /// Starts the retirement of a turn store.
    Retire(StoreName),
    /// Linearizable read of the retirement state of a turn store.
    ReadRetirement(StoreName),
}

/// Response to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// Result of an applied program command.
    Program(Reply),
    /// The program; `None` if it does not exist.
    View(Option<Box<ProgramView>>),
    /// Changes of the configuration after the client's revision.
    Configuration(CatchUp),
    /// Result of a change of the configuration.
    Change(ChangeResponse),
    /// Status of this member.
    Status(MemberStatus),
    /// The request was accepted and has no other result.
    Done,
    /// The current document; `None` if none was put yet.
    Document(Option<VersionedDocument>),
    /// Result of a put document, which does not replace one of the same or a newer version.
    DocumentHeld {
        /// Version of the current document.
        version: u64,
    },
    /// Updates for an observer.
    ObserverUpdate(Box<ObserverUpdate>),
    /// Retirement state of a turn store.
    Retirement(RetireResponse),
    /// This member does not lead the group. Whether an earlier attempt of the same request took
    /// effect is unknown; all requests are safe to retry.
    NotLeader {
        /// The group.
        group: GroupId,
        /// Its leader, if known and not this member.
        leader: Option<MemberId>,
    },
    /// This member cannot serve the request now; another member may.
    Unavailable {
        /// Description of the cause.
        reason: String,
    },
}

/// Status of one group at one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group.
    pub group: GroupId,
    /// Current term.
    pub term: Term,
    /// Leader, if known.
    pub leader: Option<MemberId>,
    /// Index of the last committed entry.
    pub commit: LogIndex,
    /// Number of log entries after the snapshot.
    pub log_entries: u64,
    /// Members of the group.
    pub membership: Membership,
}

/// Status of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member.
    pub member: MemberId,
    /// Incarnation of its storage.
    pub incarnation: u64,
    /// Revision of the configuration that it has applied.
    pub revision: Revision,
    /// Number of programs in its groups, including ended programs within their retention.
    pub programs: u64,
    /// Number of release orders that engines have not confirmed, in the groups that it leads.
    pub pending_releases: u64,
    /// Status of its groups.
    pub groups: Vec<GroupStatus>,
}

/// Fencing token of an order. An engine refuses an order whose fence is lower than the highest that
/// it has seen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// Term of the leader that gave the order.
    pub epoch: u64,
    /// Sequence number of the order within the term.
    pub sequence: u64,
}

/// Order to an engine to release the memory of an ended program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseOrder {
    /// The program.
    pub program: ProgramId,
    /// The engine.
    pub engine: EngineId,
    /// Address of the engine in the configuration; `None` if it is no longer configured.
    pub address: Option<String>,
    /// Fencing token of the order.
    pub fence: Fence,
}
