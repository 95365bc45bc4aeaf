//! A call with an uncertain outcome cannot start after the call that follows it.

mod common;

use common::{begin, finish, owned, store_with_program};
use luglink_program::{Begun, Claim, Command, MAX_CLOCK_SKEW, Reply, TakeOver};
use luglink_types::{DaemonId, Epoch, OutcomeClass, Timestamp};
use std::time::Duration;

fn begun(reply: Reply) -> Begun {
    match reply {
        Reply::Begun(begun) => begun,
        other => panic!("expected a begun call, got {other:?}"),
    }
}

const NOW: Timestamp = Timestamp::from_millis(100);

#[test]
fn after_a_take_over_the_next_call_waits_until_the_abandoned_call_cannot_start() {
    let mut store = store_with_program();
    let lost = begun(store.apply(NOW, &begin(Epoch(1), 1, "a")));
    assert!(lost.window.not_before <= NOW);
    owned(store.apply(
        NOW,
        &Command::TakeOver(TakeOver {
            program: common::PROGRAM,
            daemon: DaemonId(2),
            claim: Claim(2),
        }),
    ));
    let next = begun(store.apply(NOW, &begin(Epoch(2), 1, "b")));
    let gap = next.window.not_before.since(lost.window.start_by);
    assert!(
        gap >= MAX_CLOCK_SKEW,
        "gap of {gap:?} is less than the maximum clock skew"
    );
    assert!(next.window.start_by > next.window.not_before);
}

#[test]
fn the_call_after_an_uncertain_one_waits() {
    let mut store = store_with_program();
    let lost = begun(store.apply(NOW, &begin(Epoch(1), 1, "a")));
    store.apply(NOW, &finish(Epoch(1), 0, OutcomeClass::Uncertain));
    let next = begun(store.apply(NOW, &begin(Epoch(1), 2, "b")));
    assert!(next.window.not_before > lost.window.start_by);
}

#[test]
fn the_call_after_a_completed_one_starts_at_once() {
    let mut store = store_with_program();
    begun(store.apply(NOW, &begin(Epoch(1), 1, "a")));
    store.apply(NOW, &finish(Epoch(1), 0, OutcomeClass::Completed));
    let next = begun(store.apply(NOW, &begin(Epoch(1), 2, "b")));
    assert!(next.window.not_before <= NOW);
}

#[test]
fn a_call_does_not_wait_for_a_start_window_that_has_passed() {
    let mut store = store_with_program();
    begun(store.apply(NOW, &begin(Epoch(1), 1, "a")));
    store.apply(NOW, &finish(Epoch(1), 0, OutcomeClass::Uncertain));
    let later = NOW.plus(Duration::from_secs(10));
    let next = begun(store.apply(later, &begin(Epoch(1), 2, "b")));
    assert!(next.window.not_before < later);
}
