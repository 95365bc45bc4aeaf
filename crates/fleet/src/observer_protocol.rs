//! Requests of observers to a control member, and its responses.

use crate::document::VersionedDocument;
use crate::list_copy::{BackendReport, KnownList};
use crate::members::{MemberList, MembersStamp};
use crate::presence::Presence;
use crate::view::StoreView;
use crate::zone_load::GatewayLoad;
use serde::{Deserialize, Serialize};

/// Versions of the data that an observer has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersions {
    /// Version of its document; 0 for none.
    pub document_version: u64,
    /// True if it has received a response from a member that has a leader.
    pub is_current: bool,
    /// Epoch of its store view.
    pub store_epoch: u64,
    /// State of its replica list; `None` if the queried member need not send the list.
    pub backends: Option<KnownList>,
    /// Version of its member list.
    pub members: MembersStamp,
}

/// Long poll of an observer: answered when there is an update, or after a timeout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObserverRequest {
    /// Presence of the observer.
    pub presence: Presence,
    /// Versions of the data that it has.
    pub known: KnownVersions,
    /// True if the queried member must send a new document without delay. Otherwise it leaves other
    /// members time to send it first.
    pub wants_document_at_once: bool,
    /// True if the queried member is the one that counts this observer. Every observer is counted
    /// by one member.
    pub is_counted_here: bool,
}

/// Response to an [`ObserverRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObserverUpdate {
    /// True if the member has a leader with a quorum. The response of a member without one may be
    /// stale.
    pub fresh: bool,
    /// A newer document.
    pub document: Option<VersionedDocument>,
    /// A newer store view.
    pub stores: Option<StoreView>,
    /// The replica list, if the observer requested it and the member has a newer one.
    pub backends: Option<BackendReport>,
    /// Number of gateways that share the replicas' limits, as summed by the leader; 0 while
    /// unknown.
    pub gateways: u32,
    /// Load of all gateways of the observer's zone, sent by the member that counts the observer.
    pub zone_load: Option<GatewayLoad>,
    /// A newer member list.
    pub members: Option<MemberList>,
}
