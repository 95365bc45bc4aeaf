//! What a process asks a control member, and what it is told.

use crate::document::VersionedDocument;
use crate::list_copy::{BackendReport, KnownList};
use crate::members::{MemberList, MembersStamp};
use crate::presence::Presence;
use crate::view::StoreView;
use crate::zone_load::GatewayLoad;
use serde::{Deserialize, Serialize};

/// What a process has already.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersions {
    /// Version of its document; 0 for none.
    pub document_version: u64,
    /// Whether it has heard from a member that hears its leader.
    pub is_current: bool,
    /// Epoch of its view of the stores.
    pub store_epoch: u64,
    /// Its list of backends; `None` when the member that is asked need not tell it.
    pub backends: Option<KnownList>,
    /// How new its list of members is.
    pub members: MembersStamp,
}

/// Says who asks and what it knows; answered at news, or after a while.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObserverRequest {
    /// Who asks.
    pub presence: Presence,
    /// What it has already.
    pub known: KnownVersions,
    /// Whether the member that is asked should tell it of a new document at once. Otherwise
    /// others do so first, and this member only when they have had time for it.
    pub wants_document_at_once: bool,
    /// Whether the member that is asked is the one that counts this process.
    pub is_counted_here: bool,
}

/// What is new for an observer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObserverUpdate {
    /// Whether the member hears a leader that a quorum follows. What a member says that does
    /// not may be out of date.
    pub fresh: bool,
    /// A newer document.
    pub document: Option<VersionedDocument>,
    /// A newer view of the stores.
    pub stores: Option<StoreView>,
    /// The list of backends, when the observer asks for it and the member has a newer one.
    pub backends: Option<BackendReport>,
    /// Number of gateways that share the backends' limits, as the leader has summed it; 0 while
    /// that is not known.
    pub gateways: u32,
    /// What the gateways of the observer's zone have to do together, from the member that counts
    /// the observer.
    pub zone_load: Option<GatewayLoad>,
    /// A newer list of the control members.
    pub members: Option<MemberList>,
}
