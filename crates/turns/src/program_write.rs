//! Write of a program's records to the stores that own them.

use crate::account::Account;
use crate::protocol::StoreRequest;
use crate::record::ProgramName;
use crate::replication::JointQuorum;
use luglink_fleet::StoreName;
use std::collections::BTreeMap;

/// Request that completes the account of a store. Once the store has acknowledged it,
/// [`ProgramWrite::on_repaired`] is called.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountRepair {
    /// The store.
    pub store: StoreName,
    /// The request.
    pub request: StoreRequest,
}

/// Collects the stores that have a write on disk until a quorum of them holds the whole account of
/// the program.
///
/// A store that missed earlier writes may acknowledge the present one without them. It counts only once
/// its copy covers what a quorum of copies adds up to, which includes all that was committed
/// before. So every committed write leaves the whole account on as many disks as itself.
#[derive(Clone, Debug)]
pub struct ProgramWrite {
    program: ProgramName,
    retention_ms: u64,
    /// Stores that have the write on disk.
    written: JointQuorum,
    /// Those that hold the whole account, too.
    whole: JointQuorum,
    /// Copies of the account that were not compared yet.
    copies: BTreeMap<StoreName, Account>,
    /// All copies so far, merged.
    account: Account,
    /// The same at the time at which a quorum had the write on disk.
    committed: Option<Account>,
}

impl ProgramWrite {
    /// Creates a write that no store has yet. `known` is what the writer knows of the account.
    #[must_use]
    pub fn new(
        quorum: JointQuorum,
        program: ProgramName,
        retention_ms: u64,
        known: Account,
    ) -> Self {
        Self {
            program,
            retention_ms,
            written: quorum.clone(),
            whole: quorum,
            copies: BTreeMap::new(),
            account: known,
            committed: None,
        }
    }

    /// Returns the stores to send the write to.
    #[must_use]
    pub fn stores(&self) -> Vec<StoreName> {
        self.written.stores()
    }

    /// Records that a store has the write on disk, and its copy of the account. Returns the requests
    /// that complete the accounts of stores.
    pub fn on_written(&mut self, store: &StoreName, copy: Account) -> Vec<AccountRepair> {
        self.account.merge(&copy);
        self.written.record(store);
        self.copies.insert(store.clone(), copy);
        if self.committed.is_none() && self.written.is_complete() {
            self.committed = Some(self.account.clone());
        }
        let Some(committed) = &self.committed else {
            return Vec::new();
        };
        let mut repairs = Vec::new();
        for (store, copy) in std::mem::take(&mut self.copies) {
            if copy.covers(committed) {
                self.whole.record(&store);
            } else {
                repairs.push(AccountRepair {
                    store,
                    request: account_transfer(&self.program, committed, self.retention_ms),
                });
            }
        }
        repairs
    }

    /// Records that a store has completed its account.
    pub fn on_repaired(&mut self, store: &StoreName) {
        self.whole.record(store);
    }

    /// Returns true if a quorum of stores holds the write and the whole account.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.whole.is_complete()
    }

    /// Returns the number of stores that hold the write and the whole account.
    #[must_use]
    pub fn acknowledged(&self) -> usize {
        self.whole.acknowledged()
    }

    /// Returns what is known of the account. It includes all that was committed before the write, once
    /// [`ProgramWrite::is_complete`] holds.
    #[must_use]
    pub fn account(&self) -> &Account {
        &self.account
    }
}

fn account_transfer(program: &ProgramName, account: &Account, retention_ms: u64) -> StoreRequest {
    StoreRequest::HandOver {
        turns: Vec::new(),
        accounts: vec![(program.clone(), account.clone(), retention_ms)],
    }
}
