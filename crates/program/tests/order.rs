//! Order of the calls of one program.

mod common;

use common::{PROGRAM, begin_call, finish, refused, store_with_program};
use luglink_program::{Command, ProgramStore, Reply};
use luglink_types::{Epoch, Executed, OutcomeClass, RefusalCode, Sequence, Timestamp};

fn epoch(store: &ProgramStore) -> Epoch {
    store.program(PROGRAM).expect("the program").view().epoch
}

/// Begins a call with a unique key, so that only the order check can refuse it.
fn begin_at(epoch: Epoch, intent: u64, sequence: Option<u64>) -> Command {
    let mut call = begin_call(PROGRAM, epoch, intent, &format!("key-{intent}"));
    call.sequence = sequence.map(Sequence);
    Command::Begin(call)
}

fn assert_refused(reply: Reply, code: RefusalCode) {
    let refusal = refused(reply);
    assert_eq!(refusal.code, code);
    assert_eq!(refusal.executed, Executed::No);
}

#[test]
fn a_second_call_does_not_start_while_the_first_is_in_flight() {
    let mut store = store_with_program();
    let epoch = epoch(&store);
    let now = Timestamp::from_millis(10);
    assert!(matches!(
        store.apply(now, &begin_at(epoch, 1, Some(0))),
        Reply::Begun(_)
    ));
    // Concurrent calls with the next sequence, the same sequence, or none.
    for (intent, sequence) in [(2, Some(1)), (3, Some(0)), (4, None)] {
        let reply = store.apply(now, &begin_at(epoch, intent, sequence));
        assert_refused(reply, RefusalCode::CallInProgress);
    }
    store.apply(now, &finish(epoch, 0, OutcomeClass::Completed));
    assert!(matches!(
        store.apply(now, &begin_at(epoch, 5, Some(1))),
        Reply::Begun(_)
    ));
}

#[test]
fn only_the_next_sequence_starts() {
    let mut store = store_with_program();
    let epoch = epoch(&store);
    let now = Timestamp::from_millis(10);
    for sequence in 0..3 {
        store.apply(now, &begin_at(epoch, sequence + 1, Some(sequence)));
        store.apply(now, &finish(epoch, sequence, OutcomeClass::Completed));
    }
    // A past sequence with a new key is out of order, and so is one beyond the next.
    for (intent, sequence) in [(10, 0), (11, 2), (12, 4), (13, u64::MAX)] {
        let reply = store.apply(now, &begin_at(epoch, intent, Some(sequence)));
        assert_refused(reply, RefusalCode::OutOfOrder);
    }
    assert!(matches!(
        store.apply(now, &begin_at(epoch, 14, Some(3))),
        Reply::Begun(_)
    ));
}
