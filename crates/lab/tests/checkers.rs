//! Every checker catches a history that breaks its promise, and passes the same history without
//! the break.

use luglink_lab::check::{Promise, check, check_all};
use luglink_lab::engine::answer_marker;
use luglink_lab::observe::{
    CallRecord, ChangeRecord, Departure, Execution, HeldMemory, History, Isolation, LookupRecord,
    Outcome, ProgramRecord, RevisionSeen,
};
use luglink_program::{ProgramSpec, ProgramStatus, ProgramView};
use luglink_resources::BudgetPolicy;
use luglink_types::{
    Budget, Charge, ChatMessage, DaemonId, EngineId, Epoch, Priority, ProgramId, RefusalCode,
    Revision, Role, Sequence, Timestamp, TokenUsage,
};
use std::time::Duration;

const ENGINE: EngineId = EngineId(1);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn program_id(number: u64) -> ProgramId {
    ProgramId {
        family: number,
        member: number,
    }
}

/// The two words that the emulated engine answers.
fn answer(request: &str) -> String {
    format!("{} word ", answer_marker(request))
}

fn call(program: &str, request: &str, sent: u64, ended: u64) -> CallRecord {
    CallRecord {
        request: request.to_owned(),
        program: program.to_owned(),
        input_tokens: 5,
        output_tokens: 2,
        repeatable: false,
        sent_at: at(sent),
        sends: 1,
        first_token_at: Some(at(ended)),
        token_gaps: Vec::new(),
        ended_at: at(ended),
        outcome: Outcome::Completed {
            text: answer(request),
            usage: TokenUsage::default(),
        },
        during_planned_stop: false,
    }
}

fn execution(request: &str, millis: u64, earlier: &[&str]) -> Execution {
    let prompt = earlier
        .iter()
        .map(|request| message(Role::Assistant, answer(request)));
    Execution {
        engine: ENGINE,
        at: at(millis),
        program: Some(program_id(1)),
        epoch: Epoch(1),
        sequence: 0,
        attempt: 0,
        marker: answer_marker(request),
        prompt: prompt.collect(),
        output_tokens: 2,
    }
}

fn message(role: Role, content: String) -> ChatMessage {
    ChatMessage { role, content }
}

fn program(name: &str, number: u64) -> ProgramRecord {
    ProgramRecord {
        name: name.to_owned(),
        parent: None,
        class: "class".to_owned(),
        tenant: "tenant".to_owned(),
        id: Some(program_id(number)),
        budget: Budget {
            calls: 2,
            tokens: 20,
            retries: 0,
            ..Budget::default()
        },
        created_at: at(0),
        tool_time: Duration::ZERO,
        end_sent_at: Some(at(890)),
        left_at: Some((at(900), Departure::Ended)),
        refused: None,
        final_view: None,
    }
}

fn view(history: Vec<ChatMessage>, spent: Charge) -> ProgramView {
    ProgramView {
        program: program_id(1),
        spec: ProgramSpec {
            tenant: "tenant".into(),
            class: "class".into(),
            model: "model".into(),
            adapter: None,
            priority: Priority::Normal,
            zone: "zone".into(),
            parent: None,
            budget: Budget::default(),
            idle_timeout_ms: 1,
        },
        status: ProgramStatus::Active,
        owner: DaemonId(0),
        epoch: Epoch(1),
        next_sequence: Sequence(2),
        spent,
        reserved: Charge::default(),
        history,
        uncertain_calls: Vec::new(),
    }
}

fn spent(calls: u64, tokens: u64) -> Charge {
    Charge {
        calls,
        tokens,
        ..Charge::default()
    }
}

/// Two calls of one program, one of another, a lookup and a change, all as they should be.
fn good() -> History {
    let mut first = program("p1", 1);
    let turns = vec![
        message(Role::User, "request=r1 output=2".to_owned()),
        message(Role::Assistant, answer("r1")),
        message(Role::User, "request=r2 output=2".to_owned()),
        message(Role::Assistant, answer("r2")),
    ];
    first.final_view = Some(view(turns, spent(2, 14)));
    History {
        programs: vec![first, program("p2", 2)],
        calls: vec![
            call("p1", "r1", 0, 100),
            call("p1", "r2", 200, 300),
            call("p2", "r3", 0, 100),
        ],
        lookups: vec![LookupRecord {
            request: "l1".to_owned(),
            repeatable: false,
            sent_at: at(0),
            ended_at: at(10),
            outcome: Outcome::Completed {
                text: "answer to l1".to_owned(),
                usage: TokenUsage::default(),
            },
        }],
        executions: vec![
            execution("r1", 10, &[]),
            execution("r2", 210, &["r1"]),
            execution("r3", 10, &[]),
        ],
        service_runs: vec!["l1".to_owned()],
        changes: vec![change("c1", 100, 150, 1)],
        revisions: vec![seen(0, 0, 0), seen(0, 30_000, 1)],
        final_budgets: vec![policy(1)],
        ..History::default()
    }
}

