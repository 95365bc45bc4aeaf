//! Requests that were answered lately.

use luglink_turns::RequestFingerprint;
use std::collections::{HashSet, VecDeque};

/// Maximum number of requests that are remembered.
const MAX_REQUESTS: usize = 1 << 12;

/// Latest requests that this gateway has answered and under which hardly any replicas have ended since.
/// Each occupies some 40 bytes.
#[derive(Debug, Default)]
pub(crate) struct AnsweredRequests {
    requests: HashSet<RequestFingerprint>,
    oldest_first: VecDeque<RequestFingerprint>,
}

impl AnsweredRequests {
    /// Records that a request was answered.
    pub(crate) fn note(&mut self, request: RequestFingerprint) {
        if !self.requests.insert(request) {
            return;
        }
        self.oldest_first.push_back(request);
        if self.oldest_first.len() > MAX_REQUESTS
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.requests.remove(&oldest);
        }
    }

    /// Forgets a request under which replicas have ended.
    pub(crate) fn forget(&mut self, request: RequestFingerprint) {
        if self.requests.remove(&request) {
            self.oldest_first.retain(|other| *other != request);
        }
    }

    /// Returns true if a request was answered and not forgotten since.
    pub(crate) fn has(&self, request: RequestFingerprint) -> bool {
        self.requests.contains(&request)
    }
}
