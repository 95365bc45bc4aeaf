//! Whatever the order of commands: budgets hold, order holds, and every replica agrees.

mod common;

use common::{begin_call, create_with, end, finish_call};
use luglink_program::{
    CallState, Claim, Command, ProgramStore, RefundRule, Reply, RetryCall, TakeOver,
};
use luglink_types::{
    AttemptNumber, Budget, DaemonId, EngineId, Epoch, OutcomeClass, ProgramId, Sequence, Timestamp,
    TokenUsage,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const PARENT: ProgramId = common::PROGRAM;

const CHILD: ProgramId = ProgramId {
    family: 1,
    member: 2,
};

fn budget() -> Budget {
    Budget {
        calls: 6,
        tokens: 60,
        retries: 3,
        ..Budget::default()
    }
}

fn program() -> impl Strategy<Value = ProgramId> {
    prop_oneof![Just(PARENT), Just(CHILD)]
}

fn class() -> impl Strategy<Value = OutcomeClass> {
    prop_oneof![
        Just(OutcomeClass::NotDispatched),
        Just(OutcomeClass::RejectedBeforeProcessing),
        Just(OutcomeClass::EngineRetryable),
        Just(OutcomeClass::Completed),
        Just(OutcomeClass::Uncertain),
    ]
}

fn command() -> impl Strategy<Value = Command> {
    let epoch = (1..4_u64).prop_map(Epoch);
    let begin = (
        program(),
        epoch.clone(),
        0..40_u64,
        0..12_u32,
        any::<bool>(),
        0..20_u64,
    )
        .prop_map(|(program, epoch, intent, key, repeatable, output)| {
            let mut call = begin_call(program, epoch, intent, &format!("k{key}"));
            call.repeatable = repeatable;
            call.max_output_tokens = output;
            Command::Begin(call)
        });
    let finish = (
        program(),
        epoch.clone(),
        0..8_u64,
        0..3_u32,
        class(),
        0..40_u64,
    )
        .prop_map(|(program, epoch, sequence, attempt, class, used)| {
            let mut finish = finish_call(program, epoch, sequence, class);
            finish.attempt = AttemptNumber(attempt);
            finish.usage = TokenUsage {
                prompt_tokens: 1,
                completion_tokens: used,
                cached_tokens: 0,
            };
            Command::Finish(finish)
        });
    let retry = (program(), epoch, 0..8_u64, 0..3_u32, class()).prop_map(
        |(program, epoch, sequence, failed, class)| {
            Command::Retry(RetryCall {
                program,
                epoch,
                sequence: Sequence(sequence),
                failed: AttemptNumber(failed),
                class,
                ceiling: Budget::default(),
                engine: EngineId(2),
            })
        },
    );
    let take_over = (program(), 1..4_u32, 0..6_u64).prop_map(|(program, daemon, claim)| {
        Command::TakeOver(TakeOver {
            program,
            daemon: DaemonId(daemon),
            claim: Claim(claim),
        })
    });
    prop_oneof![
        2 => program().prop_map(|program| {
            let parent = (program == CHILD).then_some(PARENT);
            create_with(program, budget(), parent)
        }),
        12 => begin,
        12 => finish,
        4 => retry,
        3 => take_over,
        1 => program().prop_map(end),
        1 => Just(Command::Expire),
    ]
}

fn check_account(store: &ProgramStore, id: ProgramId) {
    let Some(program) = store.program(id) else {
        return;
    };
    let total = program
        .account()
        .spent()
        .plus(&program.account().reserved());
    let budget = budget();
    assert!(total.tokens <= budget.tokens, "{total:?}");
    assert!(total.calls <= budget.calls, "{total:?}");
    assert!(total.retries <= budget.retries, "{total:?}");
    let in_flight = program.calls().iter().filter(|call| call.in_flight());
    assert!(in_flight.count() <= 1, "a program has one call in flight");
    for pair in program.calls().windows(2) {
        assert!(
            pair[0].sequence < pair[1].sequence,
            "calls are out of order"
        );
    }
}

/// What a program had answered stays answered, word for word.
fn check_history(store: &ProgramStore, id: ProgramId, before: &mut Vec<String>) {
    let Some(program) = store.program(id) else {
        return;
    };
    let now: Vec<String> = program
        .history()
        .iter()
        .map(|message| message.content.clone())
        .collect();
    assert!(now.starts_with(before), "the history of {id} has changed");
    *before = now;
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn budgets_order_and_history_hold_whatever_comes(
        commands in proptest::collection::vec((command(), 0..4_000_u64), 1..150),
        never_refund in any::<bool>(),
    ) {
        let rule = if never_refund { RefundRule::Never } else { RefundRule::UnusedPart };
        let mut store = ProgramStore::new(rule);
        let mut replica = ProgramStore::new(rule);
        let mut histories: BTreeMap<ProgramId, Vec<String>> = BTreeMap::new();
        let mut now = Timestamp::ZERO;
        for (command, wait) in commands {
            now = now.plus(Duration::from_millis(wait));
            let reply = store.apply(now, &command);
            prop_assert_eq!(&reply, &replica.apply(now, &command), "replicas differ");
            for id in [PARENT, CHILD] {
                check_account(&store, id);
                check_history(&store, id, histories.entry(id).or_default());
            }
        }
        let bytes = postcard::to_stdvec(&store).unwrap();
        let restored: ProgramStore = postcard::from_bytes(&bytes).unwrap();
        prop_assert_eq!(store, restored, "a snapshot is the state");
    }

    /// The same intent under the same key never opens a second run by itself.
    #[test]
    fn a_key_runs_once_unless_it_is_repeatable(repeats in 1..6_usize, class in class()) {
        let mut store = ProgramStore::new(RefundRule::UnusedPart);
        store.apply(Timestamp::ZERO, &create_with(PARENT, budget(), None));
        let mut runs = 0;
        for intent in 1..=repeats as u64 {
            let call = begin_call(PARENT, Epoch(1), intent, "push");
            let reply = store.apply(Timestamp::ZERO, &Command::Begin(call));
            if matches!(reply, Reply::Begun(_)) {
                runs += usize::from(!class.is_unprocessed());
                let finish = finish_call(PARENT, Epoch(1), 0, class);
                store.apply(Timestamp::ZERO, &Command::Finish(finish));
            }
        }
        // An engine-reported retryable failure frees the key: the engine says nothing took effect.
        let expected = match class {
            OutcomeClass::Completed | OutcomeClass::Uncertain => 1,
            OutcomeClass::EngineRetryable => repeats,
            _ => 0,
        };
        prop_assert_eq!(runs, expected);
        let uncertain = store.program(PARENT).unwrap().calls().iter()
            .any(|call| matches!(call.state, CallState::Uncertain { .. }));
        prop_assert_eq!(uncertain, class == OutcomeClass::Uncertain);
    }
}
