//! The wait for a stream's first event.

use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use luglink_edge::Route;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Times the wait for the first event of a stream. A stream that ends without one, as when its
/// caller gives up, counts with the time for which it had waited in vain: those that wait longest
/// would otherwise be the ones that nobody sees.
pub(crate) struct FirstEventWait {
    gateway: Rc<Gateway>,
    route: Rc<Route>,
    began: Instant,
    delay: Cell<Option<Duration>>,
}

impl FirstEventWait {
    /// Begins to wait, now that the turn is about to be sent: what it waited for before says
    /// nothing about the engines.
    pub(crate) fn begin(gateway: &Rc<Gateway>, inbound: &InboundRequest) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            route: Rc::clone(&inbound.route),
            began: Instant::now(),
            delay: Cell::new(None),
        }
    }

    /// Notes an event. Returns the wait when it is the first one.
    pub(crate) fn over(&self) -> Option<Duration> {
        if self.delay.get().is_some() {
            return None;
        }
        let delay = self.began.elapsed();
        self.delay.set(Some(delay));
        self.note(delay);
        Some(delay)
    }

    /// The wait, once it is over.
    pub(crate) fn delay(&self) -> Option<Duration> {
        self.delay.get()
    }

    fn note(&self, delay: Duration) {
        let now = self.gateway.now();
        let mut shedder = self.gateway.shedder.borrow_mut();
        shedder.note_delay(&self.route, delay, now);
    }
}

impl Drop for FirstEventWait {
    fn drop(&mut self) {
        if self.delay.get().is_none() {
            self.note(self.began.elapsed());
        }
    }
}
