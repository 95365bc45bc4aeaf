//! Requests to a control member and its responses.

use luglink_fleet::{
    ObserverRequest, ObserverUpdate, RelayedPresence, RetireResponse, StoreName, VersionedDocument,
};
use luglink_program::{Command, ProgramView, Reply};
use luglink_raft::{LogIndex, Membership, MembershipChange, Peer, Term};
use luglink_resources::{CatchUp, Change, ChangeResponse};
use luglink_types::{EngineId, GroupId, MemberId, ProgramId, Revision};
use serde::{Deserialize, Serialize};

/// Names one request of one client of a member; replies carry it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestToken {
    /// The client, as the shell numbers them.
    pub client: u64,
    /// The client's number for the request.
    pub request: u64,
}

/// What a client asks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Applies a command in the group that holds its program.
    Program(Command),
    /// A linearizable look at a program.
    View(ProgramId),
    /// The configuration after `known`.
    WatchConfiguration {
        /// The revision that the client has.
        known: Revision,
        /// Whether to hold the request open for a while when there are no news.
        hold: bool,
    },
    /// A linearizable read of the configuration after `known`.
    ReadConfiguration {
        /// The revision that the client has.
        known: Revision,
    },
    /// Changes the configuration.
    Change(Change),
    /// How this member is.
    Status,
    /// Changes the members of a group.
    ChangeMembership {
        /// The group.
        group: GroupId,
        /// The change.
        change: MembershipChange,
    },
    /// Hands over leadership of every group, for a planned stop.
    TransferLeadership,
    /// Puts a configuration document in force, unless one of its version or above is.
    PutDocument(VersionedDocument),
    /// A linearizable read of the configuration document.
    ReadDocument,
    /// Says who asks and what it knows; answered at news or after a while.
    Observe(Box<ObserverRequest>),
    /// Words of gateways that another member of the zone has heard.
    HearGateways(Vec<RelayedPresence>),
    /// A member that the configuration group does not contain wants to be let in.
    Join(Peer),
    /// Empties a turn store.
    Retire(StoreName),
    /// A linearizable look at the retirement of a turn store.
    ReadRetirement(StoreName),
}

/// The response to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The command was applied.
    Program(Reply),
    /// The program, if there is one.
    View(Option<Box<ProgramView>>),
    /// The configuration after the client's revision.
    Configuration(CatchUp),
    /// The answer to a change.
    Change(ChangeResponse),
    /// How this member is.
    Status(MemberStatus),
    /// Done.
    Done,
    /// The document in force.
    Document(Option<VersionedDocument>),
    /// A document was put; this version is held now.
    DocumentHeld {
        /// The held version.
        version: u64,
    },
    /// What is new for an observer.
    ObserverUpdate(Box<ObserverUpdate>),
    /// How far the retirement of a turn store is.
    Retirement(RetireResponse),
    /// Another member leads the group; nothing is known of whether an earlier send of the same
    /// request took effect. Every request may be sent again.
    NotLeader {
        /// The group.
        group: GroupId,
        /// Who leads it, when known.
        leader: Option<MemberId>,
    },
    /// This member cannot answer now; another one may.
    Unavailable {
        /// Why.
        reason: String,
    },
}

/// How one group is at one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group.
    pub group: GroupId,
    /// Current term.
    pub term: Term,
    /// Leader, when known.
    pub leader: Option<MemberId>,
    /// Last committed entry.
    pub commit: LogIndex,
    /// Entries after the snapshot.
    pub log_entries: u64,
    /// Members of the group.
    pub membership: Membership,
}

/// How a member is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member.
    pub member: MemberId,
    /// Incarnation of its storage.
    pub incarnation: u64,
    /// Revision of the configuration it has applied.
    pub revision: Revision,
    /// Programs in the groups it holds, ended ones within their retention included.
    pub programs: u64,
    /// Engine memory that is still to be released, in groups it leads.
    pub pending_releases: u64,
    /// Its groups.
    pub groups: Vec<GroupStatus>,
}

/// Orders carry a fence: an engine refuses one that is lower than the highest it has seen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// Term of the leader that gave the order.
    pub epoch: u64,
    /// Number of the order within the term.
    pub sequence: u64,
}

/// Tells an engine to give up what it holds of an ended program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseOrder {
    /// The program.
    pub program: ProgramId,
    /// The engine.
    pub engine: EngineId,
    /// The engine's address in the configuration; `None` when it is no longer configured.
    pub address: Option<String>,
    /// The fence.
    pub fence: Fence,
}
