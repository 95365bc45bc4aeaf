//! New connections at the limit take the place of those that wait longest for their peers.

use luglink_limits::{Admission, ConnectionId, ConnectionTable, ListenerKind, Machine};
use proptest::prelude::*;

fn open(table: &mut ConnectionTable, limit: usize) -> ConnectionId {
    match table.open(limit) {
        Admission::Accepted(id) => id,
        admission => panic!("{admission:?}"),
    }
}

#[test]
fn the_longest_waiting_connection_gives_way() {
    let mut table = ConnectionTable::default();
    let first = open(&mut table, 3);
    let second = open(&mut table, 3);
    let third = open(&mut table, 3);
    table.set_running(second);
    table.set_running(first);
    table.set_waiting(first);
    let Admission::InPlaceOf { closed, .. } = table.open(3) else {
        panic!("a connection waits");
    };
    assert_eq!(closed, third);
    let Admission::InPlaceOf { closed, .. } = table.open(3) else {
        panic!("a connection waits");
    };
    assert_eq!(closed, first, "its wait began after that of the third one");
    assert_eq!(table.count(), 3);
}

#[test]
fn running_requests_are_not_cut() {
    let mut table = ConnectionTable::default();
    for _ in 0..2 {
        let id = open(&mut table, 2);
        table.set_running(id);
    }
    assert_eq!(table.open(2), Admission::Refused);
    assert_eq!(table.count(), 2);
}

#[test]
fn a_closed_connection_leaves_room() {
    let mut table = ConnectionTable::default();
    let id = open(&mut table, 1);
    table.set_running(id);
    table.close(id);
    table.set_waiting(id);
    assert_eq!(table.count(), 0);
    open(&mut table, 1);
}

/// All listeners of a process together leave open files for its own connections and data.
#[test]
fn the_listeners_of_a_process_leave_files() {
    use ListenerKind::{Callers, Internal, Metrics, Operators, Readiness, Resolution};
    for (memory_mb, open_files) in [(48, 256), (58, 256), (58, 8_200), (260, 4_100)] {
        let machine = Machine {
            memory_bytes: memory_mb << 20,
            open_files,
        };
        let roles = [
            [Callers, Readiness, Metrics].as_slice(),
            &[Internal, Resolution, Operators, Metrics],
            &[Internal, Metrics],
        ];
        for listeners in roles {
            let listeners = listeners.iter().map(|kind| machine.connections(*kind));
            let connections: usize = listeners.sum();
            assert!(connections as u64 <= open_files * 3 / 4, "{machine:?}");
        }
    }
}

proptest! {
    #[test]
    fn the_count_stays_within_the_limit(steps in prop::collection::vec((0..4_u8, 0..20_usize), 1..200)) {
        const LIMIT: usize = 5;
        let mut table = ConnectionTable::default();
        let mut known = Vec::new();
        for (step, at) in steps {
            let pick = known.get(at % known.len().max(1)).copied();
            match (step, pick) {
                (0, _) | (_, None) => match table.open(LIMIT) {
                    Admission::Accepted(id) => known.push(id),
                    Admission::InPlaceOf { accepted, closed } => {
                        prop_assert!(known.contains(&closed));
                        known.retain(|id| *id != closed);
                        known.push(accepted);
                    }
                    Admission::Refused => {}
                },
                (1, Some(id)) => table.set_running(id),
                (2, Some(id)) => table.set_waiting(id),
                (_, Some(id)) => {
                    table.close(id);
                    known.retain(|other| *other != id);
                }
            }
            prop_assert_eq!(table.count(), known.len());
            prop_assert!(table.count() <= LIMIT);
        }
    }
}
