//! Requests to a turn store and its responses.

use crate::account::{Account, Spend};
use crate::record::{ProgramName, TurnId, TurnRecord};
use luglink_fleet::BackendId;
use luglink_quota::{QuotaRequest, QuotaResponse};
use serde::{Deserialize, Serialize};

/// Asks for a turn and the turns that it goes on from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainQuery {
    /// The turn.
    pub turn: TurnId,
}

/// What a store has of a chain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Chain {
    /// The turn is here, with those of its ancestors that are here too.
    Found {
        /// The turn.
        turn: Box<TurnRecord>,
        /// Its ancestors.
        ancestors: Vec<TurnRecord>,
    },
    /// The turn is not here.
    Absent {
        /// Names the store's disk, so that the asker can tell what its word is worth.
        incarnation: u64,
    },
}

/// What a store is asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Notes what a turn takes from its program's budget, and looks a chain up.
    Spend {
        /// The writer's view of the stores.
        epoch: u64,
        /// The program.
        program: ProgramName,
        /// The turn.
        turn: TurnId,
        /// What it takes.
        spend: Spend,
        /// Time for which the account is kept, in milliseconds.
        retention_ms: u64,
        /// A chain to look up with it.
        chain: Option<ChainQuery>,
        /// The replica that served the turn, and holds the program's prompt in cache.
        served_by: Option<BackendId>,
    },
    /// Reads a program's account.
    Account(ProgramName),
    /// Keeps a turn, settles its account, and keeps its chain for as long.
    Keep {
        /// The writer's view of the stores.
        epoch: u64,
        /// The turn.
        turn: Box<TurnRecord>,
        /// Tokens that it took.
        tokens: u64,
        /// Ancestors that another program said, and that may be kept elsewhere.
        foreign_ancestors: Vec<TurnRecord>,
    },
    /// Looks a chain up.
    Lookup(ChainQuery),
    /// Hands over what the receiver should hold too.
    HandOver {
        /// Turns.
        turns: Vec<TurnRecord>,
        /// Accounts, with the time for which they are kept, in milliseconds.
        accounts: Vec<(ProgramName, Account, u64)>,
    },
    /// Asks for a token of a tenant's quota. Nothing of it goes to disk.
    Quota(QuotaRequest),
}

/// What a store answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreResponse {
    /// On disk. The account is as it is with it.
    Spent {
        /// The program's account at this store.
        account: Account,
        /// The chain, when it was asked for.
        chain: Option<Chain>,
        /// The replica that served the program's last turn, as far as this store has heard. Not
        /// on disk: a hint, lost with the process.
        served_by: Option<BackendId>,
    },
    /// The program's account at this store.
    Account(Account),
    /// On disk.
    Done,
    /// What this store has of the chain.
    Chain(Chain),
    /// Nothing was written.
    Failed {
        /// Why.
        reason: String,
    },
    /// Whether a request may go by its tenant's quota.
    Quota(QuotaResponse),
}
