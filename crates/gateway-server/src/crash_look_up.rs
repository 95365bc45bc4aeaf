//! Looks at the crashes under a request before it is sent.

use crate::gateway::Gateway;
use crate::knowledge::Knowledge;
use luglink_turns::RequestFingerprint;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum time for which a request waits while no holder of crash reports answers. Their processes
/// usually start again within it.
pub(crate) const MAX_UNANSWERED_WAIT: Duration = Duration::from_secs(1);

/// Interval at which they are asked meanwhile.
const UNANSWERED_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum age of what a gateway knows of the crashes under a request that it sends, unless it follows
/// them.
const MAX_LOOK_UP_AGE: Duration = Duration::from_millis(100);

/// What a gateway knew of the crashes under a request, and when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LookUp {
    at: Instant,
    pub(crate) knowledge: Knowledge,
}

impl LookUp {
    async fn begin(gateway: &Rc<Gateway>, request: RequestFingerprint) -> Self {
        let knowledge = gateway.look_up_crashes(request).await;
        Self {
            at: Instant::now(),
            knowledge,
        }
    }

    /// Looks the crashes up again while no holder answers, unless that has been so for long.
    pub(crate) async fn begin_when_answered(
        gateway: &Rc<Gateway>,
        request: RequestFingerprint,
        remaining: Duration,
    ) -> Self {
        let deadline = Instant::now() + MAX_UNANSWERED_WAIT.min(remaining / 2);
        loop {
            let looked_up = Self::begin(gateway, request).await;
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
