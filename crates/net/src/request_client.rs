//! Requests with responses over a link.

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

type Waiting = Rc<RefCell<HashMap<u64, oneshot::Sender<Vec<u8>>>>>;

/// Sends requests over a link and gives each its response. Requests that are under way when the
/// link breaks fail at once.
#[derive(Debug)]
pub struct RequestClient {
    address: SocketAddr,
    link: Link,
    waiting: Waiting,
    next: Cell<u64>,
}

/// Forgets a request whose asker has stopped to wait.
struct Forget<'client> {
    waiting: &'client Waiting,
    correlation: u64,
}

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        self.waiting.borrow_mut().remove(&self.correlation);
    }
}

impl RequestClient {
    /// Starts to connect to `address`.
    #[must_use]
    pub fn open(address: SocketAddr, hello: Hello) -> Self {
        let waiting: Waiting = Rc::default();
        let link = Link::open(address, hello, {
            let waiting = Rc::clone(&waiting);
            move |event| match event {
                LinkEvent::Frame(Frame::Response {
                    correlation, body, ..
                }) => {
                    if let Some(asker) = waiting.borrow_mut().remove(&correlation) {
                        // An asker that has gone away needs no answer.
                        let _ = asker.send(body);
                    }
                }
                LinkEvent::Frame(_) => {}
                LinkEvent::Disconnected => waiting.borrow_mut().clear(),
            }
        });
        Self {
            address,
            link,
            waiting,
            next: Cell::new(0),
        }
    }

    /// Where it connects to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request whose response nobody waits for. Returns false when the link is broken.
    pub fn send_one_way(&self, body: Vec<u8>) -> bool {
        let correlation = self.next.get();
        self.next.set(correlation + 1);
        self.link.send(Frame::request(correlation, body))
    }

    /// Sends a request and waits for its response.
    ///
    /// # Errors
    /// The link is or gets broken, or there is no response in time. The request may have been
    /// carried out all the same.
    pub async fn request(&self, body: Vec<u8>, limit: Duration) -> Result<Vec<u8>, NetError> {
        let correlation = self.next.get();
        self.next.set(correlation + 1);
        let (sender, response) = oneshot::channel();
        self.waiting.borrow_mut().insert(correlation, sender);
        let _forget = Forget {
            waiting: &self.waiting,
            correlation,
        };
        ensure!(
            self.link.send(Frame::request(correlation, body)),
            ClosedSnafu
        );
        let answered = actix_rt::time::timeout(limit, response)
            .await
            .ok()
            .context(TimeoutSnafu { limit })?;
        answered.ok().context(ClosedSnafu)
    }
}
