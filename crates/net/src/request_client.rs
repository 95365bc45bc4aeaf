//! Request-response client over a link.

use crate::errors::{ClosedSnafu, NetError, TimeoutSnafu};
use crate::link::{Link, LinkEvent};
use luglink_wire::{Frame, Hello};
use snafu::{OptionExt, ensure};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

type PendingResponses = Rc<RefCell<HashMap<u64, oneshot::Sender<Vec<u8>>>>>;

/// Sends requests over a link and matches responses to them. If the link disconnects, pending
/// requests fail immediately.
#[derive(Debug)]
pub struct RequestClient {
    address: SocketAddr,
    link: Link,
    pending: PendingResponses,
    next_correlation: Cell<u64>,
}

/// Removes a pending request when its future completes or is dropped.
struct PendingGuard<'client> {
    pending: &'client PendingResponses,
    correlation: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.pending.borrow_mut().remove(&self.correlation);
    }
}

impl RequestClient {
    /// Starts connecting to `address`.
    #[must_use]
    pub fn open(address: SocketAddr, hello: Hello) -> Self {
        let pending: PendingResponses = Rc::default();
        let link = Link::open(address, hello, {
            let pending = Rc::clone(&pending);
            move |event| match event {
                LinkEvent::Frame(Frame::Response {
                    correlation, body, ..
                }) => {
                    if let Some(response_sender) = pending.borrow_mut().remove(&correlation) {
                        // The requester may have stopped waiting.
                        let _ = response_sender.send(body);
                    }
                }
                LinkEvent::Frame(_) => {}
                LinkEvent::Disconnected => pending.borrow_mut().clear(),
            }
        });
        Self {
            address,
            link,
            pending,
            next_correlation: Cell::new(0),
        }
    }

    /// Returns the address of the server.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and ignores its response. Returns false if the link is disconnected or its
    /// queue is full.
    pub fn send_one_way(&self, body: Vec<u8>) -> bool {
        let correlation = self.next_correlation.get();
        self.next_correlation.set(correlation + 1);
        self.link.send(Frame::request(correlation, body))
    }

    /// Sends a request and waits for its response.
    ///
    /// # Errors
    /// The link disconnects, its queue is full, or the response does not arrive within `limit`. The
    /// request may have been executed.
    pub async fn request(&self, body: Vec<u8>, limit: Duration) -> Result<Vec<u8>, NetError> {
        let correlation = self.next_correlation.get();
        self.next_correlation.set(correlation + 1);
        let (sender, response) = oneshot::channel();
        self.pending.borrow_mut().insert(correlation, sender);
        let _guard = PendingGuard {
            pending: &self.pending,
            correlation,
        };
        ensure!(
            self.link.send(Frame::request(correlation, body)),
            ClosedSnafu
        );
        let result = actix_rt::time::timeout(limit, response)
            .await
            .ok()
            .context(TimeoutSnafu { limit })?;
        result.ok().context(ClosedSnafu)
    }
}
