//! Looks at the crashes under a request before it is sent.

use crate::gateway::Gateway;
use crate::knowledge::Knowledge;
use luglink_turns::RequestFingerprint;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum time for which a request waits, over all its look-ups, while no holder of crash reports
/// answers. Their processes usually start again within it.
const MAX_UNANSWERED_WAIT: Duration = Duration::from_secs(1);

/// Maximum part of a request's time that it spends so.
const MAX_UNANSWERED_RATIO: u32 = 4;

/// Interval at which they are asked meanwhile.
const UNANSWERED_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum age of what a gateway knows of the crashes under a request that it sends, unless it follows
/// them.
const MAX_LOOK_UP_AGE: Duration = Duration::from_millis(100);

/// Time that a request has spent on look-ups, and may spend while no holder answers.
#[derive(Debug)]
pub(crate) struct LookUpWait {
    limit: Duration,
    spent: Cell<Duration>,
}

impl LookUpWait {
    /// Returns the wait of a request with this much time from its arrival on.
    pub(crate) fn within(time_limit: Duration) -> Self {
        Self {
            limit: MAX_UNANSWERED_WAIT.min(time_limit / MAX_UNANSWERED_RATIO),
            spent: Cell::default(),
        }
    }

    fn left(&self) -> Duration {
        self.limit.saturating_sub(self.spent.get())
    }

    fn add(&self, time: Duration) {
        self.spent.set(self.spent.get() + time);
    }
}

/// What a gateway knew of the crashes under a request, and when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LookUp {
    at: Instant,
    pub(crate) knowledge: Knowledge,
}

impl LookUp {
    async fn begin(gateway: &Rc<Gateway>, request: RequestFingerprint, deadline: Instant) -> Self {
        let knowledge = gateway.look_up_crashes(request, deadline).await;
        Self {
            at: Instant::now(),
            knowledge,
        }
    }

    /// Looks the crashes up again while no holder answers, unless that has been so for long or the
    /// request has waited long for holders already.
    pub(crate) async fn begin_when_answered(
        gateway: &Rc<Gateway>,
        request: RequestFingerprint,
        wait: &LookUpWait,
    ) -> Self {
        let began = Instant::now();
        let looked_up = Self::begin_until(gateway, request, began + wait.left()).await;
        wait.add(began.elapsed());
        looked_up
    }

    async fn begin_until(
        gateway: &Rc<Gateway>,
        request: RequestFingerprint,
        deadline: Instant,
    ) -> Self {
        loop {
            let looked_up = Self::begin(gateway, request, deadline).await;
            let unanswered_for = gateway.crashes.borrow().unanswered_for();
            let may_be_answered_soon =
                unanswered_for.is_some_and(|time| time < MAX_UNANSWERED_WAIT);
            if !may_be_answered_soon || Instant::now() >= deadline {
                return looked_up;
            }
            actix_rt::time::sleep(UNANSWERED_RETRY_DELAY).await;
        }
    }

    /// Returns true if the crashes under the request may have to be looked up again.
    pub(crate) fn is_old(self, gateway: &Gateway, request: RequestFingerprint) -> bool {
        !gateway.is_informed_of(request) && self.at.elapsed() > MAX_LOOK_UP_AGE
    }
}
