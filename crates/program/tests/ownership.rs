//! Ownership: claims, epochs, and copies of requests that the network kept back.

mod common;

use common::{begin, claim, create, finish, owned, refused, store_with_program};
use luglink_program::{Command, Reply, TakeOver};
use luglink_types::{DaemonId, Epoch, OutcomeClass, RefusalCode, Timestamp};

fn take_over(daemon: u32, name: u64) -> Command {
    Command::TakeOver(TakeOver {
        program: common::PROGRAM,
        daemon: DaemonId(daemon),
        claim: claim(name),
    })
}

#[test]
fn a_claim_that_comes_twice_takes_the_program_once() {
    let mut store = store_with_program();
    let first = owned(store.apply(Timestamp::ZERO, &take_over(2, 20)));
    assert_eq!(first.epoch, Epoch(2));
    assert!(matches!(
        store.apply(Timestamp::ZERO, &begin(Epoch(2), 1, "a")),
        Reply::Begun(_)
    ));
    // The copy must not take the call in flight for lost.
    let second = owned(store.apply(Timestamp::ZERO, &take_over(2, 20)));
    assert_eq!(second.epoch, Epoch(2));
    let reply = store.apply(
        Timestamp::ZERO,
        &finish(Epoch(2), 0, OutcomeClass::Completed),
    );
    assert!(matches!(reply, Reply::Finished { .. }));
}

#[test]
fn a_claim_that_another_has_followed_is_refused() {
    let mut store = store_with_program();
    owned(store.apply(Timestamp::ZERO, &take_over(2, 20)));
    owned(store.apply(Timestamp::ZERO, &take_over(3, 30)));
    let late = refused(store.apply(Timestamp::ZERO, &take_over(2, 20)));
    assert_eq!(late.code, RefusalCode::StaleOwner);
    let still = owned(store.apply(Timestamp::ZERO, &take_over(3, 30)));
    assert_eq!(still.epoch, Epoch(3));
}

#[test]
fn creating_again_from_another_process_changes_the_owner() {
    let mut store = store_with_program();
    let again = owned(store.apply(Timestamp::ZERO, &create(1, 99)));
    assert_eq!(
        again.epoch,
        Epoch(2),
        "another process cannot know the calls of the first"
    );
    let same = owned(store.apply(Timestamp::ZERO, &create(1, 99)));
    assert_eq!(same.epoch, Epoch(2));
}

#[test]
fn an_intent_that_a_later_one_has_overtaken_starts_nothing() {
    let mut store = store_with_program();
    assert!(matches!(
        store.apply(Timestamp::ZERO, &begin(Epoch(1), 7, "a")),
        Reply::Begun(_)
    ));
    let closed = finish(Epoch(1), 0, OutcomeClass::NotDispatched);
    assert!(matches!(
        store.apply(Timestamp::ZERO, &closed),
        Reply::Finished { .. }
    ));
    // The place is free again, but this is only a late copy of the same intent.
    let late = refused(store.apply(Timestamp::ZERO, &begin(Epoch(1), 7, "a")));
    assert_eq!(late.code, RefusalCode::StaleOwner);
    let next = store.apply(Timestamp::ZERO, &begin(Epoch(1), 8, "b"));
    assert!(matches!(next, Reply::Begun(_)));
}
