//! The things of a simulated fleet that send messages to each other.

use std::fmt;

/// One process, or the callers of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    /// A control member, by its place.
    Control(usize),
    /// A daemon, by its place.
    Daemon(usize),
    /// A model engine, by its place.
    Engine(usize),
    /// A replica of the plain service, by its place.
    Service(usize),
    /// The callers of a zone.
    Callers(usize),
    /// The operators.
    Operators,
}

impl Node {
    /// A number that differs between nodes, for digests.
    #[must_use]
    pub fn code(self) -> u64 {
        let (kind, index) = match self {
            Self::Control(index) => (1, index),
            Self::Daemon(index) => (2, index),
            Self::Engine(index) => (3, index),
            Self::Service(index) => (4, index),
            Self::Callers(index) => (5, index),
            Self::Operators => (6, 0),
        };
        (kind << 32) | index as u64
    }
}

impl fmt::Display for Node {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Control(index) => write!(formatter, "control/{index}"),
            Self::Daemon(index) => write!(formatter, "daemon/{index}"),
            Self::Engine(index) => write!(formatter, "engine/{index}"),
            Self::Service(index) => write!(formatter, "service/{index}"),
            Self::Callers(index) => write!(formatter, "callers/{index}"),
            Self::Operators => write!(formatter, "operators"),
        }
    }
}
