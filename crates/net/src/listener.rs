//! Server side of framed connections.

use crate::account::ByteAccount;
use crate::connection::{FrameReader, FrameSender, ReadAccount, frame_channel, write_frames};
use crate::connections::{ConnectionGuard, Connections};
use crate::errors::{NetError, NoHelloSnafu, TooManyConnectionsSnafu, UnreadSnafu};
use crate::metrics::{ConnectionMetrics, PeerMetrics};
use crate::send_queue::QueueBudget;
use crate::socket::set_tcp_options;
use luglink_limits::{ListenerKind, Machine};
use luglink_telemetry::{Metrics, TelemetryError};
use luglink_wire::{Frame, Hello, MAX_FRAME_BYTES, PROTOCOL_VERSION};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Time within which a new connection must send its hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum length of a frame before the hello, in bytes.
const MAX_HELLO_BYTES: usize = 64;

/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Event of an accepted connection.
#[derive(Debug)]
pub enum ListenerEvent {
    /// A connection sent its hello.
    Opened {
        /// Identifier of the connection.
        connection: u64,
        /// Identity of the peer.
        hello: Hello,
        /// Queue for frames to the peer.
        sender: FrameSender,
    },
    /// A frame was received.
    Frame {
        /// Identifier of the connection.
        connection: u64,
        /// Received frame.
        frame: Frame,
    },
    /// The connection was closed.
    Closed {
        /// Identifier of the connection.
        connection: u64,
    },
}

/// Limits on what the peers of a listener can make it hold.
#[derive(Clone, Debug)]
pub struct ListenerLimits {
    held: Rc<ByteAccount>,
    max_frame_bytes: usize,
    queue: Arc<QueueBudget>,
    connections: Rc<Connections>,
    max_connections: usize,
    metrics: PeerMetrics,
}

impl ListenerLimits {
    /// Returns the limits of the internal listener of a process that has no other peers, and registers
    /// their metrics.
    ///
    /// # Errors
    /// A metric cannot be registered.
    pub fn for_machine(machine: Machine, registry: &Metrics) -> Result<Self, TelemetryError> {
        let metrics = PeerMetrics::register(registry)?;
        let connections = ConnectionMetrics::register(registry)?;
        let held = metrics.account(machine.held_bytes());
        Ok(Self::internal(machine, held, &metrics, &connections))
    }

    /// Returns the limits of the internal listener of a machine. Frames that have arrived in part are
    /// counted in `held`.
    #[must_use]
    pub fn internal(
        machine: Machine,
        held: Rc<ByteAccount>,
        metrics: &PeerMetrics,
        connections: &ConnectionMetrics,
    ) -> Self {
        let max_holder_bytes = usize::try_from(held.max_holder_bytes()).unwrap_or(usize::MAX);
        Self {
            max_frame_bytes: MAX_FRAME_BYTES.min(max_holder_bytes),
            held,
            queue: QueueBudget::new(machine.queued_bytes()),
            connections: Connections::new(ListenerKind::Internal, connections),
            max_connections: machine.connections(ListenerKind::Internal),
            metrics: metrics.clone(),
        }
    }
}

/// Accepts connections indefinitely. `on_event` is called on the current actix thread.
pub async fn serve(
    listener: TcpListener,
    limits: ListenerLimits,
    on_event: impl Fn(ListenerEvent) + 'static,
) {
    let on_event = Rc::new(on_event);
    let limits = Rc::new(limits);
    let mut next_connection = 1;
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let Some(guard) = limits.connections.open(limits.max_connections) else {
                    continue;
                };
                let connection = next_connection;
                next_connection += 1;
                let on_event = Rc::clone(&on_event);
                let limits = Rc::clone(&limits);
                actix_rt::spawn(async move {
                    let peer = Peer {
                        address,
                        connection,
                        guard,
                        limits: &limits,
                    };
                    let result = peer.run(stream, &*on_event).await;
                    if let Err(error) = result {
                        note_end(&limits, address, &error);
                    }
                    on_event(ListenerEvent::Closed { connection });
                });
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept a connection");
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Logs the end of a connection, and counts it if it has reached a limit.
fn note_end(limits: &ListenerLimits, address: SocketAddr, error: &NetError) {
    let reason = match error {
        NetError::Wire { .. } => "malformed_frame",
        NetError::Unfinished { .. } => "unfinished_frame",
        NetError::Unread { .. } => "unread_responses",
        _ => {
            tracing::debug!(%address, %error, "connection closed");
            return;
        }
    };
    limits.metrics.count_refusal(reason);
    tracing::warn!(%address, %error, reason, "connection of a peer closed");
}

/// Accepted connection.
struct Peer<'listener> {
    address: SocketAddr,
    connection: u64,
    guard: ConnectionGuard,
    limits: &'listener ListenerLimits,
}

impl Peer<'_> {
    /// Serves the connection until it fails or gives way to another one.
    async fn run(
        &self,
        stream: TcpStream,
        on_event: &impl Fn(ListenerEvent),
    ) -> Result<(), NetError> {
        tokio::select! {
            result = self.transfer(stream, on_event) => result,
            () = self.guard.closed() => TooManyConnectionsSnafu {
                limit: self.limits.max_connections,
            }
            .fail(),
        }
    }

    async fn transfer(
        &self,
        stream: TcpStream,
        on_event: &impl Fn(ListenerEvent),
    ) -> Result<(), NetError> {
        let connection = self.connection;
        // With these options, small responses do not wait until a slow peer has acknowledged earlier
        // ones. The connection also works without them.
        let _ = set_tcp_options(&stream);
        let (read_half, write_half) = stream.into_split();
        let account = ReadAccount {
            bytes: Rc::clone(&self.limits.held),
            peer: self.address.to_string(),
        };
        let mut reader = FrameReader::new(read_half, Some(account));
        reader.set_max_frame_bytes(MAX_HELLO_BYTES);
        let hello = read_hello(&mut reader).await?;
        reader.set_max_frame_bytes(self.limits.max_frame_bytes);
        let (sender, queue) = frame_channel(&self.limits.queue);
        let overrun = queue.overrun();
        on_event(ListenerEvent::Opened {
            connection,
            hello,
            sender,
        });
        let reading = async {
            loop {
                let frame = reader.next().await?;
                self.guard.set_waiting();
                on_event(ListenerEvent::Frame { connection, frame });
            }
        };
        tokio::select! {
            result = reading => result,
            result = write_frames(write_half, queue) => result,
            () = overrun => UnreadSnafu {
                queued: self.limits.queue.queued(),
            }
            .fail(),
        }
    }
}

async fn read_hello(reader: &mut FrameReader) -> Result<Hello, NetError> {
    let first = actix_rt::time::timeout(HELLO_TIMEOUT, reader.next()).await;
    match first {
        Ok(Ok(Frame::Hello(hello))) if hello.version == PROTOCOL_VERSION => Ok(hello),
        Ok(Err(error)) => Err(error),
        _ => NoHelloSnafu {
            version: PROTOCOL_VERSION,
        }
        .fail(),
    }
}
