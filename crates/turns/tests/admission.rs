//! Admission of concurrent turns against one budget, with writes in any order at the stores.

use luglink_turns::{Account, BudgetDecision, Spend, TurnId};
use proptest::prelude::*;

const STORES: usize = 3;
const QUORUM: usize = 2;
const CEILING: u64 = 10;

/// Writer that reserves tokens for one turn and decides on its admission.
#[derive(Clone, Debug)]
struct Writer {
    turn: TurnId,
    /// Stores in the order in which the writes reach them.
    order: Vec<usize>,
    written: usize,
    seen: Account,
    /// Stores that the second read has not reached yet, if a second read is needed.
    second_read: Option<Vec<usize>>,
    reads: Vec<usize>,
    decision: Option<BudgetDecision>,
}

impl Writer {
    fn new(number: usize, order: Vec<usize>, reads: Vec<usize>) -> Self {
        Self {
            turn: TurnId(format!("t{number}")),
            order,
            written: 0,
            seen: Account::default(),
            second_read: None,
            reads,
            decision: None,
        }
    }

    /// Delivers one message: a write or a read reaches a store.
    fn step(&mut self, stores: &mut [Account], budget: u64) {
        if let Some(reads) = &mut self.second_read {
            let Some(store) = reads.pop() else { return };
            self.seen.merge(&stores[store]);
            if reads.is_empty() {
                let total = self.seen.total();
                self.decision = Some(BudgetDecision::after_second_read(total, budget));
            }
            return;
        }
        if self.written == self.order.len() {
            return;
        }
        let store = self.order[self.written];
        stores[store].record(&self.turn, Spend::Reserved(CEILING));
        self.written += 1;
        if self.written > QUORUM {
            return;
        }
        self.seen.merge(&stores[store]);
        if self.written == QUORUM {
            self.decide(budget);
        }
    }

    fn decide(&mut self, budget: u64) {
        match BudgetDecision::after_first_read(self.seen.total(), CEILING, budget) {
            BudgetDecision::ReadAgain => {
                let reads = self.reads.iter().copied().take(QUORUM);
                self.second_read = Some(reads.collect());
            }
            decision => self.decision = Some(decision),
        }
    }
}

fn order() -> impl Strategy<Value = Vec<usize>> {
    Just((0..STORES).collect::<Vec<_>>()).prop_shuffle()
}

fn race(
    writers: Vec<(Vec<usize>, Vec<usize>)>,
    schedule: Vec<prop::sample::Index>,
    budget: u64,
) -> u64 {
    let mut stores = vec![Account::default(); STORES];
    let mut writers: Vec<Writer> = writers
        .into_iter()
        .enumerate()
        .map(|(number, (order, reads))| Writer::new(number, order, reads))
        .collect();
    for index in schedule {
        let writer = index.index(writers.len());
        writers[writer].step(&mut stores, budget);
    }
    // The remaining writers finish one after the other.
    for writer in &mut writers {
        for _ in 0..2 * STORES {
            writer.step(&mut stores, budget);
        }
    }
    let admitted = writers
        .iter()
        .filter(|writer| writer.decision == Some(BudgetDecision::Admit));
    admitted.count() as u64 * CEILING
}

/// Guards against admission after a single read: each of three writers sees only one other, so
/// that after the first read all of them would be admitted.
#[test]
fn three_turns_that_see_each_other_in_a_cycle_are_not_all_admitted() {
    let writers = vec![
        (vec![0, 1, 2], vec![0, 1]),
        (vec![1, 2, 0], vec![1, 2]),
        (vec![2, 0, 1], vec![2, 0]),
    ];
    let mut stores = vec![Account::default(); STORES];
    let budget = 2 * CEILING;
    let mut writers: Vec<Writer> = writers
        .into_iter()
        .enumerate()
        .map(|(number, (order, reads))| Writer::new(number, order, reads))
        .collect();
    for _ in 0..QUORUM {
        for writer in &mut writers {
            writer.step(&mut stores, budget);
        }
    }
    let first_reads: Vec<u64> = writers.iter().map(|writer| writer.seen.total()).collect();
    assert!(first_reads.iter().any(|total| *total <= budget));
    for _ in 0..2 * STORES {
        for writer in &mut writers {
            writer.step(&mut stores, budget);
        }
    }
    let admitted = writers
        .iter()
        .filter(|writer| writer.decision == Some(BudgetDecision::Admit));
    assert!(admitted.count() as u64 * CEILING <= budget);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn concurrent_turns_never_exceed_the_budget_together(
        writers in prop::collection::vec((order(), order()), 1..=9),
        schedule in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
        turns in 0_u64..9,
    ) {
        let budget = turns * CEILING;
        prop_assert!(race(writers, schedule, budget) <= budget);
    }
}
