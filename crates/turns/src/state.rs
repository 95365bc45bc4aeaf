//! In-memory state of a store.

use crate::account::{Account, Spend};
use crate::journal::Entry;
use crate::record::{ProgramName, TurnId, TurnRecord};
use luglink_fleet::BackendId;
use luglink_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Stored turn with its journal segment and expiry time.
#[derive(Clone, Debug)]
pub(crate) struct HeldTurn {
    pub(crate) record: TurnRecord,
    pub(crate) segment: u64,
    pub(crate) expires_at: Timestamp,
}

/// Stored account with its journal segment and expiry time.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldAccount {
    pub(crate) account: Account,
    /// Oldest journal segment that contains an entry of the account.
    pub(crate) oldest_segment: u64,
    pub(crate) expires_at: Timestamp,
    pub(crate) retention_ms: u64,
    /// Replica that served the program's last turn.
    pub(crate) served_by: Option<BackendId>,
}

impl HeldAccount {
    fn renew(&mut self, retention_ms: u64, now: Timestamp) {
        self.retention_ms = self.retention_ms.max(retention_ms);
        let expires_at = now.plus(Duration::from_millis(self.retention_ms));
        self.expires_at = self.expires_at.max(expires_at);
    }
}

/// Turns and accounts of a store.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) turns: HashMap<TurnId, HeldTurn>,
    pub(crate) accounts: HashMap<ProgramName, HeldAccount>,
}

impl State {
    /// Returns true if the entry contains a new turn, new tokens or a view. A longer retention of a
    /// known turn or account does not count.
    pub(crate) fn is_changed_by(&self, entry: &Entry) -> bool {
        match entry {
            Entry::Turn(record) => !self.turns.contains_key(&record.id),
            Entry::Spend {
                program,
                turn,
                spend,
                ..
            } => self
                .accounts
                .get(program)
                .and_then(|held| held.account.spend_of(turn))
                .is_none_or(|known| known.merge(*spend) != known),
            Entry::HandedOver(_) => true,
        }
    }

    /// Applies an entry from `segment` of the journal.
    pub(crate) fn apply(&mut self, entry: &Entry, segment: u64, now: Timestamp) {
        match entry {
            Entry::Turn(record) => self.keep(record, segment, now),
            Entry::Spend {
                program,
                turn,
                spend,
                retention_ms,
            } => self.spend(program, turn, *spend, *retention_ms, segment, now),
            Entry::HandedOver(_) => {}
        }
    }

    /// Restarts the retention of what an entry contains and of a turn's ancestors.
    pub(crate) fn renew(&mut self, entry: &Entry, now: Timestamp) {
        match entry {
            Entry::Turn(record) => self.renew_turn(record, now),
            Entry::Spend {
                program,
                retention_ms,
                ..
            } => {
                if let Some(held) = self.accounts.get_mut(program) {
                    held.renew(*retention_ms, now);
                }
            }
            Entry::HandedOver(_) => {}
        }
    }

    /// Restarts the retention of a turn and its ancestors, as far as they are held.
    pub(crate) fn renew_turn(&mut self, record: &TurnRecord, now: Timestamp) {
        let expires_at = now.plus(Duration::from_millis(record.retention_ms));
        for turn in record.ancestors.iter().chain([&record.id]) {
            if let Some(held) = self.turns.get_mut(turn) {
                held.expires_at = held.expires_at.max(expires_at);
            }
        }
    }

    fn keep(&mut self, record: &TurnRecord, segment: u64, now: Timestamp) {
        self.renew_turn(record, now);
        let expires_at = now.plus(Duration::from_millis(record.retention_ms));
        self.turns.insert(
            record.id.clone(),
            HeldTurn {
                record: record.clone(),
                segment,
                expires_at,
            },
        );
    }

    fn spend(
        &mut self,
        program: &ProgramName,
        turn: &TurnId,
        spend: Spend,
        retention_ms: u64,
        segment: u64,
        now: Timestamp,
    ) {
        let held = self
            .accounts
            .entry(program.clone())
            .or_insert_with(|| HeldAccount {
                oldest_segment: segment,
                ..HeldAccount::default()
            });
        held.oldest_segment = held.oldest_segment.min(segment);
        held.renew(retention_ms, now);
        held.account.record(turn, spend);
    }

    /// Removes turns and accounts whose retention has passed.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.turns.retain(|_, held| held.expires_at > now);
        self.accounts.retain(|_, held| held.expires_at > now);
    }
}
