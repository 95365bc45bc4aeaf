//! Detects callers that disconnect before they receive a response.
//!
//! The request's future is dropped at whatever point it is waiting, so there is no result to log;
//! the watch logs from its destructor instead.

use crate::metrics::GatewayMetrics;
use luglink_edge::Route;
use luglink_fleet::BackendId;
use luglink_telemetry::milliseconds;
use prometheus::IntCounterVec;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// Guard of one request that logs if it is dropped before the response.
#[derive(Debug)]
pub(crate) struct CallerWatch {
    id: String,
    route: Rc<Route>,
    arrived: Instant,
    /// Replica that the request was sent to last, and the time of that send.
    sent_to: RefCell<Option<(BackendId, Instant)>>,
    is_answered: Cell<bool>,
    counter: IntCounterVec,
}

impl CallerWatch {
    pub(crate) fn begin(
        metrics: &GatewayMetrics,
        id: &str,
        route: &Rc<Route>,
        arrived: Instant,
    ) -> Rc<Self> {
        Rc::new(Self {
            id: id.to_owned(),
            route: Rc::clone(route),
            arrived,
            sent_to: RefCell::default(),
            is_answered: Cell::new(false),
            counter: metrics.callers_gone.clone(),
        })
    }

    /// Records that the request is being sent to a replica.
    pub(crate) fn note_sent(&self, replica: &BackendId) {
        *self.sent_to.borrow_mut() = Some((replica.clone(), Instant::now()));
    }

    /// Records that the caller receives a response, after which a drop is not logged.
    pub(crate) fn note_answered(&self) {
        self.is_answered.set(true);
    }
}

impl Drop for CallerWatch {
    fn drop(&mut self) {
        if self.is_answered.get() {
            return;
        }
        let sent_to = self.sent_to.borrow();
        let awaited = match *sent_to {
            Some(_) => "answer",
            None => "send",
        };
        self.counter.with_label_values(&[awaited]).inc();
        tracing::info!(
            id = self.id,
            route = self.route.name,
            awaited,
            replica = sent_to.as_ref().map(|(id, _)| tracing::field::display(id)),
            at_replica_ms = sent_to.as_ref().map(|(_, at)| milliseconds(at.elapsed())),
            waited_ms = milliseconds(self.arrived.elapsed()),
            "caller disconnected before its response"
        );
    }
}
