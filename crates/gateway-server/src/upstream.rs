//! Connections to replicas, kept and shared out.

use http::{HeaderMap, header};
use luglink_fleet::{Backend, BackendId};
use luglink_http::{ClientConnection, ConnectError, connect};
use prometheus::IntCounter;
use snafu::Snafu;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Longest time for a connection to come up. A replica that is there answers in milliseconds.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// Rest after which a connection is not used again when the replica says nothing about it.
const DEFAULT_REST: Duration = Duration::from_secs(20);

/// Share of the time that a replica keeps resting connections for which ours are used again: one
/// that it closes while a request is on its way costs that request.
const REST_SHARE: f64 = 0.7;

/// There is no connection; nothing was sent.
#[derive(Debug, Snafu)]
pub(crate) enum AcquireError {
    /// The replica cannot be reached.
    #[snafu(display("{source}"), context(false))]
    Unreachable { source: ConnectError },
    /// All connections that this gateway may have to the replica are in use.
    #[snafu(display("no connection is free"))]
    Busy,
}

/// Connections to one replica.
#[derive(Debug, Default)]
struct Connections {
    resting: RefCell<Vec<(ClientConnection, Instant)>>,
    open: Cell<u32>,
    freed: Notify,
}

/// A connection for one request. Dropping it closes it, and frees the replica from the request;
/// [`Lease::give_back`] keeps it.
#[derive(Debug)]
pub(crate) struct Lease {
    connection: Option<ClientConnection>,
    home: Rc<Connections>,
    pub(crate) is_reused: bool,
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.home.open.set(self.home.open.get() - 1);
            self.home.freed.notify_one();
        }
    }
}

impl Lease {
    pub(crate) fn connection(&mut self) -> Option<&mut ClientConnection> {
        self.connection.as_mut()
    }

    /// Keeps the connection for another request, once it is at rest.
    pub(crate) fn give_back(mut self, headers: &HeaderMap) {
        let Some(rest) = rest_time(headers) else {
            return;
        };
        actix_rt::spawn(async move {
            let at_rest = match self.connection.as_mut() {
                Some(connection) => connection.rest().await,
                None => false,
            };
            if at_rest && let Some(connection) = self.connection.take() {
                let until = Instant::now() + rest;
                self.home.resting.borrow_mut().push((connection, until));
                self.home.freed.notify_one();
            }
        });
    }
}

/// For how long the connection of an answer may rest; `None` when it must not be used again.
fn rest_time(headers: &HeaderMap) -> Option<Duration> {
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
    Some(seconds.map_or(DEFAULT_REST, |seconds| {
        Duration::from_secs_f64((seconds * REST_SHARE).clamp(0.0, 3_600.0))
    }))
}

/// Connections to all replicas.
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

    /// Closes connections to replicas that are not listed any more. Requests under way end by
    /// themselves.
    pub(crate) fn forget(&self, removed: &[BackendId]) {
        let mut replicas = self.replicas.borrow_mut();
        for id in removed {
            replicas.remove(id);
        }
    }

    /// Whether a kept connection to a replica can be used again.
    pub(crate) fn has_resting(&self, replica: &BackendId) -> bool {
        let replicas = self.replicas.borrow();
        let Some(home) = replicas.get(replica) else {
            return false;
        };
        let resting = home.resting.borrow();
        let newest = resting.last();
        newest.is_some_and(|(connection, until)| {
            *until > Instant::now() && connection.is_ready() && !connection.is_closed()
        })
    }

    /// A connection to a replica, a kept one before a new one. At most `limit` are open at once.
    pub(crate) async fn acquire(
        &self,
        backend: &Backend,
        limit: u32,
        patience: Duration,
    ) -> Result<Lease, AcquireError> {
        let home = {
            let mut replicas = self.replicas.borrow_mut();
            Rc::clone(replicas.entry(backend.id.clone()).or_default())
        };
        let deadline = Instant::now() + patience;
        loop {
            if let Some(connection) = take_resting(&home) {
                return Ok(Lease {
                    connection: Some(connection),
                    home,
                    is_reused: true,
                });
            }
            if home.open.get() < limit {
                return self.open(backend, home, patience).await;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if actix_rt::time::timeout(left, home.freed.notified())
                .await
                .is_err()
            {
                return BusySnafu.fail();
            }
        }
    }

    async fn open(
        &self,
        backend: &Backend,
        home: Rc<Connections>,
        patience: Duration,
    ) -> Result<Lease, AcquireError> {
        home.open.set(home.open.get() + 1);
        let mut place = Place(Some(Rc::clone(&home)));
        self.connects.inc();
        let connection = connect(backend.address, patience.min(CONNECT_LIMIT)).await?;
        place.0 = None;
        Ok(Lease {
            connection: Some(connection),
            home,
            is_reused: false,
        })
    }
}

/// Gives the place of a connection back that did not come up.
struct Place(Option<Rc<Connections>>);

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(home) = self.0.take() {
            home.open.set(home.open.get() - 1);
            home.freed.notify_one();
        }
    }
}

/// The kept connection that rested last. Those that the replica has closed, or on which it sent
/// what nobody asked for, are let go.
fn take_resting(home: &Connections) -> Option<ClientConnection> {
    let now = Instant::now();
    loop {
        let (connection, until) = home.resting.borrow_mut().pop()?;
        if until > now && connection.is_ready() && !connection.is_closed() {
            return Some(connection);
        }
        home.open.set(home.open.get() - 1);
    }
}
