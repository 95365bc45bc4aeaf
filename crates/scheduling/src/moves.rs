//! Whether a request that waits for its replica's next word stays there or starts anew elsewhere.
//!
//! Answers the load of replicas that keep requests silent for seconds, or serve them several
//! times more slowly, while most others are well. A program has many turns one after another, and
//! one that waits until its caller gives up makes the whole program late; so a turn leaves its
//! replica while there is time for it to be answered by another one.
//!
//! Leaving is dear: the other replica reads a prompt that it does not know, which takes an engine
//! as long as several turns whose prompts it knows. So it is for about one sound turn in a hundred
//! at the most: a wait is unusual only from a multiple of what nine in ten do not exceed. From
//! there on the replica is expected to need as long again as it has taken so far, which is what
//! holds for waits with many very long ones among them. The request moves once that is more than
//! it costs to start anew: a usual wait, a connection and the reading of its prompt.
//!
//! Nothing moves while many waits are unusual at once: then all replicas are busy, waiting turns
//! find no better place, and each that moves would make the others slower still.

use crate::finish::TOKENS_READ_PER_STEP;
use std::time::Duration;

/// Share of waits that a usual one does not exceed.
pub const USUAL_SHARE: f64 = 0.9;

/// Times the usual wait from which a wait is unusual: about one in a hundred sound ones. One that
/// then moves is usually answered within three times the usual wait.
const UNUSUAL_TIMES: f64 = 1.8;

/// Times the usual wait before which a request does not move, however soon its program should be
/// over.
const URGENT_TIMES: f64 = 1.5;

/// Times the longest pause of a stream so far from which another pause of it is unusual.
const UNUSUAL_PAUSE_TIMES: f64 = 4.0;

/// Shortest wait that is unusual: below, links and processors explain it.
const SHORTEST_UNUSUAL: Duration = Duration::from_millis(100);

/// Time for a connection to another replica.
const CONNECTING: Duration = Duration::from_millis(10);

/// Time for one token as long as none was seen.
const DEFAULT_STEP: Duration = Duration::from_millis(5);

/// Wait that counts as usual while neither the route's aim nor its waits are known.
const DEFAULT_WAIT: Duration = Duration::from_millis(400);

/// What waits of a route are like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitQuantiles {
    /// Half of them are over by then.
    pub median: Duration,
    /// [`USUAL_SHARE`] of them are over by then.
    pub p90: Duration,
}

impl WaitQuantiles {
    /// Whether a wait for a first event is unusual.
    #[must_use]
    pub fn is_exceeded_by(&self, wait: Duration) -> bool {
        wait > self.p90.mul_f64(UNUSUAL_TIMES)
    }

    /// For a route of which too little was seen: callers want answers within its aim, so most
    /// are expected to come within that.
    #[must_use]
    pub fn expected(aim: Duration) -> Self {
        let usual = if aim.is_zero() { DEFAULT_WAIT } else { aim };
        Self {
            median: usual,
            p90: usual,
        }
    }
}

/// What a request needs that starts anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restart {
    /// Tokens that the other replica reads.
    pub tokens: u64,
    /// Time for one token of an answer, once some were seen.
    pub step: Option<Duration>,
}

impl Restart {
    /// Time until the first event of another replica.
    fn time(&self, wait: &WaitQuantiles) -> Duration {
        let step = self.step.unwrap_or(DEFAULT_STEP);
        let reading = step.mul_f64(self.tokens as f64 / TOKENS_READ_PER_STEP);
        wait.median + CONNECTING + reading
    }
}

/// Who may get a request yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RerunLimits {
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// Replicas that may have run it, the one at which it waits included.
    pub may_have_run: u32,
    /// The most that may.
    pub max_attempts: u32,
    /// Whether there is a replica that it was not sent to.
    pub has_untried_replica: bool,
}

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AwaitedEvent {
    /// The first event of its answer.
    FirstEvent {
        /// Time until its program should be over, counted from when it was sent.
        program: Option<Duration>,
    },
    /// The next event.
    NextEvent {
        /// Longest pause of this stream before.
        longest: Duration,
        /// A usual pause of the route, once some were seen.
        usual: Option<Duration>,
        /// Longest pause at which an answer is in time, when the route names it.
        bearable: Option<Duration>,
    },
}

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiting {
    /// What for.
    pub awaited: AwaitedEvent,
    /// For how long already.
    pub waited: Duration,
    /// Time until nobody wants its answer any more.
    pub left: Duration,
    /// Waits for first events of its route.
    pub first_event: WaitQuantiles,
    /// Share of the latest waits of its route that were unusual.
    pub outlier_ratio: f64,
    /// What starting anew takes.
    pub restart: Restart,
    /// Who may get it.
    pub reruns: RerunLimits,
}

