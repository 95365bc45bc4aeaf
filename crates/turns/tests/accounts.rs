//! Accounts merge to the same total in whatever order words arrive.

use luglink_turns::{Account, Spend, TurnId};
use proptest::prelude::*;

fn turn(number: u8) -> TurnId {
    TurnId(format!("t{number}"))
}

fn spends() -> impl Strategy<Value = Vec<(u8, bool, u64)>> {
    prop::collection::vec((0_u8..6, any::<bool>(), 0_u64..500), 0..24)
}

fn account(words: &[(u8, bool, u64)]) -> Account {
    let mut account = Account::default();
    for (number, settled, tokens) in words {
        let spend = if *settled {
            Spend::Settled(*tokens)
        } else {
            Spend::Reserved(*tokens)
        };
        account.note(&turn(*number), spend);
    }
    account
}

#[test]
fn the_end_of_a_turn_outlasts_its_beginning_whichever_comes_first() {
    let forward = account(&[(1, false, 288), (1, true, 45)]);
    let backward = account(&[(1, true, 45), (1, false, 288)]);
    assert_eq!(forward.total(), 45);
    assert_eq!(backward.total(), 45);
}

#[test]
fn a_turn_that_gave_nothing_costs_nothing() {
    assert_eq!(account(&[(1, false, 288), (1, true, 0)]).total(), 0);
}

#[test]
fn a_program_has_begun_once_another_turn_took_or_holds_something() {
    assert!(Account::default().is_first_turn(&turn(1)));
    assert!(account(&[(1, false, 288)]).is_first_turn(&turn(1)));
    // A turn that was refused or failed before it generated anything began nothing.
    assert!(account(&[(1, false, 288), (2, true, 0)]).is_first_turn(&turn(1)));
    assert!(!account(&[(1, false, 288), (2, true, 9)]).is_first_turn(&turn(1)));
    assert!(!account(&[(1, false, 288), (2, false, 288)]).is_first_turn(&turn(1)));
}

proptest! {
    #[test]
    fn order_and_repetition_do_not_matter(words in spends(), again in spends()) {
        let mut left = account(&words);
        left.merge(&account(&again));
        left.merge(&account(&words));
        let mut right = account(&again);
        right.merge(&account(&words));
        prop_assert_eq!(left, right);
    }

    #[test]
    fn notes_that_change_nothing_say_so(words in spends()) {
        let mut known = account(&words);
        let spends: Vec<(TurnId, Spend)> =
            known.spends().map(|(turn, spend)| (turn.clone(), spend)).collect();
        for (turn, spend) in spends {
            prop_assert!(!known.note(&turn, spend));
        }
    }
}
