//! HTTP server.

use crate::body::Body;
use crate::lingering_close::{LingeringCount, LingeringStream};
use crate::tracked_body::{ConnectionActivity, RequestBody, ResponseBody};
use crate::write_stall::WriteStallStream;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use luglink_net::{ConnectionGuard, Connections, set_send_buffer};
use snafu::Snafu;
use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Minimum buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Send buffer of a connection with a write stall timeout, in bytes. It holds most responses as a
/// whole, and at a round trip of some milliseconds it does not limit the throughput of longer ones.
const SEND_BUFFER_BYTES: usize = 128 << 10;

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ServeOptions {
    /// Maximum number of open connections. At the limit, a new connection takes the place of the one that
    /// has waited longest for its peer, or is closed if none waits.
    pub max_connections: usize,
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum time until a complete request head is received, including the idle time between
    /// requests.
    pub idle_timeout: Duration,
    /// Maximum time for which a pending write may make no progress; `None` for no limit.
    pub write_stall_timeout: Option<Duration>,
}

/// Returned by a handler to close the connection without a response.
#[derive(Debug, Snafu)]
#[snafu(display("the handler aborted the connection"))]
pub struct Abort;

/// Progress of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum StopPhase {
    Running,
    /// Connections are accepted, and those that were open before are closed as soon as they are idle.
    Draining,
    /// No connections are accepted, and all are closed as soon as they are idle.
    Closed,
}

/// Handle that stops servers.
#[derive(Clone, Debug)]
pub struct StopHandle(Rc<watch::Sender<StopPhase>>);

/// Receiver of the stop signal, shared by the connections of a server.
#[derive(Clone, Debug)]
pub struct StopSignal {
    phase: watch::Receiver<StopPhase>,
    open_connections: Rc<Cell<usize>>,
}

/// Creates a stop handle and its signal.
#[must_use]
pub fn stop_channel() -> (StopHandle, StopSignal) {
    let (sender, phase) = watch::channel(StopPhase::Running);
    let signal = StopSignal {
        phase,
        open_connections: Rc::default(),
    };
    (StopHandle(Rc::new(sender)), signal)
}

impl StopHandle {
    /// Closes idle connections immediately and the other present ones after their current response.
    /// Connections are still accepted; the handler has to ask for their close.
    pub fn drain(&self) {
        self.enter(StopPhase::Draining);
    }

    /// Accepts no further connections, and closes all as soon as they are idle.
    pub fn close(&self) {
        self.enter(StopPhase::Closed);
    }

    fn enter(&self, phase: StopPhase) {
        self.0.send_if_modified(|present| {
            let is_later = phase > *present;
            *present = (*present).max(phase);
            is_later
        });
    }
}

impl StopSignal {
    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Waits for a later phase than the present one.
    async fn wait_for_next_phase(&mut self) {
        let present = *self.phase.borrow();
        self.wait_until(|phase| phase > present).await;
    }

    async fn wait_until_closed(&mut self) {
        self.wait_until(|phase| phase == StopPhase::Closed).await;
    }

    async fn wait_until(&mut self, holds: impl Fn(StopPhase) -> bool) {
        if self.phase.wait_for(|phase| holds(*phase)).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Accepts connections until [`StopHandle::close`], counts them in `connections`, and answers their
/// requests with `handler`. If a caller disconnects, the handler's future is dropped.
pub async fn serve<Handler, ResponseFuture>(
    listener: TcpListener,
    connections: Rc<Connections>,
    options: impl Fn() -> ServeOptions,
    signal: StopSignal,
    handler: Rc<Handler>,
) where
    Handler: Fn(Request<RequestBody>) -> ResponseFuture + 'static,
    ResponseFuture: Future<Output = Result<Response<Body>, Abort>> + 'static,
{
    let lingering = LingeringCount::default();
    let mut closing = signal.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.wait_until_closed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let options = options();
                let Some(guard) = connections.open(options.max_connections) else {
                    continue;
                };
                let handler = Rc::clone(&handler);
                let accepted = AcceptedConnection {
                    stream,
                    guard,
                    lingering: lingering.clone(),
                };
                let connection = serve_connection(accepted, options, signal.clone(), handler);
                actix_rt::spawn(connection);
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept a connection");
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepted connection with its place among the connections of the server.
struct AcceptedConnection {
    stream: TcpStream,
    guard: ConnectionGuard,
    lingering: LingeringCount,
}

async fn serve_connection<Handler, ResponseFuture>(
    accepted: AcceptedConnection,
    options: ServeOptions,
    mut signal: StopSignal,
    handler: Rc<Handler>,
) where
    Handler: Fn(Request<RequestBody>) -> ResponseFuture + 'static,
    ResponseFuture: Future<Output = Result<Response<Body>, Abort>> + 'static,
{
    let AcceptedConnection {
        stream,
        guard,
        lingering,
    } = accepted;
    // The connection also works without this option.
    let _ = stream.set_nodelay(true);
    let open_connections = Rc::clone(&signal.open_connections);
    open_connections.set(open_connections.get() + 1);
    if options.write_stall_timeout.is_some()
        && let Err(error) = set_send_buffer(&stream, SEND_BUFFER_BYTES)
    {
        tracing::debug!(%error, "cannot set the send buffer size");
    }
    let resets = Rc::new(Cell::new(false));
    let stream = WriteStallStream::new(stream, options.write_stall_timeout, Rc::clone(&resets));
    let ends_with_connection = Rc::new(Cell::new(false));
    let activity = ConnectionActivity::new(guard);
    let stream = LingeringStream::new(stream, Rc::clone(&activity), lingering);
    let service = service_fn({
        let ends_with_connection = Rc::clone(&ends_with_connection);
        let activity = Rc::clone(&activity);
        move |request: Request<Incoming>| {
            ends_with_connection.set(request.version() == Version::HTTP_10);
            let activity = Rc::clone(&activity);
            let response = handler(request.map(|body| RequestBody::new(body, &activity)));
            async move {
                let response = response.await?;
                Ok::<_, Abort>(response.map(|body| ResponseBody::new(body, activity)))
            }
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(options.idle_timeout)
        .max_buf_size(options.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = signal.wait_for_next_phase() => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                result = connection => result,
                () = activity.guard.closed() => Ok(()),
            }
        }
        () = activity.guard.closed() => Ok(()),
    };
    if let Err(error) = result {
        tracing::debug!(%error, "connection failed");
        // A caller of HTTP/1.0 takes an orderly close for the end of a response without a length.
        resets.set(ends_with_connection.get());
    }
    open_connections.set(open_connections.get() - 1);
}
