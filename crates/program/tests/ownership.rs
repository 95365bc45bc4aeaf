//! Ownership: claims, epochs and delayed duplicates of requests.

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
fn a_repeated_claim_takes_the_program_over_once() {
    let mut store = store_with_program();
    let first = owned(store.apply(Timestamp::ZERO, &take_over(2, 20)));
    assert_eq!(first.epoch, Epoch(2));
    assert!(matches!(
        store.apply(Timestamp::ZERO, &begin(Epoch(2), 1, "a")),
        Reply::Begun(_)
    ));
    // The duplicate must not make the call in flight uncertain.
    let second = owned(store.apply(Timestamp::ZERO, &take_over(2, 20)));
    assert_eq!(second.epoch, Epoch(2));
    let reply = store.apply(
        Timestamp::ZERO,
        &finish(Epoch(2), 0, OutcomeClass::Completed),
    );
    assert!(matches!(reply, Reply::Finished { .. }));
}

#[test]
fn a_superseded_claim_is_refused() {
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
        "a different process does not know the calls of the first"
    );
    let same = owned(store.apply(Timestamp::ZERO, &create(1, 99)));
    assert_eq!(same.epoch, Epoch(2));
}

#[test]
fn an_intent_that_is_not_newer_than_the_latest_is_refused() {
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
    // The sequence can be used again, but this is a late duplicate of the same intent.
    let late = refused(store.apply(Timestamp::ZERO, &begin(Epoch(1), 7, "a")));
    assert_eq!(late.code, RefusalCode::StaleOwner);
    let next = store.apply(Timestamp::ZERO, &begin(Epoch(1), 8, "b"));
    assert!(matches!(next, Reply::Begun(_)));
}
