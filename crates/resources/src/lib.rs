//! Replicated configuration: the operators' resources, under one increasing revision.
//!
//! [`ResourceStore`] is a deterministic state machine. Each accepted change increments the revision.
//! A change may require a revision, and is rejected if that is not the current one. A change that
//! is sent again gets the first response again.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod change;
mod errors;
mod resource;
mod store;
mod validate;
mod view;

pub use change::{Change, ChangeResponse, Delta, Operation, RevisionPrecondition};
pub use errors::Violation;
pub use resource::{
    Adapter, BudgetPolicy, ModelPool, PriorityLevel, ProgramClass, Replica, Resource, ResourceKey,
    ResourceKind, Service, Tenant,
};
pub use store::{CatchUp, ResourceStore};
pub use validate::validate_change;
pub use view::ConfigurationView;
