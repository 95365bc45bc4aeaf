//! Tests of a daemon with callers, control members and scripted engines.

mod common;

use common::{ENGINES, Harness, config, defaults};
use luglink_daemon::{CallRequest, CallTarget, CreateRequest, EngineEvent, Event};
use luglink_program::CallState;
use luglink_routing::LoadReport;
use luglink_types::{EngineId, Executed, IdempotencyKey, RefusalCode};
use std::time::Duration;

#[test]
fn repeated_key_returns_the_stored_answer() {
    let mut harness = Harness::start(config());
    let program = harness.create();
    let first = harness.call(program, "k", false);
    let dispatch = harness.dispatches[0].clone();
    harness.complete(&dispatch);
    assert!(harness.is_completed(first));
    let again = harness.call(program, "k", false);
    assert!(harness.is_completed(again));
    assert_eq!(harness.dispatches.len(), 1, "the call must not run twice");
}

#[test]
fn calls_of_a_program_run_in_sequence() {
    let mut harness = Harness::start(config());
    let program = harness.create();
    let tickets: Vec<_> = (0..3)
        .map(|number| harness.call(program, &format!("k{number}"), false))
        .collect();
    for (place, ticket) in tickets.iter().enumerate() {
        assert_eq!(harness.dispatches.len(), place + 1);
        let dispatch = harness.dispatches[place].clone();
        harness.complete(&dispatch);
        assert!(harness.is_completed(*ticket));
    }
}

/// At four times the capacity of engines and queue, the excess is refused at once as not run, and
/// the admitted calls are served.
#[test]
fn overload_is_refused_as_not_run_and_admitted_calls_are_served() {
    let mut small = config();
    small.router.max_requests_per_replica = 2;
    small.max_queued_calls = 6;
    let running = (ENGINES * 2) as usize;
    let capacity = running + 6;
    let mut harness = Harness::start(small);
    let tickets: Vec<_> = (0..capacity * 4)
        .map(|number| {
            let program = harness.create();
            harness.call(program, &format!("k{number}"), false)
        })
        .collect();
    assert_eq!(harness.dispatches.len(), running);
    assert_eq!(harness.daemon.queued_calls(), 6);
    let refused: Vec<_> = tickets
        .iter()
        .filter(|ticket| harness.answer_of(**ticket).is_some())
        .copied()
        .collect();
    assert_eq!(refused.len(), capacity * 3);
    for ticket in &refused {
        let refusal = harness.refusal_of(*ticket);
        assert_eq!(refusal.code, RefusalCode::Overloaded);
        assert_eq!(refusal.executed, Executed::No);
        assert!(
            refusal.retry_after.is_some(),
            "the refusal must carry a retry delay"
        );
    }
    let mut served = 0;
    while served < harness.dispatches.len() {
        let dispatch = harness.dispatches[served].clone();
        harness.complete(&dispatch);
        served += 1;
    }
    let completed = tickets
        .iter()
        .filter(|ticket| harness.is_completed(**ticket));
    assert_eq!(completed.count(), capacity);
}

#[test]
fn only_repeatable_calls_are_rerun_after_engine_silence() {
    let mut harness = Harness::start(config());
    let (first, second) = (harness.create(), harness.create());
    let once = harness.call(first, "once", false);
    let twice = harness.call(second, "twice", true);
    assert_eq!(harness.dispatches.len(), 2);
    harness.pass(Duration::from_secs(11));
    let refusal = harness.refusal_of(once);
    assert_eq!(refusal.code, RefusalCode::OutcomeUnknown);
    assert_eq!(refusal.executed, Executed::Unknown);
    assert_eq!(harness.cancelled.len(), 2);
    assert_eq!(harness.dispatches.len(), 3);
    let last = harness.dispatches.last().unwrap().clone();
    harness.complete(&last);
    assert!(harness.is_completed(twice));
}

/// A call that every engine has failed once must be retried at one of them, not wait for an engine
/// that does not exist.
#[test]
fn call_that_every_engine_failed_is_retried_up_to_the_limit() {
    let mut harness = Harness::start(config());
    let program = harness.create();
    let ticket = harness.call(program, "k", true);
    harness.pass(Duration::from_secs(60));
    assert_eq!(
        harness.dispatches.len(),
        4,
        "the maximum number of attempts"
    );
    assert_eq!(harness.refusal_of(ticket).executed, Executed::Unknown);
    assert_eq!(harness.daemon.active_calls(), 0);
}

/// While calls wait too long for engines, new programs are refused at once, and active programs may
/// still start sub-programs.
#[test]
fn saturated_daemon_admits_no_new_programs() {
    let mut small = config();
    small.router.max_requests_per_replica = 1;
    small.engine_silence_timeout = Duration::from_secs(60);
    let mut harness = Harness::start(small);
    let programs: Vec<_> = (0..4).map(|_| harness.create()).collect();
    for (number, program) in programs.iter().enumerate() {
        harness.call(*program, &format!("k{number}"), false);
    }
    assert_eq!(harness.daemon.queued_calls(), 2);
    harness.pass(Duration::from_secs(1));
    let ticket = harness.ticket();
    let create = |parent| CreateRequest {
        program: defaults(),
        parent,
        key: None,
    };
    let request = create(None);
    harness.event(Event::Create { ticket, request });
    let refusal = harness.refusal_of(ticket);
    assert_eq!(refusal.code, RefusalCode::Overloaded);
    assert_eq!(refusal.executed, Executed::No);
    assert!(refusal.retry_after.is_some());
    let sub_program = harness.ticket();
    let request = create(Some(programs[0]));
    let event = Event::Create {
        ticket: sub_program,
        request,
    };
    harness.event(event);
    let admitted = harness.answer_of(sub_program);
    assert!(matches!(admitted, Some(luglink_daemon::Answer::Created(_))));
}

