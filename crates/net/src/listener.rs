//! Server side of framed connections.

use crate::connection::{FrameReader, FrameSender, frame_channel, write_frames};
use crate::errors::{NetError, NoHelloSnafu};
use crate::socket::set_tcp_options;
use luglink_wire::{Frame, Hello, PROTOCOL_VERSION};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Time within which a new connection must send its hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

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

/// Accepts connections indefinitely. `on_event` is called on the current actix thread.
pub async fn serve(listener: TcpListener, on_event: impl Fn(ListenerEvent) + 'static) {
    let on_event = Rc::new(on_event);
    let mut next_connection = 1;
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let connection = next_connection;
                next_connection += 1;
                let on_event = Rc::clone(&on_event);
                actix_rt::spawn(async move {
                    let result = run(stream, connection, &*on_event).await;
                    if let Err(error) = result {
                        tracing::debug!(%address, %error, "connection closed");
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

/// Serves one connection until it fails.
async fn run(
    stream: TcpStream,
    connection: u64,
    on_event: &impl Fn(ListenerEvent),
) -> Result<(), NetError> {
    // With these options, small responses do not wait until a slow peer has acknowledged earlier
    // ones. The connection also works without them.
    let _ = set_tcp_options(&stream);
    let (read_half, write_half) = stream.into_split();
    let mut reader = FrameReader::new(read_half);
    let hello = read_hello(&mut reader).await?;
    let (sender, frames) = frame_channel();
    on_event(ListenerEvent::Opened {
        connection,
        hello,
        sender,
    });
    let reading = async {
        loop {
            let frame = reader.next().await?;
            on_event(ListenerEvent::Frame { connection, frame });
        }
    };
    tokio::select! {
        result = reading => result,
        result = write_frames(write_half, frames) => result,
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
