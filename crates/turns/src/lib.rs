//! Turns that were said and tokens that were spent, kept on several stores without a leader.
//!
//! A turn never changes once it is written, and an account only grows: so copies need no order
//! among writes, and any store that can be reached serves. A write counts once enough stores
//! have it on disk to survive the losses that the deployment tolerates; what a reader does not
//! find on one store it looks for on the others.
//!
//! [`StoreNode`] is one store as pure logic over a [`Disk`]; the rules for those who write to
//! several of them are in [`Replication`].
//!
//! [`Disk`]: luglink_storage::Disk
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod account;
mod admission;
mod errors;
mod hand_over;
mod journal;
mod node;
mod protocol;
mod record;
mod replication;
mod state;

pub use account::{Account, Spend};
pub use admission::BudgetDecision;
pub use errors::TurnsError;
pub use node::{Output, RequestToken, StoreConfig, StoreNode};
pub use protocol::{Chain, ChainQuery, StoreRequest, StoreResponse};
pub use record::{ProgramName, TurnId, TurnRecord};
pub use replication::{AbsenceProof, Replication};
