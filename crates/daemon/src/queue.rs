//! Queue of calls that wait for an engine.

use crate::call::CallId;
use luglink_types::{ModelName, Priority, Timestamp};
use std::time::Duration;

/// A queued call.
#[derive(Clone, Debug)]
pub(crate) struct QueuedCall {
    pub(crate) call: CallId,
    pub(crate) pool: ModelName,
    pub(crate) priority: Priority,
    /// Tokens that engines have processed for the program at this daemon.
    pub(crate) attained_tokens: u64,
    pub(crate) queued_at: Timestamp,
    /// Waiting time after which the call is ranked one priority higher.
    pub(crate) aging: Duration,
}

/// Calls that wait for an engine at one daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallQueue {
    calls: Vec<QueuedCall>,
}

/// Step of attained service in tokens. Programs within one step are ordered by queueing time.
const SERVICE_STEP_TOKENS: u64 = 20_000;

impl CallQueue {
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(crate) fn push(&mut self, call: QueuedCall) {
        self.calls.push(call);
    }

    pub(crate) fn remove(&mut self, call: CallId) {
        self.calls.retain(|queued| queued.call != call);
    }

    /// Returns the calls in dispatch order: by priority with aging, then by attained service, least
    /// first, then by queueing time.
    pub(crate) fn by_urgency(&self, now: Timestamp) -> Vec<QueuedCall> {
        let mut ordered = self.calls.clone();
        ordered.sort_by_key(|queued| {
            (
                std::cmp::Reverse(effective_rank(queued, now)),
                queued.attained_tokens / SERVICE_STEP_TOKENS,
                queued.queued_at,
                queued.call,
            )
        });
        ordered
    }

    /// Returns the calls queued at `since` or earlier.
    pub(crate) fn waiting_since(&self, since: Timestamp) -> Vec<CallId> {
        let old = self.calls.iter().filter(|queued| queued.queued_at <= since);
        old.map(|queued| queued.call).collect()
    }

    /// Returns the time at which the oldest call of a pool was queued.
    pub(crate) fn oldest_queued_at(&self, pool: &ModelName) -> Option<Timestamp> {
        let own = self.calls.iter().filter(|queued| queued.pool == *pool);
        own.map(|queued| queued.queued_at).min()
    }

    pub(crate) fn pools(&self) -> Vec<ModelName> {
        let mut pools: Vec<ModelName> = self
            .calls
            .iter()
            .map(|queued| queued.pool.clone())
            .collect();
        pools.sort();
        pools.dedup();
        pools
    }
}

/// Returns the priority's rank plus one for each aging period waited, which prevents starvation.
fn effective_rank(queued: &QueuedCall, now: Timestamp) -> u64 {
    let waited = now.since(queued.queued_at).as_micros();
    let periods = waited / queued.aging.as_micros().max(1);
    u64::from(queued.priority.rank()) + u64::try_from(periods).unwrap_or(u64::MAX / 2)
}
