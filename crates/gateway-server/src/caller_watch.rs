//! Detects callers that disconnect before they receive a response, and requests that wait long before
//! they are sent.
//!
//! The request's future is dropped at whatever point it is waiting, so there is no result to log;
//! the watch logs from its destructor instead.

use crate::crash_look_up::LookUpWait;
use crate::metrics::GatewayMetrics;
use crate::request_steps::{RequestStep, RequestSteps};
use luglink_edge::Route;
use luglink_fleet::BackendId;
use luglink_telemetry::milliseconds;
use prometheus::IntCounterVec;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Fraction of the time that a request has, from which on the steps before its replica are slow.
const SLOW_START_RATIO: u32 = 8;

/// Guard of one request that logs if it is dropped before the response.
#[derive(Debug)]
pub(crate) struct CallerWatch {
    id: String,
    route: Rc<Route>,
    arrived: Instant,
    /// Time that the request has from its arrival on.
    time_limit: Duration,
    /// Steps of the request.
    pub(crate) steps: RequestSteps,
    pub(crate) look_up_wait: LookUpWait,
    /// Replica that the request was sent to last, and the time of that send.
    sent_to: RefCell<Option<(BackendId, Instant)>>,
    is_answered: Cell<bool>,
    counter: IntCounterVec,
    slow_starts: IntCounterVec,
}

impl CallerWatch {
    pub(crate) fn begin(
        metrics: &GatewayMetrics,
        id: &str,
        route: &Rc<Route>,
        arrived: Instant,
        time_limit: Duration,
    ) -> Rc<Self> {
        Rc::new(Self {
            id: id.to_owned(),
            route: Rc::clone(route),
            arrived,
            time_limit,
            steps: RequestSteps::since(arrived),
            look_up_wait: LookUpWait::within(time_limit),
            sent_to: RefCell::default(),
            is_answered: Cell::new(false),
            counter: metrics.callers_gone.clone(),
            slow_starts: metrics.slow_starts.clone(),
        })
    }

    /// Records that the request is being sent to a replica.
    pub(crate) fn note_sent(&self, replica: &BackendId) {
        self.steps.enter(RequestStep::Replica);
        *self.sent_to.borrow_mut() = Some((replica.clone(), Instant::now()));
    }

    /// Records that the caller receives a response, after which a drop is not logged.
    pub(crate) fn note_answered(&self) {
        self.is_answered.set(true);
        self.log_slow_start("responded");
    }

    /// Counts and logs a request, with its `end`, if the steps before its replica took a large part of its time.
    fn log_slow_start(&self, end: &'static str) {
        let (step, before_replica) = self.steps.longest_before_replica();
        if before_replica < self.time_limit / SLOW_START_RATIO {
            return;
        }
        self.slow_starts.with_label_values(&[step.as_str()]).inc();
        tracing::info!(
            id = self.id,
            route = self.route.name,
            end,
            step = step.as_str(),
            before_replica_ms = milliseconds(before_replica),
            time_limit_ms = milliseconds(self.time_limit),
            steps = self.steps.summary(),
            "request waited long before a replica got it"
        );
    }
}

impl Drop for CallerWatch {
    fn drop(&mut self) {
        if self.is_answered.get() {
            return;
        }
        self.log_slow_start("caller_gone");
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
            step = self.steps.current().as_str(),
            replica = sent_to.as_ref().map(|(id, _)| tracing::field::display(id)),
            at_replica_ms = sent_to.as_ref().map(|(_, at)| milliseconds(at.elapsed())),
            waited_ms = milliseconds(self.arrived.elapsed()),
            "caller disconnected before its response"
        );
    }
}
