//! HTTP client connections, with one request at a time.

use crate::body::Body;
use crate::head_limit::{HeadBudget, HeadLimitedStream};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use luglink_net::set_tcp_options;
use snafu::{OptionExt, ResultExt, Snafu};
use std::cell::Cell;
use std::error::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// The connection could not be opened. No request was sent.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The server rejected the connection, is unreachable, or a socket option could not be set.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Io {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The connection was not established in time.
    #[snafu(display("cannot connect to {address} within {limit:?}"))]
    Timeout {
        /// Address of the server.
        address: SocketAddr,
        /// Timeout of the attempt.
        limit: Duration,
    },
    /// The HTTP handshake failed.
    #[snafu(display("HTTP handshake failed: {source}"))]
    Handshake {
        /// Error of the HTTP library.
        source: hyper::Error,
    },
}

impl ConnectError {
    /// Returns true if no process listens at the address.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Io { source, .. } if source.kind() == ErrorKind::ConnectionRefused)
    }
}

/// The request received no response.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// No part of the request was sent.
    #[snafu(display("the connection was closed before the request was sent"))]
    NotSent {
        /// The unsent request, returned for a retry.
        request: Box<Request<Body>>,
    },
    /// The connection failed. The server may have received the request.
    #[snafu(display("the connection failed: {source}"))]
    Broken {
        /// Error of the HTTP library.
        source: hyper::Error,
    },
}

/// Returns true if a connection ended with a reset. It may come from the network, and the server may not
/// know of it yet.
#[must_use]
pub fn is_reset(error: &hyper::Error) -> bool {
    let mut source = error.source();
    while let Some(cause) = source {
        if let Some(error) = cause.downcast_ref::<std::io::Error>() {
            return error.kind() == std::io::ErrorKind::ConnectionReset;
        }
        source = cause.source();
    }
    false
}

/// How the server ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It closed or reset the connection.
    Closed,
    /// It sent data that belongs to no response.
    UnexpectedData,
}

/// Tells whether a connection is open, without keeping it open.
#[derive(Clone, Debug)]
pub struct ConnectionState {
    task: AbortHandle,
    ended_by_server: Rc<Cell<Option<ConnectionEnd>>>,
}

impl ConnectionState {
    /// Returns true until either side has closed the connection.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.task.is_finished()
    }

    /// Returns how the server ended the connection; `None` if it did not.
    #[must_use]
    pub fn ended_by_server(&self) -> Option<ConnectionEnd> {
        self.ended_by_server.get()
    }
}

/// Classifies the error with which a connection ended. Errors of the operating system have a source.
fn classify_end(error: &hyper::Error) -> ConnectionEnd {
    let is_data = error.is_parse() || (error.source().is_none() && !error.is_incomplete_message());
    if is_data {
        ConnectionEnd::UnexpectedData
    } else {
        ConnectionEnd::Closed
    }
}

/// HTTP/1.1 client connection. Dropping it closes the connection, even during a request.
#[derive(Debug)]
pub struct ClientConnection {
    sender: SendRequest<Body>,
    task: actix_rt::task::JoinHandle<()>,
    ended_by_server: Rc<Cell<Option<ConnectionEnd>>>,
    head_budget: HeadBudget,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens a connection to `address` within `limit`.
///
/// # Errors
/// The connection could not be opened.
pub async fn connect(
    address: SocketAddr,
    limit: Duration,
) -> Result<ClientConnection, ConnectError> {
    let stream = actix_rt::time::timeout(limit, TcpStream::connect(address))
        .await
        .ok()
        .context(TimeoutSnafu { address, limit })?
        .context(IoSnafu { address })?;
    set_tcp_options(&stream).context(IoSnafu { address })?;
    let head_budget = HeadBudget::default();
    let stream = HeadLimitedStream::new(stream, head_budget.clone());
    let (sender, connection) = hyper::client::conn::http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .context(HandshakeSnafu)?;
    let ended_by_server = Rc::new(Cell::new(None));
    let end = Rc::clone(&ended_by_server);
    let task = actix_rt::spawn(async move {
        let result = connection.await;
        if let Err(error) = &result {
            tracing::debug!(%error, "HTTP client connection failed");
        }
        end.set(Some(match result {
            Ok(()) => ConnectionEnd::Closed,
            Err(error) => classify_end(&error),
        }));
    });
    Ok(ClientConnection {
        sender,
        task,
        ended_by_server,
        head_budget,
    })
}

impl ClientConnection {
    /// Returns true if the server has closed the connection or sent unexpected data.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns a handle that tells whether the connection is still open.
    #[must_use]
    pub fn state(&self) -> ConnectionState {
        ConnectionState {
            task: self.task.abort_handle(),
            ended_by_server: Rc::clone(&self.ended_by_server),
        }
    }

    /// Returns true if the next request can be sent now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its response. Fails if the head, with any interim
    /// responses before it, is longer than 1 MiB.
    ///
    /// # Errors
    /// The error states whether the server may have received the request.
    pub async fn send(&mut self, request: Request<Body>) -> Result<Response<Incoming>, SendError> {
        self.head_budget.begin();
        let result = self.sender.try_send_request(request).await;
        self.head_budget.end();
        match result {
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

    /// Waits until the connection can take the next request. Returns false if it was closed.
    pub async fn wait_until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}
