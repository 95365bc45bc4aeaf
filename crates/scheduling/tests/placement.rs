//! Placement of new programs.

use luglink_edge::ReplicaReport;
use luglink_scheduling::{Placement, place, place_soonest};
use proptest::prelude::*;
use std::time::Duration;

fn report(running: u32, waiting: u32, memory_used: u64) -> ReplicaReport {
    ReplicaReport {
        running,
        waiting,
        memory_used,
        memory_total: 1_000,
        ..ReplicaReport::default()
    }
}

#[test]
fn fullness_is_the_maximum_of_slots_and_memory() {
    assert_eq!(report(4, 0, 100).fullness(8), 0.5);
    assert_eq!(report(4, 0, 900).fullness(8), 0.9);
    assert_eq!(report(8, 4, 900).fullness(8), 1.5);
    // A replica that reports neither slots nor memory has a fullness of 0.
    assert_eq!(ReplicaReport::default().fullness(0), 0.0);
}

#[test]
fn the_less_full_candidate_is_chosen_and_the_first_of_equals() {
    let at = |fullness: &[Option<f64>]| place(fullness, 1.0, 0.0);
    assert_eq!(at(&[Some(0.5), Some(0.25)]), Placement::At(1));
    assert_eq!(at(&[Some(0.5), Some(0.5)]), Placement::At(0));
    assert_eq!(at(&[None, Some(0.9)]), Placement::At(1));
}

#[test]
fn candidates_without_a_report_do_not_refuse_a_program() {
    assert_eq!(place(&[None, None], 1.0, 0.0), Placement::At(0));
    assert_eq!(place(&[], 1.0, 0.0), Placement::At(0));
}

proptest! {
    #[test]
    fn programs_are_refused_exactly_when_all_reporting_candidates_are_full(
        fullness in prop::collection::vec(prop::option::of(0.0_f64..6.0), 1..5),
        limit in 0.1_f64..2.0,
        spread in 0.0_f64..=1.0,
    ) {
        let known: Vec<f64> = fullness.iter().copied().flatten().collect();
        let are_full = !known.is_empty() && known.iter().all(|known| *known >= limit);
        match place(&fullness, limit, spread) {
            Placement::At(position) => {
                prop_assert!(!are_full);
                let least = known.iter().copied().min_by(f64::total_cmp);
                prop_assert!(known.is_empty() || fullness[position] == least);
            }
            Placement::Refuse { retry_delay, .. } => {
                prop_assert!(are_full);
                // Before a program is over, but not at once.
                let bounds = Duration::from_millis(125)..Duration::from_secs(2);
                prop_assert!(bounds.contains(&retry_delay), "{retry_delay:?}");
            }
        }
    }
}

#[test]
fn the_sooner_of_similarly_full_candidates_is_chosen() {
    let soonest =
        |fullness: &[Option<f64>], seconds: &[f64]| place_soonest(fullness, seconds, 0.4, 0.8, 0.0);
    let both = [Some(0.1), Some(0.3)];
    assert_eq!(soonest(&both, &[2.0, 1.0]), Placement::At(1));
    assert_eq!(soonest(&both, &[1.0, 2.0]), Placement::At(0));
    // Neither a much fuller candidate nor one without a report is chosen for its speed.
    assert_eq!(
        soonest(&[Some(0.5), Some(0.75)], &[2.0, 1.0]),
        Placement::At(0)
    );
    assert_eq!(soonest(&[Some(0.5), None], &[2.0, 1.0]), Placement::At(0));
    assert_eq!(soonest(&[None, None], &[2.0, 1.0]), Placement::At(0));
    let full = soonest(&[Some(0.9), Some(0.85)], &[2.0, 1.0]);
    assert!(matches!(full, Placement::Refuse { .. }));
}
