//! Limit on the connections of a listener.
//!
//! At the limit, a new connection takes the place of the one that has waited longest for its peer:
//! one that is idle, or whose request has not arrived completely. A peer that opens connections and
//! sends nothing then keeps nobody out, and no request that runs is cut. If none waits, the new
//! connection is refused.

use std::collections::{BTreeMap, HashMap};

/// Identifier of a connection; increases with each one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// Result of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Accepted.
    Accepted(ConnectionId),
    /// Accepted in place of a connection that must be closed.
    InPlaceOf {
        /// The new connection.
        accepted: ConnectionId,
        /// The connection to close. It is not counted any more.
        closed: ConnectionId,
    },
    /// Refused, because no connection waits for its peer.
    Refused,
}

/// Open connections of a listener.
#[derive(Clone, Debug, Default)]
pub struct ConnectionTable {
    next_id: u64,
    next_wait: u64,
    /// Start of the wait of each open connection; `None` while its request runs.
    open: HashMap<ConnectionId, Option<u64>>,
    /// Connections that wait for their peers, by the start of the wait.
    waiting: BTreeMap<u64, ConnectionId>,
}

impl ConnectionTable {
    /// Adds a connection, of which there may be `limit`. It waits for its peer.
    pub fn open(&mut self, limit: usize) -> Admission {
        let closed = if self.open.len() < limit {
            None
        } else {
            let Some((_, longest)) = self.waiting.pop_first() else {
                return Admission::Refused;
            };
            self.open.remove(&longest);
            Some(longest)
        };
        let accepted = ConnectionId(self.next_id);
        self.next_id += 1;
        self.open.insert(accepted, None);
        self.set_waiting(accepted);
        match closed {
            None => Admission::Accepted(accepted),
            Some(closed) => Admission::InPlaceOf { accepted, closed },
        }
    }

    /// Marks a connection that waits for its peer from now on.
    pub fn set_waiting(&mut self, id: ConnectionId) {
        let Some(wait) = self.open.get_mut(&id) else {
            return;
        };
        let began = self.next_wait;
        self.next_wait += 1;
        if let Some(previous) = wait.replace(began) {
            self.waiting.remove(&previous);
        }
        self.waiting.insert(began, id);
    }

    /// Marks a connection whose request has arrived completely and runs.
    pub fn set_running(&mut self, id: ConnectionId) {
        let wait = self.open.get_mut(&id).and_then(Option::take);
        if let Some(began) = wait {
            self.waiting.remove(&began);
        }
    }

    /// Removes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(Some(began)) = self.open.remove(&id) {
            self.waiting.remove(&began);
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.open.len()
    }
}
