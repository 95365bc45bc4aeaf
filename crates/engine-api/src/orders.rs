//! Orders to engines. An engine rejects an order whose fence is lower than the highest one that it has
//! received from the same source, so that a superseded leader cannot revert the orders of its
//! successor.

use serde::{Deserialize, Serialize};

/// Fencing token of an order. Fences are compared by epoch first, then by sequence.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct OrderFence {
    /// Term of the leader that sent the order.
    pub epoch: u64,
    /// Number of the order within the term.
    pub sequence: u64,
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing token.
    pub fence: OrderFence,
    /// Sender of the order. Only fences of the same source are compared.
    pub source: String,
    /// Action.
    #[serde(flatten)]
    pub order: OrderKind,
}

/// Action of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum OrderKind {
    /// Releases all cache blocks that only this program uses.
    ReleaseProgram {
        /// Program.
        program: String,
    },
    /// Loads a version of the model.
    LoadModel {
        /// Version of the model.
        version: String,
    },
    /// Loads an adapter.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
        /// Version of the adapter.
        version: String,
    },
    /// Changes the role of the engine.
    ChangeRole {
        /// `prefill`, `decode` or `mixed`.
        role: String,
    },
    /// Stops or resumes the acceptance of new requests.
    Drain {
        /// True to stop, false to resume.
        draining: bool,
    },
}

/// Response to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum OrderResponse {
    /// The order is complete.
    Done,
    /// The order is in progress. The sender repeats it to learn when it is complete.
    Pending,
    /// The engine has received a higher fence.
    Fenced {
        /// Highest received fence.
        highest: OrderFence,
    },
    /// The engine cannot execute the order.
    Invalid {
        /// Reason.
        reason: String,
    },
}
