//! Observes the control members on behalf of a gateway or a turn store.
//!
//! The observer asks a few members, over a link each, again and again: the leader, those of its
//! zone and one elsewhere. So it hears news from whichever member has them first, and a member that
//! is cut off delays nothing: others take its place. Its questions carry the process's own word, so
//! the members that it asks know that it is there, and the leader knows of every process.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod observer;

pub use observer::{AskedMember, ListSource, Observer, ObserverConfig, ObserverDelegate};
