//! Client by which a gateway or a turn store observes the control members.
//!
//! The observer continuously queries a few members over one connection each: some in its zone, one
//! in another zone, and, for a turn store, the leader. So it gets each update from the first member
//! that has it, and an unreachable member is replaced by another without delaying updates. Each
//! request contains the presence of the process, so that requests are heartbeats too.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod observer;

pub use observer::{AskedMember, ListSource, Observer, ObserverConfig, ObserverDelegate};
