//! Request and response bodies of luglink's HTTP interface.

use luglink_engine_api::Usage;
use luglink_program::{Owned, ProgramStatus, ProgramView, StoredAnswer};
use luglink_types::{Budget, ChatMessage, Priority, ProgramId};
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/programs`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CreateBody {
    pub(crate) tenant: String,
    pub(crate) class: String,
    pub(crate) model: String,
    #[serde(default)]
    pub(crate) adapter: Option<String>,
    #[serde(default)]
    pub(crate) priority: Option<Priority>,
    #[serde(default)]
    pub(crate) budget: Budget,
    #[serde(default)]
    pub(crate) parent: Option<String>,
}

/// Body of `POST /v1/programs/{id}/calls`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CallBody {
    pub(crate) messages: Vec<ChatMessage>,
    #[serde(default)]
    pub(crate) sequence: Option<u64>,
    #[serde(default)]
    pub(crate) max_tokens: Option<u64>,
    #[serde(default)]
    pub(crate) repeatable: bool,
}

/// Response to a request that created a program.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ProgramCreated {
    pub(crate) program: String,
    pub(crate) epoch: u64,
    pub(crate) next_sequence: u64,
}

impl From<&Owned> for ProgramCreated {
    fn from(owned: &Owned) -> Self {
        Self {
            program: owned.program.to_string(),
            epoch: owned.epoch.0,
            next_sequence: owned.next_sequence.0,
        }
    }
}

/// Complete answer to a call.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CallAnswer {
    pub(crate) program: String,
    pub(crate) sequence: u64,
    pub(crate) content: String,
    pub(crate) usage: Usage,
    pub(crate) attempts: u32,
}

impl CallAnswer {
    pub(crate) fn new(program: ProgramId, answer: StoredAnswer) -> Self {
        Self {
            program: program.to_string(),
            sequence: answer.sequence.0,
            content: answer.text,
            usage: answer.usage.into(),
            attempts: answer.attempts,
        }
    }
}

/// Response to `GET /v1/programs/{id}`.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ProgramBody {
    pub(crate) program: String,
    pub(crate) tenant: String,
    pub(crate) class: String,
    pub(crate) model: String,
    pub(crate) parent: Option<String>,
    pub(crate) status: ProgramStatus,
    pub(crate) owner: u32,
    pub(crate) epoch: u64,
    pub(crate) next_sequence: u64,
    pub(crate) budget: BudgetBody,
    pub(crate) uncertain_calls: Vec<u64>,
    pub(crate) history: Vec<ChatMessage>,
}

/// Budget of a program, with the spent and reserved amounts.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct BudgetBody {
    pub(crate) ceiling: Budget,
    pub(crate) spent: luglink_types::Charge,
    pub(crate) reserved: luglink_types::Charge,
}

impl From<ProgramView> for ProgramBody {
    fn from(view: ProgramView) -> Self {
        Self {
            program: view.program.to_string(),
            tenant: view.spec.tenant.0,
            class: view.spec.class.0,
            model: view.spec.model.0,
            parent: view.spec.parent.map(|parent| parent.to_string()),
            status: view.status,
            owner: view.owner.0,
            epoch: view.epoch.0,
            next_sequence: view.next_sequence.0,
            budget: BudgetBody {
                ceiling: view.spec.budget,
                spent: view.spent,
                reserved: view.reserved,
            },
            uncertain_calls: view.uncertain_calls.iter().map(|call| call.0).collect(),
            history: view.history,
        }
    }
}
