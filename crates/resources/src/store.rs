//! State machine of the configuration group.

use crate::change::{Change, ChangeResponse, Delta, RevisionPrecondition};
use crate::resource::{Resource, ResourceKey};
use crate::validate::{apply_operation, validate_change};
use luglink_types::{ChangeId, Revision};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Number of deltas kept for readers. A reader that is further behind gets a snapshot.
const MAX_RETAINED_DELTAS: usize = 256;

/// Number of responses kept for changes that are sent again: those of eight days at 480 changes per
/// day.
const MAX_RETAINED_RESPONSES: usize = 4_096;

/// Update that takes a reader from its revision to the current one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatchUp {
    /// The reader has the current revision.
    Current,
    /// The missing deltas, in order.
    Deltas(Vec<Delta>),
    /// The whole configuration, because the missing deltas are no longer retained.
    Snapshot {
        /// Current revision.
        revision: Revision,
        /// All resources.
        resources: Vec<Resource>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedResponse {
    change: Change,
    response: ChangeResponse,
}

/// All resources and the recent changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceStore {
    revision: Revision,
    resources: BTreeMap<ResourceKey, Resource>,
    deltas: VecDeque<Delta>,
    responses: BTreeMap<ChangeId, RecordedResponse>,
    response_order: VecDeque<ChangeId>,
}

impl ResourceStore {
    /// Returns the current revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns all resources.
    #[must_use]
    pub fn resources(&self) -> &BTreeMap<ResourceKey, Resource> {
        &self.resources
    }

    /// Applies a change, or returns the reason for rejecting it. A change that is sent again gets the
    /// first response, also if the state has changed since.
    pub fn apply(&mut self, change: &Change) -> ChangeResponse {
        if let Some(recorded) = self.responses.get(&change.change_id) {
            return if recorded.change == *change {
                recorded.response.clone()
            } else {
                ChangeResponse::ChangeIdReused
            };
        }
        let response = self.validate(change);
        if let ChangeResponse::Accepted { revision } = response {
            self.commit(change, revision);
        }
        self.record_response(change, &response);
        response
    }

    /// Returns the update for a reader that has the revision `known`.
    #[must_use]
    pub fn catch_up(&self, known: Revision) -> CatchUp {
        if known == self.revision {
            return CatchUp::Current;
        }
        let oldest = self.deltas.front().map(|delta| delta.revision);
        let has_deltas =
            known < self.revision && oldest.is_some_and(|oldest| oldest <= known.next());
        if has_deltas {
            let missing = self.deltas.iter().filter(|delta| delta.revision > known);
            return CatchUp::Deltas(missing.cloned().collect());
        }
        CatchUp::Snapshot {
            revision: self.revision,
            resources: self.resources.values().cloned().collect(),
        }
    }

    fn validate(&self, change: &Change) -> ChangeResponse {
        if let RevisionPrecondition::Exactly(expected) = change.expected
            && expected != self.revision
        {
            return ChangeResponse::Stale {
                expected,
                current: self.revision,
            };
        }
        let violations = validate_change(&self.resources, change);
        if !violations.is_empty() {
            return ChangeResponse::Invalid { violations };
        }
        ChangeResponse::Accepted {
            revision: self.revision.next(),
        }
    }

    fn commit(&mut self, change: &Change, revision: Revision) {
        for operation in &change.operations {
            apply_operation(&mut self.resources, operation);
        }
        self.revision = revision;
        self.deltas.push_back(Delta {
            revision,
            operations: change.operations.clone(),
        });
        if self.deltas.len() > MAX_RETAINED_DELTAS {
            self.deltas.pop_front();
        }
    }

    fn record_response(&mut self, change: &Change, response: &ChangeResponse) {
        self.responses.insert(
            change.change_id.clone(),
            RecordedResponse {
                change: change.clone(),
                response: response.clone(),
            },
        );
        self.response_order.push_back(change.change_id.clone());
        if self.response_order.len() > MAX_RETAINED_RESPONSES
            && let Some(oldest) = self.response_order.pop_front()
        {
            self.responses.remove(&oldest);
        }
    }
}
