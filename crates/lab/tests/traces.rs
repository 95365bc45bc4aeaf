//! Trace files: what is written is read again, what is malformed is named, and the traces of this
//! repository meet their expectations on the virtual clock.

use luglink_lab::observe::Outcome;
use luglink_lab::replay::ReplayPlan;
use luglink_lab::report::Report;
use luglink_lab::sim::{SimConfig, SimFault, SimPlan, simulate};
use luglink_lab::trace::{
    Deployment, GeneratorConfig, generate, parse_expectations, parse_trace, write_trace,
};
use luglink_types::RefusalCode;
use proptest::prelude::*;
use std::time::Duration;

fn problem(line: &str) -> String {
    let text = format!("\n{line}\n");
    parse_trace("t.jsonl", &text).unwrap_err().to_string()
}

#[test]
fn malformed_lines_name_file_line_and_field() {
    let cases = [
        ("{", "(line)"),
        ("[1]", "(line)"),
        ("{\"event\":\"dance\"}", "event"),
        ("{\"program\":\"p\"}", "event"),
        ("{\"event\":\"end\"}", "program"),
        ("{\"event\":\"end\",\"program\":\"p\",\"when\":1}", "when"),
        (
            "{\"event\":\"end\",\"program\":\"p\",\"after_ms\":\"soon\"}",
            "after_ms",
        ),
        (
            "{\"event\":\"fault\",\"at_ms\":1,\"kind\":\"flood\",\"target\":\"daemon/0\"}",
            "kind",
        ),
        (
            "{\"event\":\"fault\",\"at_ms\":1,\"kind\":\"crash\",\"target\":\"moon/0\"}",
            "target",
        ),
        (
            "{\"event\":\"change\",\"at_ms\":1,\"operator\":\"a\",\"change_id\":\"c\",\"expected_revision\":true,\"set\":{\"kind\":\"budget\",\"name\":\"b\"}}",
            "expected_revision",
        ),
    ];
    for (line, field) in cases {
        let shown = problem(line);
        assert!(shown.contains("t.jsonl"), "{shown}");
        assert!(shown.contains('2'), "the line number is missing: {shown}");
        assert!(shown.contains(field), "`{field}` is not in {shown}");
    }
}

#[test]
fn malformed_expectations_are_named() {
    for line in [
        "{\"expect\":\"weather\"}",
        "{\"expect\":\"request\",\"request\":\"r\",\"outcome\":\"fine\"}",
        "{\"expect\":\"measure\",\"name\":\"m\",\"at_mst\":1}",
    ] {
        assert!(parse_expectations("e.jsonl", line).is_err(), "{line}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: proptest::test_runner::RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn generated_traces_are_read_as_they_were_written(seed in any::<u64>(), hub in any::<bool>()) {
        let deployment = if hub { Deployment::Hub } else { Deployment::Kopano };
        let events = generate(&GeneratorConfig {
            deployment,
            seed,
            span_ms: 4_000,
            programs_per_second: 2.0,
            lookups_per_second: 2.0,
            pause_factor: 1.0,
        });
        let read = parse_trace("generated", &write_trace(&events)).unwrap();
        prop_assert_eq!(read, events);
    }

    #[test]
    fn no_text_makes_the_parser_panic(text in "(\\{(\"[a-z_]{1,8}\":([0-9]{1,5}|\"[a-z/0-9]{0,8}\"|null|\\{\\}),?){0,5}\\}\n){0,4}") {
        let _ = parse_trace("hostile", &text);
        let _ = parse_expectations("hostile", &text);
    }
}

fn replay(name: &str, deployment: Deployment) -> (Report, luglink_lab::observe::History) {
    let read = |file: String| std::fs::read_to_string(file).unwrap();
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces");
    let events = parse_trace(name, &read(format!("{folder}/{name}.jsonl"))).unwrap();
    let expected = read(format!("{folder}/{name}.expect.jsonl"));
    let expectations = parse_expectations(name, &expected).unwrap();
    let replay = ReplayPlan::new(&events);
    let faults: Vec<SimFault> = replay.faults.iter().map(SimFault::from).collect();
    let planned = faults.len();
    let mut config = SimConfig::today(deployment, 1);
    config.idle_timeout = Duration::from_secs(10);
    let result = simulate(config, SimPlan { replay, faults }).unwrap();
    assert_eq!(result.problems, Vec::<String>::new());
    assert_eq!(result.faults.by_kind.values().sum::<u64>(), planned as u64);
    let mut report = Report::new(&result.history, &result.caches);
    report.expect(&result.history, &expectations);
    (report, result.history)
}

#[test]
fn the_traces_of_this_repository_meet_their_expectations() {
    for (name, deployment) in [
        ("kopano-morning-peak", Deployment::Kopano),
        ("hub-counter-day", Deployment::Hub),
    ] {
        let (report, _) = replay(name, deployment);
        assert_eq!(report.unmet, Vec::<String>::new(), "{name}");
        assert!(report.holds(), "{name}: {:#?}", report.broken);
    }
}

/// An expectation that does not hold is seen.
#[test]
fn unmet_expectations_are_reported() {
    let (mut report, history) = replay("kopano-morning-peak", Deployment::Kopano);
    let wrong = "{\"expect\":\"request\",\"request\":\"loop-0\",\"outcome\":\"refused\"}\n\
                 {\"expect\":\"measure\",\"name\":\"calls\",\"at_most\":1}\n\
                 {\"expect\":\"measure\",\"name\":\"no_such\",\"at_most\":1}\n\
                 {\"expect\":\"invariant\",\"name\":\"budget-kept\",\"violations\":2}\n\
                 {\"expect\":\"request\",\"request\":\"nobody\",\"outcome\":\"completed\"}\n";
    report.expect(&history, &parse_expectations("wrong", wrong).unwrap());
    assert_eq!(report.unmet.len(), 5, "{:#?}", report.unmet);
    assert!(!report.holds());
    let refused = Outcome::Refused {
        code: RefusalCode::BudgetExhausted,
    };
    assert!(history.calls.iter().any(|call| call.outcome == refused));
}
