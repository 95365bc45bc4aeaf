//! Membership and discovery data of a deployment, as pure data types and state machines.
//!
//! The control members replicate a versioned configuration document and the registry of turn
//! stores. Everything else here is soft state: the presence of gateways and stores, and the list
//! of replicas. Soft state is refreshed often and expires when it is not.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod advertised;
mod attribute_history;
mod backend;
mod backend_list;
mod decaying_peak;
mod document;
mod incarnation;
mod list_copy;
mod list_history;
mod list_schedule;
mod members;
mod observer_protocol;
mod placement;
mod presence;
mod registry;
mod replica_stats;
mod software_version;
mod store_plan;
mod stream_origin;
mod view;
mod zone_load;
mod zone_stats;

pub use advertised::{AdvertisedCount, GatewayLocation, advertised_gateways};
pub use backend::{Backend, BackendId};
pub use backend_list::{BackendChanges, BackendList, BackendPatch, ListDigest};
pub use decaying_peak::DecayingPeak;
pub use document::{DocumentStore, VersionedDocument};
pub use incarnation::{Incarnation, KnownIncarnations, ReplicaIncarnation};
pub use list_copy::{BackendReport, BackendUpdate, KnownList, ListCopy};
pub use list_history::ListHistory;
pub use list_schedule::{ListReadLimits, ListReadSchedule, ListReader};
pub use members::{
    Contact, IMMEDIATE_DOCUMENT_SENDERS, MAX_NEAR_MEMBERS, MemberList, MemberLocation,
    MembersStamp, ObserverInfo,
};
pub use observer_protocol::{KnownVersions, ObserverRequest, ObserverUpdate};
pub use placement::{owner_disks, owners, settled_owners};
pub use presence::{
    GatewayPresence, LastStorePresence, MemberPresence, Presence, PresenceTable, RelayedPresence,
    Role, StorePresence,
};
pub use registry::{RetireResponse, RetireState, SettlementState, StoreCommand, StoreRegistry};
pub use replica_stats::{MAX_REPLICA_STATS, ReplicaKey, ReplicaStats, StatsReport};
pub use software_version::{KnownReplicaVersions, ReplicaVersion, SoftwareVersion};
pub use store_plan::{SettlementProgress, StoreLimits, StorePlanner, StoreSituation};
pub use stream_origin::StreamOrigin;
pub use view::{DiskId, SettledStores, StoreMember, StoreName, StoreState, StoreView};
pub use zone_load::{GatewayLoad, ServiceLoad};
pub use zone_stats::{MemberStats, StatsSource, StatsTable, ZoneStats};
