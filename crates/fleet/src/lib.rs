//! What the processes of a deployment know of each other, as pure data and state machines.
//!
//! The control members replicate a versioned configuration document and the registry of turn
//! stores. Everything else here is soft: presence of gateways and stores, and the list of
//! backends. Each of them is repeated often and forgotten when it is not.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod backend;
mod document;
mod members;
mod naming;
mod news;
mod placement;
mod presence;
mod registry;
mod view;

pub use backend::{
    Backend, BackendChanges, BackendHistory, BackendId, BackendList, BackendReport, BackendUpdate,
};
pub use document::{DocumentStore, VersionedDocument};
pub use members::{FIRST_TELLERS, MemberList, MemberPlace, MembersStamp, ObserverPlace};
pub use naming::{GatewayPlace, named_gateways};
pub use news::{Known, News, Observation};
pub use placement::owners;
pub use presence::{GatewayPresence, HeardStore, Presence, PresenceTable, Role, StorePresence};
pub use registry::{RetireAnswer, RetireState, StoreCommand, StoreRegistry};
pub use view::{StoreMember, StoreName, StoreState, StoreView};