/// Why a request stays, and does so to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stay {
    /// It may run once only.
    RunsOnce,
    /// As many replicas as allowed may have run it.
    NoAttemptLeft,
    /// It would not be answered elsewhere before its time is over.
    TooLate,
}

impl Stay {
    /// Its name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RunsOnce => "runs_once",
            Self::NoAttemptLeft => "no_attempt_left",
            Self::TooLate => "too_late",
        }
    }
}

/// What a waiting request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveDecision {
    /// It waits on, and is looked at again after that time.
    WaitOn(Duration),
    /// It stays where it is until its end.
    Stay(Stay),
    /// It starts anew at another replica.
    Move {
        /// Time by which an answer is expected sooner than here.
        gain: Duration,
    },
}

/// Share of unusual waits that is put down to single replicas.
pub const FEW_UNUSUAL: f64 = 0.25;

/// Pause before a look for another replica is repeated.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// Decides on a request that waits.
#[must_use]
pub fn decide_move(waiting: &Waiting) -> MoveDecision {
    let reruns = &waiting.reruns;
    if !reruns.is_repeatable {
        return MoveDecision::Stay(Stay::RunsOnce);
    }
    if reruns.may_have_run >= reruns.max_attempts {
        return MoveDecision::Stay(Stay::NoAttemptLeft);
    }
    let elsewhere = waiting.restart.time(&waiting.first_event);
    if waiting.left <= elsewhere {
        return MoveDecision::Stay(Stay::TooLate);
    }
    let from = unusual_from(waiting, elsewhere);
    if waiting.waited < from {
        return MoveDecision::WaitOn(from - waiting.waited);
    }
    if !reruns.has_untried_replica || waiting.outlier_ratio > FEW_UNUSUAL {
        return MoveDecision::WaitOn(LOOK_AGAIN);
    }
    MoveDecision::Move {
        gain: waiting.waited.saturating_sub(elsewhere),
    }
}

/// Wait from which the request starts anew.
fn unusual_from(waiting: &Waiting, elsewhere: Duration) -> Duration {
    let usual = waiting.first_event.p90;
    match waiting.awaited {
        AwaitedEvent::FirstEvent { program } => {
            let worth_it = usual.mul_f64(UNUSUAL_TIMES).max(elsewhere);
            // The last moment at which the program would still be in time; none when it is late
            // in any case.
            let last = program.and_then(|program| program.checked_sub(elsewhere));
            let last = last.unwrap_or(worth_it);
            let earliest = usual.mul_f64(URGENT_TIMES);
            worth_it.min(last.max(earliest)).max(SHORTEST_UNUSUAL)
        }
        AwaitedEvent::NextEvent {
            longest,
            usual: pause,
            bearable,
        } => longest
            .max(pause.unwrap_or_default())
            .mul_f64(UNUSUAL_PAUSE_TIMES)
            .max(bearable.unwrap_or(usual))
            .max(elsewhere)
            .max(SHORTEST_UNUSUAL),
    }
}

/// Whether a request that has `left` cannot be answered by any replica: even the quickest first
/// events of its route take longer. Nothing is refused while they are not known.
#[must_use]
pub fn cannot_meet_deadline(left: Duration, quickest: Option<Duration>) -> bool {
    quickest.is_some_and(|quickest| left < quickest)
}

/// Share of a route's first events that are as quick as the quickest that can be counted on.
pub const QUICKEST_SHARE: f64 = 0.05;

/// Times the usual answer after which a request that may be repeated goes to a second replica.
const HEDGE_TIMES: f64 = 2.0;

/// When a request with one whole answer goes to a second replica too. `latest` is the time after
/// which it does so in any case.
#[must_use]
pub fn hedge_after(usual: Option<Duration>, latest: Duration) -> Duration {
    let early = usual.map(|usual| usual.mul_f64(HEDGE_TIMES));
    early.map_or(latest, |early| early.max(SHORTEST_UNUSUAL).min(latest))
}

/// Extra sends that the requests before have earned. Bounds the work that is done twice: under
/// too much load every request waits, and were each sent twice, load would feed itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExtraSends {
    /// Extra sends for each request.
    share: f64,
    earned: f64,
}

/// Extra sends that are kept at the most: some for the first moments of a replica's trouble.
const MOST_EARNED: f64 = 4.0;

impl ExtraSends {
    /// At most `share` extra sends for each request, beyond the first few.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self {
            share,
            earned: MOST_EARNED,
        }
    }

    /// Notes a request.
    pub fn earn(&mut self) {
        self.earned = (self.earned + self.share).min(MOST_EARNED);
    }

    /// Takes an extra send. Returns false when none is left.
    pub fn spend(&mut self) -> bool {
        let may = self.earned >= 1.0;
        if may {
            self.earned -= 1.0;
        }
        may
    }
}
