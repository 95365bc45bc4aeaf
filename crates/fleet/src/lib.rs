//! Membership and discovery data of a deployment, as pure data types and state machines.
//!
//! The control members replicate a versioned configuration document and the registry of turn
//! stores. Everything else here is soft state: the presence of gateways and stores, and the list
//! of replicas. Soft state is refreshed often and expires when it is not.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod backend;
mod backend_list;
mod document;
mod incarnation;
mod list_copy;
mod list_history;
mod list_reading;
mod members;
mod naming;
mod news;
mod placement;
mod presence;
mod registry;
mod shrinking;
mod sight;
mod view;
mod zone_load;
mod zone_sights;

pub use backend::{Backend, BackendId};
pub use backend_list::{BackendChanges, BackendList, BackendPatch, ListDigest};
pub use document::{DocumentStore, VersionedDocument};
pub use incarnation::{Incarnation, KnownIncarnations, ReplicaIncarnation};
pub use list_copy::{BackendReport, BackendUpdate, KnownList, ListCopy};
pub use list_history::ListHistory;
pub use list_reading::{ListReader, ListReading, ReadingRates};
pub use members::{
    Contact, FIRST_TELLERS, MemberList, MemberPlace, MembersStamp, NEAR_MEMBERS, ObserverPlace,
};
pub use naming::{GatewayPlace, NamedGateways, named_gateways};
pub use news::{Known, News, Observation};
pub use placement::owners;
pub use presence::{
    GatewayPresence, HeardGateway, HeardStore, MemberPresence, Presence, PresenceTable, Role,
    StorePresence,
};
pub use registry::{RetireAnswer, RetireState, StoreCommand, StoreRegistry};
pub use shrinking::SlowlyShrinking;
pub use sight::{MAX_SIGHTS, ReplicaKey, ReplicaSight, Sights};
pub use view::{StoreMember, StoreName, StoreState, StoreView};
pub use zone_load::{GatewayLoad, ServiceLoad};
pub use zone_sights::{GatewaySights, MemberSights, SightTable, ZoneSights};
