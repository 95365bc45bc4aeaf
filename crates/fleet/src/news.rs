//! What a process asks a control member, and what it is told.

use crate::backend::BackendReport;
use crate::document::VersionedDocument;
use crate::presence::Presence;
use crate::view::StoreView;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// What a process has already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// Version of its document; 0 for none.
    pub document_version: u64,
    /// Whether it has heard from a member that hears its leader.
    pub is_current: bool,
    /// Epoch of its view of the stores.
    pub store_epoch: u64,
    /// Fingerprint of its list of backends, 0 for none; `None` when it needs no list.
    pub backends: Option<u64>,
}

/// Says who asks and what it knows; answered at news, or after a while.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Who asks.
    pub presence: Presence,
    /// What it has already.
    pub known: Known,
}

/// What is new for an observer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Whether the member hears a leader that a quorum follows. What a member says that does
    /// not may be out of date.
    pub fresh: bool,
    /// A newer document.
    pub document: Option<VersionedDocument>,
    /// A newer view of the stores.
    pub stores: Option<StoreView>,
    /// The list of backends, from the member that polls the platform.
    pub backends: Option<BackendReport>,
    /// Number of gateways that share the backends' limits.
    pub gateways: u32,
    /// Addresses of all control members.
    pub members: Vec<Ipv4Addr>,
}
