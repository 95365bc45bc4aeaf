//! Changes caused by elapsed time: leases, idle timeouts, deadlines, releases and removal.

mod common;

use common::{begin, create_with, end, owned, refused};
use luglink_program::{Command, ConfirmRelease, ProgramStore, RefundRule, RenewLease, Reply};
use luglink_types::{Budget, EngineId, Epoch, ProgramId, RefusalCode, Timestamp};
use std::time::Duration;

const CHILD: ProgramId = ProgramId {
    family: 1,
    member: 2,
};

fn after(seconds: u64) -> Timestamp {
    Timestamp::ZERO.plus(Duration::from_secs(seconds))
}

fn running() -> ProgramStore {
    let mut store = common::store_with_program();
    let reply = store.apply(Timestamp::ZERO, &begin(Epoch(1), 1, "a"));
    assert!(matches!(reply, Reply::Begun(_)));
    store
}

#[test]
fn an_idle_program_is_abandoned_and_its_memory_released() {
    let mut store = common::store_with_program();
    let call = begin(Epoch(1), 1, "a");
    store.apply(Timestamp::ZERO, &call);
    let done = common::finish(Epoch(1), 0, luglink_types::OutcomeClass::Completed);
    store.apply(Timestamp::ZERO, &done);
    assert!(!store.has_overdue(after(59)));
    assert!(store.has_overdue(after(61)));
    store.apply(after(61), &Command::Expire);
    let releases: Vec<EngineId> = store.releases().map(|release| release.engine).collect();
    assert_eq!(releases, [EngineId(1)]);
    let refusal = refused(store.apply(after(62), &begin(Epoch(1), 2, "b")));
    assert_eq!(refusal.code, RefusalCode::ProgramEnded);
    let confirm = Command::ConfirmRelease(ConfirmRelease {
        program: common::PROGRAM,
        engine: EngineId(1),
    });
    store.apply(after(63), &confirm);
    assert_eq!(store.releases().count(), 0);
}

#[test]
fn a_call_becomes_uncertain_unless_its_owner_renews_the_lease() {
    let mut silent = running();
    silent.apply(after(16), &Command::Expire);
    assert!(!silent.program(common::PROGRAM).unwrap().calls()[0].in_flight());
    let mut renewed = running();
    let renew = Command::Renew(RenewLease {
        programs: vec![(common::PROGRAM, Epoch(1))],
    });
    renewed.apply(after(10), &renew);
    renewed.apply(after(16), &Command::Expire);
    assert!(renewed.program(common::PROGRAM).unwrap().calls()[0].in_flight());
}

#[test]
fn children_end_with_their_parent_and_ended_programs_are_removed() {
    let mut store = ProgramStore::new(RefundRule::UnusedPart);
    owned(store.apply(
        Timestamp::ZERO,
        &create_with(common::PROGRAM, Budget::default(), None),
    ));
    let child = create_with(CHILD, Budget::default(), Some(common::PROGRAM));
    owned(store.apply(Timestamp::ZERO, &child));
    store.apply(Timestamp::ZERO, &end(common::PROGRAM));
    assert!(!store.program(CHILD).unwrap().is_active());
    store.apply(after(901), &Command::Expire);
    assert_eq!(store.programs().count(), 0);
}

#[test]
fn a_deadline_ends_a_program() {
    let mut store = ProgramStore::new(RefundRule::UnusedPart);
    let budget = Budget {
        deadline_ms: 5_000,
        ..Budget::default()
    };
    owned(store.apply(Timestamp::ZERO, &create_with(common::PROGRAM, budget, None)));
    let late = refused(store.apply(after(6), &begin(Epoch(1), 1, "a")));
    assert_eq!(late.code, RefusalCode::DeadlineExceeded);
    store.apply(after(6), &Command::Expire);
    assert!(!store.program(common::PROGRAM).unwrap().is_active());
}
