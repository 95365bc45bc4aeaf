//! Decision on whether a waiting request stays at its replica or restarts at another one.
//!
//! Some replicas stall requests for seconds, or serve them several times more slowly than most
//! others. A program has many turns in sequence, and one that waits until its caller gives up
//! makes the whole program late. A turn therefore leaves its replica while another one still has
//! time to answer it.
//!
//! A move is expensive: the other replica reads a prompt that it does not hold, which takes as long
//! as several turns with cached prompts. At most about one in a hundred turns at healthy replicas
//! may move, so a wait is an outlier only from a multiple of the 90th percentile. From there on,
//! the replica is expected to need as long again as it has taken so far, which holds for
//! heavy-tailed waits. The request moves once that is more than the cost of a restart: a median
//! wait, a connection and the reading of its prompt.
//!
//! Nothing moves while many waits are outliers at once: all replicas are busy then, there is no
//! better place, and each move would slow the others down further.

use crate::finish::TOKENS_READ_PER_STEP;
use std::time::Duration;

/// Quantile of the waits that outliers are measured against.
pub const P90: f64 = 0.9;

/// Multiple of the 90th percentile from which a wait is an outlier: about one in a hundred at
/// healthy replicas. A request that moves then is usually answered within three times the 90th
/// percentile.
const OUTLIER_FACTOR: f64 = 1.8;

/// Multiple of the 90th percentile before which a request does not move, however close its
/// program's deadline is.
const URGENT_FACTOR: f64 = 1.5;

/// Multiple of the longest earlier pause of a stream from which a pause is an outlier.
const PAUSE_OUTLIER_FACTOR: f64 = 4.0;

/// Minimum wait that is an outlier. Shorter ones are explained by links and processors.
const MIN_OUTLIER_WAIT: Duration = Duration::from_millis(100);

/// Time to connect to another replica.
const CONNECT_TIME: Duration = Duration::from_millis(10);

/// Time for one token while none is known.
const DEFAULT_TOKEN_TIME: Duration = Duration::from_millis(5);

/// 90th percentile that is assumed while neither the route's target latency nor its waits are
/// known.
const DEFAULT_WAIT: Duration = Duration::from_millis(400);

/// Distribution of the waits of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitQuantiles {
    /// Median wait.
    pub median: Duration,
    /// 90th percentile of the waits.
    pub p90: Duration,
}

impl WaitQuantiles {
    /// Returns true if a wait for a first event is an outlier.
    #[must_use]
    pub fn is_outlier(&self, wait: Duration) -> bool {
        wait > self.p90.mul_f64(OUTLIER_FACTOR)
    }

    /// Returns the distribution assumed for a route with too few samples: callers want answers
    /// within its target latency, so most are expected to arrive within it.
    #[must_use]
    pub fn expected(target: Duration) -> Self {
        let p90 = if target.is_zero() {
            DEFAULT_WAIT
        } else {
            target
        };
        Self { median: p90, p90 }
    }
}

/// Cost of a restart at another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restart {
    /// Tokens that the other replica reads.
    pub tokens: u64,
    /// Time for one token of an answer, once known.
    pub step: Option<Duration>,
}

impl Restart {
    /// Returns the time until the first event of another replica.
    fn time(&self, wait: &WaitQuantiles) -> Duration {
        let step = self.step.unwrap_or(DEFAULT_TOKEN_TIME);
        let reading = step.mul_f64(self.tokens as f64 / TOKENS_READ_PER_STEP);
        wait.median + CONNECT_TIME + reading
    }
}

/// Limits on the replicas that may get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RerunLimits {
    /// True if the request may run more than once.
    pub is_repeatable: bool,
    /// Replicas that may have run the request, including the current one.
    pub may_have_run: u32,
    /// Maximum number of replicas that may run the request.
    pub max_attempts: u32,
    /// True if there is a replica to which the request was not sent.
    pub has_untried_replica: bool,
}

/// Event that a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AwaitedEvent {
    /// First event of the answer.
    FirstEvent {
        /// Time from the send until the program should be finished.
        program: Option<Duration>,
    },
    /// Next event of the answer.
    NextEvent {
        /// Longest earlier pause of the stream.
        longest: Duration,
        /// 90th percentile of the route's pauses, once known.
        p90_pause: Option<Duration>,
        /// Longest pause with which an answer is in time, if the route names it.
        target_gap: Option<Duration>,
    },
}

/// State of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiting {
    /// Event that the request waits for.
    pub awaited: AwaitedEvent,
    /// Time that it has waited.
    pub waited: Duration,
    /// Time until its answer is no longer wanted.
    pub left: Duration,
    /// Distribution of the waits for first events of its route.
    pub first_event: WaitQuantiles,
    /// Ratio of outliers in the latest waits of its route.
    pub outlier_ratio: f64,
    /// Cost of a restart.
    pub restart: Restart,
    /// Limits on the replicas that may get the request.
    pub reruns: RerunLimits,
}

