//! The connecting end.

use crate::connection::{FrameReader, FrameSender, frame_channel, write_frames};
use crate::errors::{IoSnafu, NetError};
use crate::socket::set_liveness;
use luglink_wire::{Frame, Hello};
use snafu::ResultExt;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Pause before a broken connection is tried again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Time after which an attempt to connect is given up. A machine that is dark answers nothing, and
/// its first packet is sent again only after a second: an attempt that begins while it is dark
/// must not outlast its return by much. Ten times a round trip between near regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// What a link tells its owner.
#[derive(Debug)]
pub enum LinkEvent {
    /// A frame arrived.
    Frame(Frame),
    /// The connection is lost or could not be made; it is tried again.
    Disconnected,
}

/// A connection that is made again whenever it breaks. Frames sent while it comes up wait for
/// it; those sent between two tries, and those that wait for one that fails, are dropped.
/// Dropping the link closes it.
#[derive(Debug)]
pub struct Link {
    current: Rc<RefCell<Option<FrameSender>>>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Link {
    /// Starts to connect to `address`. `on_event` is called on the current actix thread.
    pub fn open(address: SocketAddr, hello: Hello, on_event: impl Fn(LinkEvent) + 'static) -> Self {
        // What is sent from now on goes with the first connection: the first message of a process
        // that has just started must not be lost to its own link.
        let (sender, frames) = greeting(hello);
        let current = Rc::new(RefCell::new(Some(sender)));
        let task = actix_rt::spawn(run(address, hello, Rc::clone(&current), frames, on_event));
        Self { current, task }
    }

    /// Sends a frame. Returns false when the link is broken or its queue is full.
    pub fn send(&self, frame: Frame) -> bool {
        self.current
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

/// A queue for one connection that begins with the hello.
fn greeting(hello: Hello) -> (FrameSender, mpsc::Receiver<Frame>) {
    let (sender, frames) = frame_channel();
    sender.send(Frame::Hello(hello));
    (sender, frames)
}

async fn run(
    address: SocketAddr,
    hello: Hello,
    current: Rc<RefCell<Option<FrameSender>>>,
    mut frames: mpsc::Receiver<Frame>,
    on_event: impl Fn(LinkEvent),
) {
    loop {
        let ended = connect_once(address, frames, &on_event).await;
        *current.borrow_mut() = None;
        if let Err(error) = ended {
            tracing::debug!(%address, %error, "link lost");
        }
        on_event(LinkEvent::Disconnected);
        actix_rt::time::sleep(RECONNECT_PAUSE).await;
        let (sender, next) = greeting(hello);
        *current.borrow_mut() = Some(sender);
        frames = next;
    }
}

async fn connect_once(
    address: SocketAddr,
    frames: mpsc::Receiver<Frame>,
    on_event: &impl Fn(LinkEvent),
) -> Result<(), NetError> {
    let connecting = actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))
        .and_then(|connected| connected)
        .context(IoSnafu { action: "connect" })?;
    set_liveness(&stream).context(IoSnafu {
        action: "configure",
    })?;
    let (read_half, write_half) = stream.into_split();
    let mut reader = FrameReader::new(read_half);
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
