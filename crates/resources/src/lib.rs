//! The replicated configuration: operators' resources under one rising revision.
//!
//! [`ResourceStore`] is a deterministic state machine like the program store. Every accepted
//! change raises the revision by one; a change names the revision it was made against and is
//! refused when another change came first; a change that is sent again gets its first answer.
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
