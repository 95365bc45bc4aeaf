//! Requests to turn stores and their responses.

use crate::account::{Account, Spend};
use crate::record::{ProgramName, TurnId, TurnRecord};
use luglink_fleet::BackendId;
use luglink_quota::{QuotaRequest, QuotaResponse};
use serde::{Deserialize, Serialize};

/// Query for a turn and its ancestors.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainQuery {
    /// The turn.
    pub turn: TurnId,
}

/// Turn and ancestors that a store has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Chain {
    /// The store has the turn and possibly some of its ancestors.
    Found {
        /// The turn.
        turn: Box<TurnRecord>,
        /// Ancestors that the store has.
        ancestors: Vec<TurnRecord>,
    },
    /// The store does not have the turn.
    Absent {
        /// Identifies the store's disk, so that the client can check whether the response is
        /// authoritative.
        incarnation: u64,
    },
}

/// Request to a turn store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Records the tokens that a turn takes from its program's budget, and optionally looks up a
    /// chain.
    Spend {
        /// Epoch of the writer's view of the stores.
        epoch: u64,
        /// The program.
        program: ProgramName,
        /// The turn.
        turn: TurnId,
        /// Tokens that the turn takes.
        spend: Spend,
        /// Retention time of the account in milliseconds.
        retention_ms: u64,
        /// Chain to look up with the same request.
        chain: Option<ChainQuery>,
        /// Replica that served the turn and has the program's prompt in its cache.
        served_by: Option<BackendId>,
    },
    /// Reads the account of a program.
    Account(ProgramName),
    /// Stores a turn, settles its tokens, and extends the retention of its ancestors to at least
    /// its own.
    Keep {
        /// Epoch of the writer's view of the stores.
        epoch: u64,
        /// The turn.
        turn: Box<TurnRecord>,
        /// Tokens that the turn took.
        tokens: u64,
        /// Ancestors that belong to another program and may be owned by other stores.
        foreign_ancestors: Vec<TurnRecord>,
    },
    /// Looks up a chain.
    Lookup(ChainQuery),
    /// Transfers records that the receiver owns.
    HandOver {
        /// Turns.
        turns: Vec<TurnRecord>,
        /// Accounts with their retention times in milliseconds.
        accounts: Vec<(ProgramName, Account, u64)>,
    },
    /// Requests a token of a tenant's quota. It is not stored on disk.
    Quota(QuotaRequest),
}

/// Response of a turn store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreResponse {
    /// The tokens are recorded on disk.
    Spent {
        /// The program's account at this store, including the recorded tokens.
        account: Account,
        /// Chain, if the request asked for one.
        chain: Option<Chain>,
        /// Replica that served the program's last turn, if this store knows it. The value is a
        /// hint that is not stored on disk and is lost when the process ends.
        served_by: Option<BackendId>,
    },
    /// The program's account at this store.
    Account(Account),
    /// The records are on disk.
    Done,
    /// Result of a chain lookup.
    Chain(Chain),
    /// The request failed and nothing was written.
    Failed {
        /// Description of the error.
        reason: String,
    },
    /// Decision on a quota request.
    Quota(QuotaResponse),
}
