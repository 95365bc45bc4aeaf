//! Open connections of a listener, within its limit.

use crate::metrics::ConnectionMetrics;
use luglink_limits::{Admission, ConnectionId, ConnectionTable, ListenerKind};
use prometheus::IntCounter;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Minimum time between two log lines about closed connections of a listener.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Open connections of a listener.
#[derive(Debug)]
pub struct Connections {
    listener: ListenerKind,
    table: RefCell<ConnectionTable>,
    close_signals: RefCell<HashMap<ConnectionId, Rc<Notify>>>,
    closed: IntCounter,
    /// Connections that were closed or refused since the last log line.
    unlogged: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
}

impl Connections {
    /// Creates the connections of a listener, of which none is open.
    #[must_use]
    pub fn new(listener: ListenerKind, metrics: &ConnectionMetrics) -> Rc<Self> {
        Rc::new(Self {
            listener,
            table: RefCell::default(),
            close_signals: RefCell::default(),
            closed: metrics.closed(listener),
            unlogged: Cell::new(0),
            logged_at: Cell::new(None),
        })
    }

    /// Adds a connection, of which there may be `limit`; another one that waits for its peer may have to
    /// give way. Returns `None` if the connection is refused.
    #[must_use]
    pub fn open(self: &Rc<Self>, limit: usize) -> Option<ConnectionGuard> {
        let admission = self.table.borrow_mut().open(limit);
        let id = match admission {
            Admission::Accepted(id) => id,
            Admission::InPlaceOf { accepted, closed } => {
                if let Some(signal) = self.close_signals.borrow_mut().remove(&closed) {
                    signal.notify_one();
                }
                self.note_closed(limit);
                accepted
            }
            Admission::Refused => {
                self.note_closed(limit);
                return None;
            }
        };
        let close_signal = Rc::new(Notify::new());
        let mut signals = self.close_signals.borrow_mut();
        signals.insert(id, Rc::clone(&close_signal));
        Some(ConnectionGuard {
            connections: Rc::clone(self),
            id,
            close_signal,
        })
    }

    fn note_closed(&self, limit: usize) {
        self.closed.inc();
        self.unlogged.set(self.unlogged.get() + 1);
        let now = Instant::now();
        let last = self.logged_at.get();
        if last.is_some_and(|last| now.duration_since(last) < LOG_INTERVAL) {
            return;
        }
        self.logged_at.set(Some(now));
        tracing::warn!(
            listener = self.listener.as_str(),
            limit,
            closed = self.unlogged.take(),
            "connections closed: the listener has too many"
        );
    }
}

/// Open connection. Dropping the guard closes its place.
#[derive(Debug)]
pub struct ConnectionGuard {
    connections: Rc<Connections>,
    id: ConnectionId,
    close_signal: Rc<Notify>,
}

impl ConnectionGuard {
    /// Marks the connection as one that waits for its peer from now on.
    pub fn set_waiting(&self) {
        self.connections.table.borrow_mut().set_waiting(self.id);
    }

    /// Marks the connection as one whose request has arrived completely and runs.
    pub fn set_running(&self) {
        self.connections.table.borrow_mut().set_running(self.id);
    }

    /// Waits until the connection must give way to another one.
    pub async fn closed(&self) {
        self.close_signal.notified().await;
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connections.table.borrow_mut().close(self.id);
        self.connections.close_signals.borrow_mut().remove(&self.id);
    }
}
