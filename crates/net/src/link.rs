//! Client side of a framed connection.

use crate::connection::{FrameQueue, FrameReader, FrameSender, frame_channel, write_frames};
use crate::errors::{IoSnafu, NetError};
use crate::send_queue::QueueBudget;
use crate::socket::set_tcp_options;
use luglink_wire::{Frame, Hello};
use snafu::ResultExt;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Delay before a failed connection is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Timeout of a connection attempt, ten times the round trip between nearby regions. TCP repeats an
/// unanswered SYN only after one second, so an attempt that starts while the machine is unreachable
/// would notice its return late if the timeout were longer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Event of a link.
#[derive(Debug)]
pub enum LinkEvent {
    /// A frame was received.
    Frame(Frame),
    /// The connection was lost or could not be opened. The link reconnects.
    Disconnected,
}

/// Connection that reconnects when it fails. Frames sent during a connection attempt are queued;
/// frames sent between two attempts, and frames queued for an attempt that fails, are dropped.
/// Dropping the link closes the connection.
#[derive(Debug)]
pub struct Link {
    current_sender: Rc<RefCell<Option<FrameSender>>>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Link {
    /// Starts connecting to `address`. `on_event` is called on the current actix thread.
    pub fn open(address: SocketAddr, hello: Hello, on_event: impl Fn(LinkEvent) + 'static) -> Self {
        // The queue exists from the start, so that the first message of a process is not lost
        // because its link has not connected yet.
        let (sender, frames) = queue_with_hello(hello);
        let current_sender = Rc::new(RefCell::new(Some(sender)));
        let task = actix_rt::spawn(run(
            address,
            hello,
            Rc::clone(&current_sender),
            frames,
            on_event,
        ));
        Self {
            current_sender,
            task,
        }
    }

    /// Queues a frame. Returns false if the link is disconnected or its queue is full.
    pub fn send(&self, frame: Frame) -> bool {
        self.current_sender
            .borrow()
            .as_ref()
            .is_some_and(|sender| sender.send(frame))
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Creates the queue of one connection, with the hello as its first frame.
fn queue_with_hello(hello: Hello) -> (FrameSender, FrameQueue) {
    // What is sent on a link answers no peer, so it is bounded by the number of frames alone.
    let (sender, frames) = frame_channel(&QueueBudget::new(u64::MAX));
    sender.send(Frame::Hello(hello));
    (sender, frames)
}

/// Connects again and again until the link is dropped.
async fn run(
    address: SocketAddr,
    hello: Hello,
    current_sender: Rc<RefCell<Option<FrameSender>>>,
    mut frames: FrameQueue,
    on_event: impl Fn(LinkEvent),
) {
    loop {
        let result = connect_once(address, frames, &on_event).await;
        *current_sender.borrow_mut() = None;
        if let Err(error) = result {
            tracing::debug!(%address, %error, "link disconnected");
        }
        on_event(LinkEvent::Disconnected);
        actix_rt::time::sleep(RECONNECT_DELAY).await;
        let (sender, next) = queue_with_hello(hello);
        *current_sender.borrow_mut() = Some(sender);
        frames = next;
    }
}

/// Connects and transfers frames until the connection fails.
async fn connect_once(
    address: SocketAddr,
    frames: FrameQueue,
    on_event: &impl Fn(LinkEvent),
) -> Result<(), NetError> {
    let connecting = actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))
        .and_then(|connected| connected)
        .context(IoSnafu { action: "connect" })?;
    set_tcp_options(&stream).context(IoSnafu {
        action: "configure",
    })?;
    let (read_half, write_half) = stream.into_split();
    let mut reader = FrameReader::new(read_half, None);
    let reading = async {
        loop {
            on_event(LinkEvent::Frame(reader.next().await?));
        }
    };
    tokio::select! {
        result = reading => result,
        result = write_frames(write_half, frames) => result,
    }
}