fn policy(tokens: u64) -> BudgetPolicy {
    BudgetPolicy {
        name: "class".to_owned(),
        budget: Budget {
            tokens,
            ..Budget::default()
        },
    }
}

fn change(name: &str, sent: u64, accepted: u64, revision: u64) -> ChangeRecord {
    ChangeRecord {
        change_id: name.to_owned(),
        sent_at: at(sent),
        expected: Some(Revision(revision - 1)),
        budget: Some(policy(revision)),
        accepted: Some((at(accepted), Revision(revision))),
        answered: true,
    }
}

fn seen(daemon: u32, millis: u64, revision: u64) -> RevisionSeen {
    RevisionSeen {
        daemon,
        process: 1,
        at: at(millis),
        revision: Revision(revision),
    }
}

fn assert_breaks(promise: Promise, history: &History) {
    assert_eq!(check(promise, &good()), Vec::<String>::new());
    assert!(
        !check(promise, history).is_empty(),
        "{promise} was not seen to be broken"
    );
}

#[test]
fn the_good_history_breaks_nothing() {
    assert_eq!(check_all(&good()), Vec::new());
}

#[test]
fn program_order_sees_a_call_that_runs_after_the_next_one() {
    let mut history = good();
    history.executions[0].at = at(400);
    assert_breaks(Promise::ProgramOrder, &history);
}

#[test]
fn history_intact_sees_a_lost_turn() {
    let mut history = good();
    let view = history.programs[0].final_view.as_mut().unwrap();
    view.history.truncate(2);
    assert_breaks(Promise::HistoryIntact, &history);
}

#[test]
fn history_intact_sees_words_of_another_program() {
    let mut history = good();
    let view = history.programs[0].final_view.as_mut().unwrap();
    view.history.push(message(Role::Assistant, answer("r3")));
    assert_breaks(Promise::HistoryIntact, &history);
}

#[test]
fn history_intact_sees_a_prompt_without_an_earlier_answer() {
    let mut history = good();
    history.executions[1].prompt.clear();
    assert_breaks(Promise::HistoryIntact, &history);
}

#[test]
fn history_intact_sees_a_prompt_with_a_foreign_answer() {
    let mut history = good();
    history.executions[1] = execution("r2", 210, &["r1", "r3"]);
    assert_breaks(Promise::HistoryIntact, &history);
}

#[test]
fn budget_kept_sees_runs_and_tokens_beyond_the_budget() {
    let mut runs = good();
    runs.executions.push(execution("r2", 220, &["r1"]));
    assert_breaks(Promise::BudgetKept, &runs);
    let mut tokens = good();
    tokens.executions[1].output_tokens = 100;
    assert_breaks(Promise::BudgetKept, &tokens);
}

#[test]
fn budget_kept_sees_children_that_spend_their_parents_budget() {
    let mut history = good();
    history.programs[1].parent = Some("p1".to_owned());
    assert_breaks(Promise::BudgetKept, &history);
}

#[test]
fn budget_kept_sees_an_account_that_shows_too_little() {
    let mut history = good();
    let view = history.programs[0].final_view.as_mut().unwrap();
    view.spent = spent(2, 13);
    assert_breaks(Promise::BudgetKept, &history);
}

#[test]
fn memory_released_sees_blocks_of_an_ended_program() {
    let mut history = good();
    history.held.push(HeldMemory {
        engine: ENGINE,
        program: program_id(1),
        blocks: 1,
        since_end: Duration::from_secs(11),
    });
    assert_breaks(Promise::MemoryReleased, &history);
}