/// Reason for which a request stays at its replica until it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stay {
    /// The request may run only once.
    RunsOnce,
    /// The maximum number of replicas may have run it.
    NoAttemptLeft,
    /// No other replica would answer it in its remaining time.
    TooLate,
}

impl Stay {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RunsOnce => "runs_once",
            Self::NoAttemptLeft => "no_attempt_left",
            Self::TooLate => "too_late",
        }
    }
}

/// Decision on a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveDecision {
    /// Wait, and decide again after this time.
    WaitOn(Duration),
    /// Stay at the replica until the end.
    Stay(Stay),
    /// Restart at another replica.
    Move {
        /// Time by which the answer is expected sooner than at the current replica.
        gain: Duration,
    },
}

/// Maximum ratio of outliers that is attributed to single replicas.
pub const MAX_OUTLIER_RATIO: f64 = 0.25;

/// Interval between two searches for another replica.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Decides whether a waiting request moves, waits on, or stays at its replica until the end.
#[must_use]
pub fn decide_move(waiting: &Waiting) -> MoveDecision {
    let reruns = &waiting.reruns;
    if !reruns.is_repeatable {
        return MoveDecision::Stay(Stay::RunsOnce);
    }
    if reruns.may_have_run >= reruns.max_attempts {
        return MoveDecision::Stay(Stay::NoAttemptLeft);
    }
    let restart_time = waiting.restart.time(&waiting.first_event);
    if waiting.left <= restart_time {
        return MoveDecision::Stay(Stay::TooLate);
    }
    let from = move_threshold(waiting, restart_time);
    if waiting.waited < from {
        return MoveDecision::WaitOn(from - waiting.waited);
    }
    if !reruns.has_untried_replica || waiting.outlier_ratio > MAX_OUTLIER_RATIO {
        return MoveDecision::WaitOn(RECHECK_INTERVAL);
    }
    MoveDecision::Move {
        gain: waiting.waited.saturating_sub(restart_time),
    }
}

/// Returns the wait from which the request restarts.
fn move_threshold(waiting: &Waiting, restart_time: Duration) -> Duration {
    let p90 = waiting.first_event.p90;
    match waiting.awaited {
        AwaitedEvent::FirstEvent { program } => {
            let break_even = p90.mul_f64(OUTLIER_FACTOR).max(restart_time);
            // Latest restart with which the program is still in time. A program that is late in any
            // case moves when the restart pays off.
            let latest_move = program.and_then(|program| program.checked_sub(restart_time));
            let latest_move = latest_move.unwrap_or(break_even);
            let earliest = p90.mul_f64(URGENT_FACTOR);
            break_even
                .min(latest_move.max(earliest))
                .max(MIN_OUTLIER_WAIT)
        }
        AwaitedEvent::NextEvent {
            longest,
            p90_pause,
            target_gap,
        } => longest
            .max(p90_pause.unwrap_or_default())
            .mul_f64(PAUSE_OUTLIER_FACTOR)
            .max(target_gap.unwrap_or(p90))
            .max(restart_time)
            .max(MIN_OUTLIER_WAIT),
    }
}

/// Returns true if no replica can answer a request with `left` remaining: even the fastest first
/// events of its route take longer. Nothing is refused while these are unknown.
#[must_use]
pub fn cannot_meet_deadline(left: Duration, fastest: Option<Duration>) -> bool {
    fastest.is_some_and(|fastest| left < fastest)
}

/// Quantile of a route's first events that counts as the fastest achievable time.
pub const FASTEST_QUANTILE: f64 = 0.05;

/// Multiple of the 90th percentile of answer times after which a repeatable request is hedged.
const HEDGE_FACTOR: f64 = 2.0;

/// Returns the time after which a unary request is also sent to a second replica. `latest` is the
/// time after which this happens in any case.
#[must_use]
pub fn hedge_after(p90: Option<Duration>, latest: Duration) -> Duration {
    let early = p90.map(|p90| p90.mul_f64(HEDGE_FACTOR));
    early.map_or(latest, |early| early.max(MIN_OUTLIER_WAIT).min(latest))
}

/// Budget for extra sends, earned by earlier requests. It limits duplicate work: under overload
/// every request waits, and sending each one twice would increase the load further.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExtraSendBudget {
    /// Extra sends earned by each request.
    share: f64,
    earned: f64,
}

/// Maximum balance, which covers the first moments of a replica's failure.
const MAX_EARNED_SENDS: f64 = 4.0;

impl ExtraSendBudget {
    /// Creates a budget of at most `share` extra sends for each request, beyond the first few.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self {
            share,
            earned: MAX_EARNED_SENDS,
        }
    }

    /// Adds the share of one request.
    pub fn earn(&mut self) {
        self.earned = (self.earned + self.share).min(MAX_EARNED_SENDS);
    }

    /// Takes an extra send. Returns false if none is left.
    pub fn spend(&mut self) -> bool {
        let is_available = self.earned >= 1.0;
        if is_available {
            self.earned -= 1.0;
        }
        is_available
    }
}
