//! Pool of connections to replicas.

use crate::carried_identifiers::CarriedIdentifiers;
use http::{HeaderMap, header};
use luglink_fleet::{Backend, BackendId};
use luglink_http::{ClientConnection, ConnectError, ConnectionEnd, ConnectionState, connect};
use prometheus::IntCounter;
use snafu::Snafu;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Timeout of a connection attempt. A reachable replica accepts within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle time after which a connection is not reused if the replica states no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Fraction of the replica's keep-alive timeout for which a connection is reused. Closer to the
/// timeout, the replica may close the connection while a request is on its way, and the request
/// is lost.
const IDLE_TIMEOUT_RATIO: f64 = 0.7;

/// Failure to acquire a connection. Nothing was sent.
#[derive(Debug, Snafu)]
pub(crate) enum AcquireError {
    /// The connection attempt failed.
    #[snafu(display("{source}"), context(false))]
    Unreachable { source: ConnectError },
    /// All connections that this gateway may open to the replica are in use.
    #[snafu(display("all connections to the replica are in use"))]
    LimitReached,
}

impl AcquireError {
    /// Returns true if no process listens at the replica's address.
    pub(crate) fn is_refused(&self) -> bool {
        match self {
            Self::Unreachable { source } => source.is_refused(),
            Self::LimitReached => false,
        }
    }
}

/// Connection that no request uses.
#[derive(Debug)]
struct IdleConnection {
    connection: ClientConnection,
    carried: CarriedIdentifiers,
    opened_at: Instant,
    /// Time until which it may be reused.
    reusable_until: Instant,
}

impl IdleConnection {
    fn is_reusable(&self) -> bool {
        let connection = &self.connection;
        let is_open = connection.is_ready() && !connection.is_closed();
        is_open && self.reusable_until > Instant::now()
    }

    fn was_closed_early(&self) -> bool {
        let end = self.connection.state().ended_by_server();
        end == Some(ConnectionEnd::Closed) && self.reusable_until > Instant::now()
    }
}

/// Connections to one replica.
#[derive(Debug, Default)]
struct Connections {
    idle: RefCell<Vec<IdleConnection>>,
    open_count: Cell<u32>,
    /// Open connections, idle or not, and the times at which they were opened.
    opened: RefCell<Vec<(ConnectionState, Instant)>>,
    /// Time at which no connection was open any more and idle ones had been closed by the server
    /// before their timeout.
    closed_early_at: Cell<Option<Instant>>,
    freed: Notify,
}

impl Connections {
    fn note_opened(&self, connection: &ClientConnection) {
        let mut opened = self.opened.borrow_mut();
        opened.retain(|(state, _)| state.is_open());
        opened.push((connection.state(), Instant::now()));
    }
}

impl Connections {
    /// Records that an idle connection is closed because it can't be used.
    fn note_unusable(&self, connection: &IdleConnection) {
        let mut opened = self.opened.borrow_mut();
        opened.retain(|(state, _)| state.is_open());
        if opened.is_empty() && connection.was_closed_early() {
            self.closed_early_at.set(Some(Instant::now()));
        }
        self.open_count.set(self.open_count.get() - 1);
    }

    fn close_oldest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        if !idle.is_empty() {
            idle.remove(0);
            self.open_count.set(self.open_count.get() - 1);
        }
    }
}

/// Connection leased for one request. Dropping the lease closes the connection, which cancels the
/// request at the replica; [`Lease::give_back`] returns the connection to the pool.
#[derive(Debug)]
pub(crate) struct Lease {
    connection: Option<ClientConnection>,
    carried: CarriedIdentifiers,
    connections: Rc<Connections>,
    pub(crate) is_reused: bool,
    pub(crate) opened_at: Instant,
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.connections
                .open_count
                .set(self.connections.open_count.get() - 1);
            self.connections.freed.notify_one();
        }
    }
}

impl Lease {
    pub(crate) fn connection(&mut self) -> Option<&mut ClientConnection> {
        self.connection.as_mut()
    }

    fn note_identifier(&mut self, identifier: Option<&str>) {
        if let Some(identifier) = identifier {
            self.carried.add(identifier);
        }
    }

    /// Returns true if the replica has sent data beyond its response.
    pub(crate) async fn has_surplus(&self) -> bool {
        // Lets the connection read what follows the response.
        tokio::task::yield_now().await;
        let state = self.connection.as_ref().map(ClientConnection::state);
        let end = state.and_then(|state| state.ended_by_server());
        end == Some(ConnectionEnd::UnexpectedData)
    }

    /// Returns the connection to the pool once it is idle, unless the response headers forbid it.
    pub(crate) fn give_back(mut self, headers: &HeaderMap) {
        let Some(idle_limit) = idle_timeout(headers).filter(|_| !self.carried.is_full()) else {
            return;
        };
        actix_rt::spawn(async move {
            let is_idle = match self.connection.as_mut() {
                Some(connection) => connection.wait_until_ready().await,
                None => false,
            };
            if is_idle && let Some(connection) = self.connection.take() {
                let idle = IdleConnection {
                    connection,
                    carried: std::mem::take(&mut self.carried),
                    opened_at: self.opened_at,
                    reusable_until: Instant::now() + idle_limit,
                };
                self.connections.idle.borrow_mut().push(idle);
                self.connections.freed.notify_one();
            }
        });
    }
}