#[test]
fn whole_answers_sees_a_short_and_a_foreign_answer() {
    let mut short = good();
    short.calls[0].outcome = Outcome::Completed {
        text: answer_marker("r1"),
        usage: TokenUsage::default(),
    };
    assert_breaks(Promise::WholeAnswers, &short);
    let mut foreign = good();
    foreign.calls[0].outcome = Outcome::Completed {
        text: answer("r3"),
        usage: TokenUsage::default(),
    };
    assert_breaks(Promise::WholeAnswers, &foreign);
    let mut lookup = good();
    lookup.lookups[0].outcome = Outcome::Completed {
        text: "answer to l2".to_owned(),
        usage: TokenUsage::default(),
    };
    assert_breaks(Promise::WholeAnswers, &lookup);
}

#[test]
fn not_run_is_not_run_sees_a_refused_call_that_ran() {
    let refused = Outcome::Refused {
        code: RefusalCode::Overloaded,
    };
    let mut history = good();
    history.calls[1].outcome = refused.clone();
    assert_breaks(Promise::NotRunIsNotRun, &history);
    let mut lookup = good();
    lookup.lookups[0].outcome = refused;
    assert_breaks(Promise::NotRunIsNotRun, &lookup);
}

#[test]
fn at_most_once_sees_a_second_run() {
    let mut history = good();
    history.executions.push(execution("r3", 50, &[]));
    assert_breaks(Promise::AtMostOnce, &history);
    let mut lookup = good();
    lookup.service_runs.push("l1".to_owned());
    assert_breaks(Promise::AtMostOnce, &lookup);
}

#[test]
fn leaving_gets_no_work_sees_late_work() {
    let mut history = good();
    history.note_leaving(ENGINE, true, at(0));
    assert!(check(Promise::LeavingGetsNoWork, &history).is_empty());
    history.executions[1].at = at(3_500);
    assert_breaks(Promise::LeavingGetsNoWork, &history);
    history.note_leaving(ENGINE, false, at(3_200));
    assert!(check(Promise::LeavingGetsNoWork, &history).is_empty());
}

#[test]
fn planned_stop_cuts_nothing_sees_a_broken_connection_and_a_call_given_up() {
    let mut cut = good();
    cut.cut_by_stop.push("r1".to_owned());
    assert_breaks(Promise::PlannedStopCutsNothing, &cut);
    let mut given_up = good();
    given_up.calls[0].during_planned_stop = true;
    given_up.calls[0].outcome = Outcome::Unknown { code: None };
    assert_breaks(Promise::PlannedStopCutsNothing, &given_up);
}

#[test]
fn configuration_in_force_sees_a_late_and_a_reverted_revision() {
    let mut late = good();
    late.revisions = vec![seen(0, 0, 0), seen(0, 20_000, 0)];
    assert_breaks(Promise::ConfigurationInForce, &late);
    late.isolations.push(Isolation {
        daemon: 0,
        from: at(100),
        until: at(5_000),
    });
    assert!(check(Promise::ConfigurationInForce, &late).is_empty());
    let mut reverted = good();
    reverted.revisions.push(seen(0, 31_000, 0));
    assert_breaks(Promise::ConfigurationInForce, &reverted);
}

#[test]
fn configuration_in_force_sees_two_winners_and_a_stale_one() {
    let mut two = good();
    two.changes.push(change("c2", 100, 160, 1));
    assert_breaks(Promise::ConfigurationInForce, &two);
    let mut stale = good();
    stale.changes[0].expected = Some(Revision(5));
    assert_breaks(Promise::ConfigurationInForce, &stale);
}

#[test]
fn configuration_in_force_sees_changes_out_of_order_and_lost_updates() {
    let mut order = good();
    order.changes = vec![change("c1", 100, 150, 2), change("c2", 200, 250, 1)];
    order.final_budgets = vec![policy(2)];
    assert_breaks(Promise::ConfigurationInForce, &order);
    let mut lost = good();
    lost.final_budgets = vec![policy(9)];
    assert_breaks(Promise::ConfigurationInForce, &lost);
}

/// Names of sub-agents' requests in a replayed trace are longer than a token and differ only at
/// their ends.
#[test]
fn markers_of_long_names_differ_and_are_one_token() {
    use luglink_lab::engine::answer_marker;
    let names = ["h101-34-sub-r", "h101-34-sub-r1", "h101-34-sub-r2", "h7-1"];
    let markers: std::collections::BTreeSet<String> =
        names.iter().map(|name| answer_marker(name)).collect();
    assert_eq!(markers.len(), names.len());
    for marker in &markers {
        assert_eq!(
            luglink_types::count_tokens(&format!("{marker} ")),
            1,
            "{marker}"
        );
    }
    assert_eq!(answer_marker("h7-1"), "re:h7-1");
}
