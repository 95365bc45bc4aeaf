//! Observes the control members on behalf of a gateway or a turn store.
//!
//! The observer asks every member it knows, each over a link of its own, again and again: so it
//! hears news from whichever member has them first, and a member that is cut off delays nothing.
//! Its questions carry the process's own word, so every member knows who is there.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod observer;

pub use observer::{Observer, ObserverConfig, Subject};
