//! The state machine of the configuration group.

use crate::change::{Change, ChangeResponse, Delta, RevisionPrecondition};
use crate::resource::{Resource, ResourceKey};
use crate::validate::{apply_operation, validate_change};
use luglink_types::{ChangeId, Revision};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Deltas that are kept for catching up; whoever is further behind gets a snapshot.
const RETAINED_DELTAS: usize = 256;

/// Answers that are kept for changes sent again: eight days at 480 changes a day.
const RETAINED_ANSWERS: usize = 4_096;

/// What a reader that knows some revision needs to reach the current one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatchUp {
    /// It is current.
    Current,
    /// The changes it lacks, in order.
    Deltas(Vec<Delta>),
    /// Everything, because the changes it lacks are no longer kept one by one.
    Snapshot {
        /// The current revision.
        revision: Revision,
        /// Every resource.
        resources: Vec<Resource>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct AnsweredChange {
    change: Change,
    answer: ChangeResponse,
}

/// All resources and the recent history of changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceStore {
    revision: Revision,
    resources: BTreeMap<ResourceKey, Resource>,
    deltas: VecDeque<Delta>,
    answers: BTreeMap<ChangeId, AnsweredChange>,
    answer_order: VecDeque<ChangeId>,
}

impl ResourceStore {
    /// The current revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Every resource.
    #[must_use]
    pub fn resources(&self) -> &BTreeMap<ResourceKey, Resource> {
        &self.resources
    }

    /// Applies a change, or says why not. A change id that was answered before gets the same
    /// answer again, whatever has happened since.
    pub fn apply(&mut self, change: &Change) -> ChangeResponse {
        if let Some(answered) = self.answers.get(&change.change_id) {
            return if answered.change == *change {
                answered.answer.clone()
            } else {
                ChangeResponse::ChangeIdReused
            };
        }
        let answer = self.decide(change);
        if let ChangeResponse::Accepted { revision } = answer {
            self.commit(change, revision);
        }
        self.remember(change, &answer);
        answer
    }

    /// What a reader at `known` needs.
    #[must_use]
    pub fn catch_up(&self, known: Revision) -> CatchUp {
        if known == self.revision {
            return CatchUp::Current;
        }
        let oldest = self.deltas.front().map(|delta| delta.revision);
        let kept = known < self.revision && oldest.is_some_and(|oldest| oldest <= known.next());
        if kept {
            let missing = self.deltas.iter().filter(|delta| delta.revision > known);
            return CatchUp::Deltas(missing.cloned().collect());
        }
        CatchUp::Snapshot {
            revision: self.revision,
            resources: self.resources.values().cloned().collect(),
        }
    }

    fn decide(&self, change: &Change) -> ChangeResponse {
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
        if self.deltas.len() > RETAINED_DELTAS {
            self.deltas.pop_front();
        }
    }

    fn remember(&mut self, change: &Change, answer: &ChangeResponse) {
        self.answers.insert(
            change.change_id.clone(),
            AnsweredChange {
                change: change.clone(),
                answer: answer.clone(),
            },
        );
        self.answer_order.push_back(change.change_id.clone());
        if self.answer_order.len() > RETAINED_ANSWERS
            && let Some(oldest) = self.answer_order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }
}
