//! The accepting end.

use crate::body::Body;
use crate::unread::UnreadLimit;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use luglink_net::set_send_buffer;
use snafu::Snafu;
use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Pause after the operating system refused to accept, as when files run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Smallest buffer that the library takes, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Bytes that the operating system holds of an answer whose caller may stop to read: the answers
/// of most requests whole, and at a round trip of some milliseconds no limit to the others' speed.
const SEND_BUFFER_BYTES: usize = 128 << 10;

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ServeOptions {
    /// Longest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Longest time without a whole head, rest between requests included.
    pub idle_timeout: Duration,
    /// Longest time for which the other end may take nothing of what is written to it; `None` for
    /// ever.
    pub write_stall_timeout: Option<Duration>,
}

/// The handler wants the connection broken off without an answer.
#[derive(Debug, Snafu)]
#[snafu(display("the connection is broken off"))]
pub struct Abort;

/// Tells servers to stop.
#[derive(Clone, Debug)]
pub struct StopHandle(Rc<watch::Sender<bool>>);

/// Hears when to stop.
#[derive(Clone, Debug)]
pub struct StopSignal {
    stop: watch::Receiver<bool>,
    open: Rc<Cell<usize>>,
}

/// A handle that stops a server, and its signal.
#[must_use]
pub fn stop_channel() -> (StopHandle, StopSignal) {
    let (sender, stop) = watch::channel(false);
    let signal = StopSignal {
        stop,
        open: Rc::default(),
    };
    (StopHandle(Rc::new(sender)), signal)
}

impl StopHandle {
    /// Closes connections that rest at once and the others after their answers.
    pub fn stop(&self) {
        // Nobody listening means that nothing is open.
        let _ = self.0.send(true);
    }
}

impl StopSignal {
    /// Connections that are open.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    async fn wait(&mut self) {
        if self.stop.wait_for(|stop| *stop).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Accepts connections for ever and has `handler` answer their requests. A request whose caller
/// leaves is dropped, with the handler's future.
pub async fn serve<Handler, Answer>(
    listener: TcpListener,
    options: impl Fn() -> ServeOptions,
    signal: StopSignal,
    handler: Rc<Handler>,
) where
    Handler: Fn(Request<Incoming>) -> Answer + 'static,
    Answer: Future<Output = Result<Response<Body>, Abort>> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection =
                    serve_connection(stream, options(), signal.clone(), Rc::clone(&handler));
                actix_rt::spawn(connection);
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept");
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<Handler, Answer>(
    stream: TcpStream,
    options: ServeOptions,
    mut signal: StopSignal,
    handler: Rc<Handler>,
) where
    Handler: Fn(Request<Incoming>) -> Answer + 'static,
    Answer: Future<Output = Result<Response<Body>, Abort>> + 'static,
{
    // A connection without these options still serves.
    let _ = stream.set_nodelay(true);
    let open = Rc::clone(&signal.open);
    open.set(open.get() + 1);
    if options.write_stall_timeout.is_some()
        && let Err(error) = set_send_buffer(&stream, SEND_BUFFER_BYTES)
    {
        tracing::debug!(%error, "the send buffer stays as it is");
    }
    let stream = UnreadLimit::new(stream, options.write_stall_timeout);
    let service = service_fn(move |request| handler(request));
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(options.idle_timeout)
        .max_buf_size(options.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = signal.wait() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "connection ended");
    }
    open.set(open.get() - 1);
}
