//! Accounts merge to the same total in whatever order records arrive.

use luglink_turns::{Account, Spend, TurnId};
use proptest::prelude::*;

fn turn(number: u8) -> TurnId {
    TurnId(format!("t{number}"))
}

fn spends() -> impl Strategy<Value = Vec<(u8, bool, u64)>> {
    prop::collection::vec((0_u8..6, any::<bool>(), 0_u64..500), 0..24)
}

fn account(records: &[(u8, bool, u64)]) -> Account {
    let mut account = Account::default();
    for (number, settled, tokens) in records {
        let spend = if *settled {
            Spend::Settled(*tokens)
        } else {
            Spend::Reserved(*tokens)
        };
        account.record(&turn(*number), spend);
    }
    account
}

#[test]
fn a_settled_record_replaces_a_reserved_one_in_either_order() {
    let forward = account(&[(1, false, 288), (1, true, 45)]);
    let backward = account(&[(1, true, 45), (1, false, 288)]);
    assert_eq!(forward.total(), 45);
    assert_eq!(backward.total(), 45);
}

#[test]
fn a_turn_settled_with_zero_tokens_costs_nothing() {
    assert_eq!(account(&[(1, false, 288), (1, true, 0)]).total(), 0);
}

#[test]
fn a_turn_is_the_first_unless_another_one_has_spent_or_reserved_tokens() {
    assert!(Account::default().is_first_turn(&turn(1)));
    assert!(account(&[(1, false, 288)]).is_first_turn(&turn(1)));
    // A turn that was refused, or failed before it generated a token, does not count.
    assert!(account(&[(1, false, 288), (2, true, 0)]).is_first_turn(&turn(1)));
    assert!(!account(&[(1, false, 288), (2, true, 9)]).is_first_turn(&turn(1)));
    assert!(!account(&[(1, false, 288), (2, false, 288)]).is_first_turn(&turn(1)));
}

proptest! {
    #[test]
    fn order_and_repetition_do_not_matter(first in spends(), second in spends()) {
        let mut left = account(&first);
        left.merge(&account(&second));
        left.merge(&account(&first));
        let mut right = account(&second);
        right.merge(&account(&first));
        prop_assert_eq!(left, right);
    }

    #[test]
    fn repeated_records_report_no_change(records in spends()) {
        let mut known = account(&records);
        let spends: Vec<(TurnId, Spend)> =
            known.spends().map(|(turn, spend)| (turn.clone(), spend)).collect();
        for (turn, spend) in spends {
            prop_assert!(!known.record(&turn, spend));
        }
    }
}