/// Returns the time for which the connection of a response may be idle, or `None` if it must not
/// be reused.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let values = |name| {
        let values = headers.get_all(name).into_iter();
        values.filter_map(|value: &http::HeaderValue| value.to_str().ok())
    };
    let closes = values(header::CONNECTION)
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"));
    if closes {
        return None;
    }
    let keep_alive = header::HeaderName::from_static("keep-alive");
    let seconds = values(keep_alive)
        .flat_map(|value| value.split(','))
        .find_map(|part| part.trim().strip_prefix("timeout="))
        .and_then(|seconds| seconds.parse::<f64>().ok());
    Some(seconds.map_or(DEFAULT_IDLE_TIMEOUT, |seconds| {
        Duration::from_secs_f64((seconds * IDLE_TIMEOUT_RATIO).clamp(0.0, 3_600.0))
    }))
}

/// Connection pool of all replicas.
#[derive(Debug)]
pub(crate) struct Upstream {
    replicas: RefCell<HashMap<BackendId, Rc<Connections>>>,
    connects: IntCounter,
}

impl Upstream {
    pub(crate) fn new(connects: IntCounter) -> Self {
        Self {
            replicas: RefCell::default(),
            connects,
        }
    }

    /// Closes the idle connections to replicas that are no longer listed. Requests in flight are
    /// not interrupted.
    pub(crate) fn forget(&self, removed: &[BackendId]) {
        let mut replicas = self.replicas.borrow_mut();
        for id in removed {
            replicas.remove(id);
        }
    }

    /// Returns true if the pool has a reusable idle connection to a replica.
    pub(crate) fn has_idle_connection(&self, replica: &BackendId) -> bool {
        let replicas = self.replicas.borrow();
        let Some(connections) = replicas.get(replica) else {
            return false;
        };
        let idle = connections.idle.borrow();
        let newest = idle.last();
        newest.is_some_and(IdleConnection::is_reusable)
    }

    /// Returns true if a connection to a replica that was opened before `time` is still open. The
    /// process that had it then is still running.
    pub(crate) fn has_open_since(&self, replica: &BackendId, time: Instant) -> bool {
        !self.open_since(replica, time).is_empty()
    }

    /// Returns the connections to a replica that were opened before `time` and are still open.
    pub(crate) fn open_since(&self, replica: &BackendId, time: Instant) -> Vec<ConnectionState> {
        let replicas = self.replicas.borrow();
        let Some(connections) = replicas.get(replica) else {
            return Vec::new();
        };
        let opened = connections.opened.borrow();
        let earlier = opened.iter().filter(|(_, opened_at)| *opened_at < time);
        let states = earlier.map(|(state, _)| state);
        states.filter(|state| state.is_open()).cloned().collect()
    }

    /// Returns true if all connections to a replica were found closed within the last `period`, idle
    /// ones too, so that its process may be a new one.
    pub(crate) fn may_have_restarted_within(&self, replica: &BackendId, period: Duration) -> bool {
        let replicas = self.replicas.borrow();
        let closed_early_at = replicas
            .get(replica)
            .and_then(|connections| connections.closed_early_at.get());
        closed_early_at.is_some_and(|at| at.elapsed() < period)
    }

    /// Leases a connection to a replica, preferably an idle one, and waits up to `timeout` while
    /// `limit` connections are open. The connection has not carried a request with this identifier.
    pub(crate) async fn acquire(
        &self,
        backend: &Backend,
        identifier: Option<&str>,
        limit: u32,
        timeout: Duration,
    ) -> Result<Lease, AcquireError> {
        let connections = {
            let mut replicas = self.replicas.borrow_mut();
            Rc::clone(replicas.entry(backend.id.clone()).or_default())
        };
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(idle) = take_idle(&connections, identifier) {
                let mut lease = Lease {
                    connection: Some(idle.connection),
                    carried: idle.carried,
                    connections,
                    is_reused: true,
                    opened_at: idle.opened_at,
                };
                lease.note_identifier(identifier);
                return Ok(lease);
            }
            // What is left has carried the identifier.
            if connections.open_count.get() >= limit {
                connections.close_oldest_idle();
            }
            if connections.open_count.get() < limit {
                let mut lease = self.open(backend, connections, timeout).await?;
                lease.note_identifier(identifier);
                return Ok(lease);
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if actix_rt::time::timeout(left, connections.freed.notified())
                .await
                .is_err()
            {
                return LimitReachedSnafu.fail();
            }
        }
    }

    async fn open(
        &self,
        backend: &Backend,
        connections: Rc<Connections>,
        timeout: Duration,
    ) -> Result<Lease, AcquireError> {
        connections.open_count.set(connections.open_count.get() + 1);
        let mut slot = ReservedSlot(Some(Rc::clone(&connections)));
        self.connects.inc();
        let connection = connect(backend.address, timeout.min(CONNECT_TIMEOUT)).await?;
        slot.0 = None;
        connections.note_opened(&connection);
        Ok(Lease {
            connection: Some(connection),
            carried: CarriedIdentifiers::default(),
            connections,
            is_reused: false,
            opened_at: Instant::now(),
        })
    }
}

/// Slot counted for a connection that is being opened, released if the attempt fails.
struct ReservedSlot(Option<Rc<Connections>>);

impl Drop for ReservedSlot {
    fn drop(&mut self) {
        if let Some(connections) = self.0.take() {
            connections.open_count.set(connections.open_count.get() - 1);
            connections.freed.notify_one();
        }
    }
}

/// Takes the most recently used idle connection that may carry a request with this identifier.
/// Connections that have expired, were closed by the replica or received unrequested data are closed.
fn take_idle(connections: &Connections, identifier: Option<&str>) -> Option<IdleConnection> {
    let mut idle = connections.idle.borrow_mut();
    for position in (0..idle.len()).rev() {
        if !idle[position].is_reusable() {
            connections.note_unusable(&idle.remove(position));
        } else if identifier.is_none_or(|identifier| idle[position].carried.may_carry(identifier)) {
            return Some(idle.remove(position));
        }
    }
    None
}
