//! The accepting end.

use crate::connection::{FrameReader, FrameSender, frame_channel, write_frames};
use crate::errors::{NetError, NoHelloSnafu};
use crate::socket::set_liveness;
use luglink_wire::{Frame, Hello, PROTOCOL_VERSION};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Time that a new connection has for its hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after the operating system refused to accept, as when files run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What the accepting end is told.
#[derive(Debug)]
pub enum ListenerEvent {
    /// A connection said hello; frames for it go to the sender.
    Opened {
        /// Number of the connection.
        connection: u64,
        /// Who it is.
        hello: Hello,
        /// Its queue.
        sender: FrameSender,
    },
    /// A frame arrived.
    Frame {
        /// Number of the connection.
        connection: u64,
        /// The frame.
        frame: Frame,
    },
    /// The connection is closed.
    Closed {
        /// Number of the connection.
        connection: u64,
    },
}

/// Accepts connections for ever. `on_event` is called on the current actix thread.
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
                    let ended = run(stream, connection, &*on_event).await;
                    if let Err(error) = ended {
                        tracing::debug!(%address, %error, "connection closed");
                    }
                    on_event(ListenerEvent::Closed { connection });
                });
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept");
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn run(
    stream: TcpStream,
    connection: u64,
    on_event: &impl Fn(ListenerEvent),
) -> Result<(), NetError> {
    // A peer that is slow to read must not delay small answers.
    let _ = set_liveness(&stream);
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
