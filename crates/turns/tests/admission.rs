//! Turns that race for one budget, over stores that hear of them in any order.

use luglink_turns::{Account, BudgetDecision, Spend, TurnId};
use proptest::prelude::*;

const STORES: usize = 3;
const QUORUM: usize = 2;
const CEILING: u64 = 10;

/// What a writer does next.
#[derive(Clone, Debug)]
struct Writer {
    turn: TurnId,
    /// Stores in the order in which they hear of it.
    order: Vec<usize>,
    written: usize,
    seen: Account,
    /// Stores that it reads at a second look, once it has to.
    second_look: Option<Vec<usize>>,
    reads: Vec<usize>,
    verdict: Option<BudgetDecision>,
}

impl Writer {
    fn new(number: usize, order: Vec<usize>, reads: Vec<usize>) -> Self {
        Self {
            turn: TurnId(format!("t{number}")),
            order,
            written: 0,
            seen: Account::default(),
            second_look: None,
            reads,
            verdict: None,
        }
    }

    /// One message: a write reaches a store, or a read does.
    fn step(&mut self, stores: &mut [Account], budget: u64) {
        if let Some(reads) = &mut self.second_look {
            let Some(store) = reads.pop() else { return };
            self.seen.merge(&stores[store]);
            if reads.is_empty() {
                let total = self.seen.total();
                self.verdict = Some(BudgetDecision::after_second_read(total, budget));
            }
            return;
        }
        if self.written == self.order.len() {
            return;
        }
        let store = self.order[self.written];
        stores[store].note(&self.turn, Spend::Reserved(CEILING));
        self.written += 1;
        if self.written > QUORUM {
            return;
        }
        self.seen.merge(&stores[store]);
        if self.written == QUORUM {
            self.judge(budget);
        }
    }

    fn judge(&mut self, budget: u64) {
        match BudgetDecision::after_first_read(self.seen.total(), CEILING, budget) {
            BudgetDecision::ReadAgain => {
                let reads = self.reads.iter().copied().take(QUORUM);
                self.second_look = Some(reads.collect());
            }
            verdict => self.verdict = Some(verdict),
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
    // Whoever is not through yet ends one after the other.
    for writer in &mut writers {
        for _ in 0..2 * STORES {
            writer.step(&mut stores, budget);
        }
    }
    let admitted = writers
        .iter()
        .filter(|writer| writer.verdict == Some(BudgetDecision::Admit));
    admitted.count() as u64 * CEILING
}

/// Each of three sees just one other: one look would let all of them through.
#[test]
fn three_that_see_each_other_in_a_circle_do_not_all_pass() {
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
    let first_looks: Vec<u64> = writers.iter().map(|writer| writer.seen.total()).collect();
    assert!(first_looks.iter().any(|total| *total <= budget));
    for _ in 0..2 * STORES {
        for writer in &mut writers {
            writer.step(&mut stores, budget);
        }
    }
    let admitted = writers
        .iter()
        .filter(|writer| writer.verdict == Some(BudgetDecision::Admit));
    assert!(admitted.count() as u64 * CEILING <= budget);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn turns_that_race_never_pass_the_budget_together(
        writers in prop::collection::vec((order(), order()), 1..=9),
        schedule in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
        turns in 0_u64..9,
    ) {
        let budget = turns * CEILING;
        prop_assert!(race(writers, schedule, budget) <= budget);
    }
}
