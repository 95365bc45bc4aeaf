//! Orders to engines. An engine refuses an order whose fence is lower than the highest it has
//! seen on the same subject, so that a leader that was superseded cannot undo its successor.

use serde::{Deserialize, Serialize};

/// Compared as a pair, the epoch first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct OrderFence {
    /// Term of the leader that gave the order.
    pub epoch: u64,
    /// Number of the order within the term.
    pub sequence: u64,
}

/// `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fence.
    pub fence: OrderFence,
    /// Who orders; fences of one source are compared with each other.
    pub source: String,
    /// What to do.
    #[serde(flatten)]
    pub order: OrderKind,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum OrderKind {
    /// Give up every block that only this program uses.
    ReleaseProgram {
        /// The program.
        program: String,
    },
    /// Load a version of the model.
    LoadModel {
        /// The version.
        version: String,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Its name.
        adapter: String,
        /// Its version.
        version: String,
    },
    /// Change what the engine is used for.
    ChangeRole {
        /// `prefill`, `decode` or `mixed`.
        role: String,
    },
    /// Take no new work, or take it again.
    Drain {
        /// Which of the two.
        draining: bool,
    },
}

/// The answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum OrderResponse {
    /// It is carried out.
    Done,
    /// It is being carried out; ask again.
    Pending,
    /// A higher fence was seen.
    Fenced {
        /// The highest fence seen.
        highest: OrderFence,
    },
    /// The engine cannot do that.
    Invalid {
        /// Why.
        reason: String,
    },
}
