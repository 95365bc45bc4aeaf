//! The connecting end: one connection, one request at a time.

use crate::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use luglink_net::set_liveness;
use snafu::{OptionExt, ResultExt, Snafu};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// A connection could not be made; nothing was sent.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The other end refused or is unreachable.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Refused {
        /// The other end.
        address: SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
    /// The other end is silent.
    #[snafu(display("no connection to {address} within {limit:?}"))]
    Silent {
        /// The other end.
        address: SocketAddr,
        /// What was waited.
        limit: Duration,
    },
    /// The library refuses.
    #[snafu(display("cannot start HTTP: {source}"))]
    Handshake {
        /// Why not.
        source: hyper::Error,
    },
}

/// A request did not get its answer.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// Nothing of it was sent; here it is again.
    #[snafu(display("the connection was closed before the request was sent"))]
    NotSent {
        /// The request.
        request: Box<Request<Body>>,
    },
    /// It may have been read.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// How.
        source: hyper::Error,
    },
}

/// A connection. Dropping it closes it, whatever is under way.
#[derive(Debug)]
pub struct ClientConnection {
    sender: SendRequest<Body>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connects.
///
/// # Errors
/// There is no connection; nothing was sent.
pub async fn connect(
    address: SocketAddr,
    limit: Duration,
) -> Result<ClientConnection, ConnectError> {
    let stream = actix_rt::time::timeout(limit, TcpStream::connect(address))
        .await
        .ok()
        .context(SilentSnafu { address, limit })?
        .context(RefusedSnafu { address })?;
    set_liveness(&stream).context(RefusedSnafu { address })?;
    let (sender, connection) = hyper::client::conn::http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .context(HandshakeSnafu)?;
    let task = actix_rt::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%error, "connection to a replica ended");
        }
    });
    Ok(ClientConnection { sender, task })
}

impl ClientConnection {
    /// Whether the other end has closed it, or sent what was not asked for.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether the next request can be sent now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// Says whether the request may have been read.
    pub async fn send(&mut self, request: Request<Body>) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => Err(match error.take_message() {
                Some(request) => SendError::NotSent {
                    request: Box::new(request),
                },
                None => SendError::Broken {
                    source: error.into_error(),
                },
            }),
        }
    }

    /// Waits until the connection is at rest after an answer was read.
    pub async fn wait_until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}
