//! Time that a request spends in each step.

use luglink_telemetry::milliseconds;
use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

/// Step of a request. With several replicas at work at once, that of the latest one counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestStep {
    /// Its body is read.
    Read,
    /// Holders of crash reports are asked about it.
    CrashLookUp,
    /// Stores are asked for the origin of its stream.
    OriginLookUp,
    /// Turn stores reserve tokens and find the previous turns.
    Reservation,
    /// A replica for a new program is chosen.
    Placement,
    /// Owners of the tenant's quota are asked for a token.
    Quota,
    /// It waits for a replica with free capacity.
    Capacity,
    /// Its run at a replica is announced, or waits for other runs.
    RunBegin,
    /// It is at a replica.
    Replica,
}

/// All steps, in order.
const STEPS: [RequestStep; 9] = [
    RequestStep::Read,
    RequestStep::CrashLookUp,
    RequestStep::OriginLookUp,
    RequestStep::Reservation,
    RequestStep::Placement,
    RequestStep::Quota,
    RequestStep::Capacity,
    RequestStep::RunBegin,
    RequestStep::Replica,
];

impl RequestStep {
    /// Returns the name in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::CrashLookUp => "crash_look_up",
            Self::OriginLookUp => "origin_look_up",
            Self::Reservation => "reservation",
            Self::Placement => "placement",
            Self::Quota => "quota",
            Self::Capacity => "capacity",
            Self::RunBegin => "run_begin",
            Self::Replica => "replica",
        }
    }
}

/// Steps of one request, and the time spent in each.
#[derive(Debug)]
pub(crate) struct RequestSteps {
    current: Cell<(RequestStep, Instant)>,
    spent: RefCell<[Duration; STEPS.len()]>,
}

impl RequestSteps {
    /// Returns the steps of a request whose body has been read since `arrived`.
    pub(crate) fn since(arrived: Instant) -> Self {
        Self {
            current: Cell::new((RequestStep::Read, arrived)),
            spent: RefCell::default(),
        }
    }

    /// Records that the request is in another step from now on.
    pub(crate) fn enter(&self, step: RequestStep) {
        let now = Instant::now();
        let (before, since) = self.current.replace((step, now));
        self.spent.borrow_mut()[before as usize] += now.duration_since(since);
    }

    /// Returns the step that the request is in.
    pub(crate) fn current(&self) -> RequestStep {
        self.current.get().0
    }

    /// Returns the steps with the time spent in each so far.
    pub(crate) fn spent(&self) -> impl Iterator<Item = (RequestStep, Duration)> {
        self.enter(self.current());
        STEPS.into_iter().zip(*self.spent.borrow())
    }

    /// Returns the step before the replica that took longest, and the time of all of these.
    pub(crate) fn longest_before_replica(&self) -> (RequestStep, Duration) {
        let before = self
            .spent()
            .filter(|(step, _)| *step != RequestStep::Replica);
        let before: Vec<(RequestStep, Duration)> = before.collect();
        let longest = before.iter().max_by_key(|(_, time)| *time);
        let total = before.iter().map(|(_, time)| *time).sum();
        (longest.map_or(RequestStep::Read, |(step, _)| *step), total)
    }

    /// Returns the steps that took a millisecond or more, for a log line.
    pub(crate) fn summary(&self) -> String {
        let taken = self.spent().map(|(step, time)| (step, milliseconds(time)));
        let taken = taken.filter(|(_, ms)| *ms > 0);
        let taken: Vec<String> = taken
            .map(|(step, ms)| format!("{}={ms}", step.as_str()))
            .collect();
        taken.join(" ")
    }
}