/// Events of an attempt that was cancelled must not produce an answer.
#[test]
fn late_engine_events_are_ignored() {
    let mut harness = Harness::start(config());
    let program = harness.create();
    let ticket = harness.call(program, "k", false);
    harness.pass(Duration::from_secs(30));
    let before = harness.answers.len();
    let late = harness.dispatches[0].clone();
    harness.complete(&late);
    assert_eq!(harness.answers.len(), before);
    assert_eq!(harness.refusal_of(ticket).executed, Executed::Unknown);
}

/// The chosen engine starts to leave while the intent is being recorded. It must not get the
/// call, which must go to another engine.
#[test]
fn engine_that_leaves_while_the_intent_is_recorded_gets_no_call() {
    let mut harness = Harness::start(config());
    let program = harness.create();
    harness.hold_control = true;
    let ticket = harness.call(program, "k", false);
    let chosen = in_flight_engine(&harness);
    harness.event(Event::Leaving {
        engines: vec![chosen],
    });
    harness.now = harness.now.plus(Duration::from_millis(200));
    harness.release_control();
    let dispatch = harness
        .dispatches
        .last()
        .expect("another engine must get the call")
        .clone();
    assert_ne!(dispatch.engine, chosen);
    harness.complete(&dispatch);
    assert!(harness.is_completed(ticket));
}

fn in_flight_engine(harness: &Harness) -> EngineId {
    let calls = harness.store.programs().flat_map(|program| program.calls());
    let engines = calls.filter_map(|call| match call.state {
        CallState::InFlight { engine, .. } => Some(engine),
        _ => None,
    });
    engines.last().expect("an intent is recorded")
}

#[test]
fn draining_replica_gets_no_new_calls() {
    let mut harness = Harness::start(config());
    for engine in 0..ENGINES {
        let report = LoadReport {
            draining: engine == 0,
            ..LoadReport::default()
        };
        let engine = EngineId(engine);
        harness.event(Event::Load { engine, report });
    }
    for number in 0..6 {
        let program = harness.create();
        harness.call(program, &format!("k{number}"), false);
    }
    assert!(harness.dispatches.iter().all(|it| it.engine == EngineId(1)));
}

#[test]
fn draining_daemon_answers_accepted_calls_and_refuses_new_ones() {
    let mut harness = Harness::start(config());
    let program = harness.create();
    let accepted = harness.call(program, "k", false);
    harness.event(Event::Drain);
    assert!(!harness.drained);
    let late = harness.call(program, "late", false);
    let refusal = harness.refusal_of(late);
    assert_eq!(refusal.code, RefusalCode::Draining);
    assert_eq!(refusal.executed, Executed::No);
    let dispatch = harness.dispatches[0].clone();
    harness.complete(&dispatch);
    assert!(harness.is_completed(accepted));
    assert!(harness.drained);
}

#[test]
fn requests_are_refused_before_the_first_configuration() {
    let mut harness = Harness::without_configuration(config());
    let ticket = harness.ticket();
    let request = CreateRequest {
        program: defaults(),
        parent: None,
        key: None,
    };
    harness.event(Event::Create { ticket, request });
    let refusal = harness.refusal_of(ticket);
    assert_eq!(refusal.code, RefusalCode::ControlUnavailable);
    assert_eq!(refusal.executed, Executed::No);
}

/// After the process was suspended, events of engines that arrived meanwhile are still unread. They
/// must be handled before an engine counts as silent.
#[test]
fn suspended_daemon_does_not_time_out_engines() {
    let mut harness = Harness::start(config());
    let program = harness.create();
    let ticket = harness.call(program, "k", false);
    harness.pass(Duration::from_millis(200));
    harness.now = harness.now.plus(Duration::from_secs(60));
    harness.event(Event::Tick);
    let dispatch = harness.dispatches[0].clone();
    harness.complete(&dispatch);
    assert!(harness.is_completed(ticket));
}

#[test]
fn rejected_calls_are_retried_and_broken_ones_are_not() {
    let mut harness = Harness::start(config());
    let program = harness.create();
    let ticket = harness.call(program, "k", false);
    let first = harness.dispatches[0].clone();
    harness.engine(first.attempt, EngineEvent::Rejected);
    assert_eq!(harness.dispatches.len(), 2);
    let second = harness.dispatches[1].clone();
    assert_ne!(second.engine, first.engine);
    harness.engine(second.attempt, EngineEvent::Broken);
    assert_eq!(
        harness.dispatches.len(),
        2,
        "the call may have run and must not be retried"
    );
    assert_eq!(harness.refusal_of(ticket).executed, Executed::Unknown);
}

/// A call without a program creates a program of its own. A repeated key returns its answer after
/// that program has ended.
#[test]
fn repeated_key_returns_the_answer_of_a_one_shot_call() {
    let mut harness = Harness::start(config());
    let request = |stream| CallRequest {
        target: CallTarget::OneShot(Box::new(defaults())),
        sequence: None,
        key: Some(IdempotencyKey("alone".to_owned())),
        messages: vec![luglink_types::ChatMessage {
            role: luglink_types::Role::User,
            content: "ask".to_owned(),
        }],
        max_output_tokens: None,
        repeatable: false,
        stream,
    };
    let first = harness.ticket();
    harness.event(Event::Call {
        ticket: first,
        request: request(false),
    });
    let dispatch = harness.dispatches[0].clone();
    harness.complete(&dispatch);
    assert!(harness.is_completed(first));
    let again = harness.ticket();
    harness.event(Event::Call {
        ticket: again,
        request: request(false),
    });
    assert!(harness.is_completed(again));
    assert_eq!(harness.dispatches.len(), 1);
}
