//! Measurement of the time to a stream's first event.

use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use luglink_edge::Route;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timer for the first event of a stream. A stream that ends without an event, for example because
/// its caller gives up, is recorded with the time that it waited; otherwise the longest waits would
/// be missing from the statistics.
pub(crate) struct FirstEventWait {
    gateway: Rc<Gateway>,
    route: Rc<Route>,
    started_at: Instant,
    delay: Cell<Option<Duration>>,
}

impl FirstEventWait {
    /// Starts the timer. It must be called right before the turn is sent, because earlier waits do
    /// not depend on the engines.
    pub(crate) fn begin(gateway: &Rc<Gateway>, inbound: &InboundRequest) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            route: Rc::clone(&inbound.route),
            started_at: Instant::now(),
            delay: Cell::new(None),
        }
    }

    /// Records an event. Returns the measured time if the event is the first one.
    pub(crate) fn note_event(&self) -> Option<Duration> {
        if self.delay.get().is_some() {
            return None;
        }
        let delay = self.started_at.elapsed();
        self.delay.set(Some(delay));
        self.record(delay);
        Some(delay)
    }

    /// Returns the time to the first event, once it has arrived.
    pub(crate) fn delay(&self) -> Option<Duration> {
        self.delay.get()
    }

    fn record(&self, delay: Duration) {
        let now = self.gateway.now();
        let mut shedder = self.gateway.shedder.borrow_mut();
        shedder.note_delay(&self.route, delay, now);
    }
}

impl Drop for FirstEventWait {
    fn drop(&mut self) {
        if self.delay.get().is_none() {
            self.record(self.started_at.elapsed());
        }
    }
}
