//! A daemon between callers, control members and engines.

mod common;

use common::{ENGINES, Harness, config, defaults};
use luglink_daemon::{CallRequest, CallTarget, CreateRequest, EngineEvent, Event};
use luglink_program::CallState;
use luglink_routing::LoadReport;
use luglink_types::{EngineId, Executed, IdempotencyKey, RefusalCode};
use std::time::Duration;

#[test]
fn an_answer_reaches_its_caller_and_a_repeated_key_gets_it_again() {
    let mut harness = Harness::start(config());
    let program = harness.create();
    let first = harness.call(program, "k", false);
    let dispatch = harness.dispatches[0].clone();
    harness.complete(&dispatch);
    assert!(harness.is_completed(first));
    let again = harness.call(program, "k", false);
    assert!(harness.is_completed(again));
    assert_eq!(harness.dispatches.len(), 1, "nothing runs twice");
}

#[test]
fn the_calls_of_a_program_run_one_after_the_other() {
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

/// At four times what engines and queue hold, the rest is refused as not run, at once, and what
/// was admitted is served.
#[test]
fn overload_is_refused_as_not_run_and_what_is_admitted_is_served() {
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
            "callers are told when to come back"
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
fn a_silent_engine_loses_the_call_and_only_a_repeatable_one_runs_again() {
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

/// Every engine has failed the call once. It must not wait for engines that are not there.
#[test]
fn a_call_that_every_engine_failed_is_tried_again_and_then_given_up() {
    let mut harness = Harness::start(config());
    let program = harness.create();
    let ticket = harness.call(program, "k", true);
    harness.pass(Duration::from_secs(60));
    assert_eq!(harness.dispatches.len(), 4, "the limit of attempts");
    assert_eq!(harness.refusal_of(ticket).executed, Executed::Unknown);
    assert_eq!(harness.daemon.active_calls(), 0);
}

/// While calls wait long for engines, new programs are refused at once; those under way go on.
#[test]
fn a_saturated_daemon_admits_no_more_programs() {
    let mut small = config();
    small.router.max_requests_per_replica = 1;
    small.engine_silence = Duration::from_secs(60);
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
    let helper = harness.ticket();
    let request = create(Some(programs[0]));
    let event = Event::Create {
        ticket: helper,
        request,
    };
    harness.event(event);
    let admitted = harness.answer_of(helper);
    assert!(matches!(admitted, Some(luglink_daemon::Answer::Created(_))));
}

/// What an engine says after the call was taken from it reaches nobody.
#[test]
fn late_answers_reach_nobody() {
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

/// The intent takes long, and meanwhile the chosen engine begins to leave: it must get nothing.
#[test]
fn an_engine_that_leaves_while_the_intent_is_on_its_way_gets_nothing() {
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
        .expect("another engine serves it")
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
fn a_draining_replica_gets_no_new_calls() {
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
fn draining_answers_what_was_accepted_and_refuses_the_rest() {
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
fn without_configuration_nothing_is_judged() {
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

/// The process stood still; what the engine said meanwhile is read before the engine is judged.
#[test]
fn a_daemon_that_stood_still_does_not_blame_its_engines() {
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
fn rejected_calls_go_elsewhere_and_broken_ones_do_not() {
    let mut harness = Harness::start(config());
    let program = harness.create();
    let ticket = harness.call(program, "k", false);
    let first = harness.dispatches[0].clone();
    harness.engine(first.attempt, EngineEvent::Rejected);
    assert_eq!(harness.dispatches.len(), 2);
    let second = harness.dispatches[1].clone();
    assert_ne!(second.engine, first.engine);
    harness.engine(second.attempt, EngineEvent::Broken);
    assert_eq!(harness.dispatches.len(), 2, "it may have run");
    assert_eq!(harness.refusal_of(ticket).executed, Executed::Unknown);
}

/// A call without a program is a program of its own; the same key finds its answer afterwards.
#[test]
fn a_call_without_a_program_is_found_again_by_its_key() {
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
