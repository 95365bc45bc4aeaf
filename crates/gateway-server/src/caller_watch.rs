//! Notes callers that close before they have an answer.
//!
//! Their requests end wherever they wait, without a result that could be logged.

use crate::metrics::GatewayMetrics;
use luglink_edge::Route;
use luglink_fleet::BackendId;
use luglink_telemetry::milliseconds;
use prometheus::IntCounterVec;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// Watches one request until it has an answer, and logs when it is dropped before.
#[derive(Debug)]
pub(crate) struct CallerWatch {
    id: String,
    route: Rc<Route>,
    arrived: Instant,
    /// The replica that has the request, and since when.
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

    /// Notes that a replica gets the request.
    pub(crate) fn note_sent(&self, replica: &BackendId) {
        *self.sent_to.borrow_mut() = Some((replica.clone(), Instant::now()));
    }

    /// Notes that the caller gets an answer.
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
            "a caller left before its answer"
        );
    }
}
