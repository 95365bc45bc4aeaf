//! Shared parts of prompts that a replica has read recently.

use luglink_types::Timestamp;
use std::time::Duration;

/// Time for which an unused part is assumed to be held. Replicas evict the least recently used
/// parts first.
const PART_RETENTION: Duration = Duration::from_secs(10);

/// Maximum number of parts that are remembered for one replica.
const MAX_PARTS: usize = 16;

/// Shared parts of prompts that a replica has read recently.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldParts(Vec<(u64, Timestamp)>);

impl HeldParts {
    pub(super) const NONE: Self = Self(Vec::new());

    pub(super) fn note(&mut self, part: u64, now: Timestamp) {
        if let Some(known) = self.0.iter_mut().find(|(id, _)| *id == part) {
            known.1 = now;
            return;
        }
        if self.0.len() >= MAX_PARTS {
            let oldest = (0..self.0.len()).min_by_key(|position| self.0[*position].1);
            if let Some(oldest) = oldest {
                self.0.swap_remove(oldest);
            }
        }
        self.0.push((part, now));
    }

    pub(super) fn holds(&self, part: u64, now: Timestamp) -> bool {
        let mut known = self.0.iter();
        known.any(|(id, at)| *id == part && now.since(*at) < PART_RETENTION)
    }
}
