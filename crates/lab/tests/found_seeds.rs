//! Seeds in which the simulator once found a fault. Each must stay clean.

use luglink_lab::sim::scenario::{Scenario, run_scenario};

fn assert_clean(scenario: Scenario, seeds: &[u64]) {
    for seed in seeds {
        let report = run_scenario(scenario, *seed..*seed + 1, 1);
        assert!(
            report.failures.is_empty(),
            "{} seed {seed}: {:#?}",
            scenario.as_str(),
            report.failures
        );
    }
}

/// A call ran at an engine that broke; its second intent was refused because the program had
/// ended meanwhile, and the caller was told that nothing had run.
#[test]
fn a_call_that_ran_is_not_refused_as_not_run() {
    assert_clean(Scenario::LeavingEngine, &[376]);
    assert_clean(Scenario::CrossedLateAnswers, &[0]);
}

/// A daemon that had just started refused calls of models it did not know of yet.
#[test]
fn a_daemon_without_configuration_is_not_believed_about_it() {
    assert_clean(Scenario::PlannedStop, &[45, 106, 118, 255]);
}

/// A request lay in a hung engine or a cut network, was taken for lost, and started after the
/// program's next call.
#[test]
fn a_lost_call_does_not_start_after_the_next_one() {
    assert_clean(Scenario::CrossedLateAnswers, &[12, 16, 26]);
    assert_clean(Scenario::Chaos, &[22, 268]);
}

/// A daemon spent the time in which a change must be in force on members that said nothing.
#[test]
fn a_daemon_that_lost_touch_finds_a_member_with_news() {
    assert_clean(Scenario::ControlCutOffLeader, &[26]);
    assert_clean(Scenario::LostAnswerResend, &[6, 9, 11, 22]);
    assert_clean(Scenario::SecondFailureAfterRepair, &[22, 229]);
    assert_clean(Scenario::Chaos, &[81, 318, 359]);
}

/// A daemon that had been stopped took its engines for silent before it read what they had said.
#[test]
fn a_daemon_that_stood_still_reads_before_it_judges() {
    assert_clean(Scenario::Chaos, &[29, 889]);
}
