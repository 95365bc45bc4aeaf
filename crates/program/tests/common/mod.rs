//! Commands and replies for the tests of this crate.
#![allow(dead_code)] // Each test file uses a part of this module.

use luglink_program::{
    BeginCall, Claim, Command, CreateProgram, EndProgram, EndReason, FinishCall, Owned,
    ProgramSpec, ProgramStore, RefundRule, Reply,
};
use luglink_types::{
    AttemptNumber, Budget, ChatMessage, DaemonId, EngineId, Epoch, IdempotencyKey, OutcomeClass,
    Priority, ProgramId, Refusal, Role, Sequence, Timestamp, TokenUsage,
};

/// Program that most tests use.
pub const PROGRAM: ProgramId = ProgramId {
    family: 1,
    member: 1,
};

/// Tokens in each test message.
pub const INPUT_TOKENS: u64 = 2;

/// Maximum output tokens of each test call.
pub const MAX_OUTPUT_TOKENS: u64 = 10;

pub fn claim(name: u64) -> Claim {
    Claim(name)
}

pub fn spec(budget: Budget, parent: Option<ProgramId>) -> ProgramSpec {
    ProgramSpec {
        tenant: "tenant".into(),
        class: "class".into(),
        model: "model".into(),
        adapter: None,
        priority: Priority::Normal,
        zone: "zone".into(),
        parent,
        budget,
        idle_timeout_ms: 60_000,
    }
}

pub fn create_with(program: ProgramId, budget: Budget, parent: Option<ProgramId>) -> Command {
    Command::Create(CreateProgram {
        program,
        spec: spec(budget, parent),
        owner: DaemonId(1),
        claim: claim(10),
    })
}

pub fn create(daemon: u32, name: u64) -> Command {
    Command::Create(CreateProgram {
        program: PROGRAM,
        spec: spec(Budget::default(), None),
        owner: DaemonId(daemon),
        claim: claim(name),
    })
}

pub fn store_with_program() -> ProgramStore {
    let mut store = ProgramStore::new(RefundRule::UnusedPart);
    owned(store.apply(Timestamp::ZERO, &create(1, 10)));
    store
}

pub fn begin_call(program: ProgramId, epoch: Epoch, intent: u64, key: &str) -> BeginCall {
    BeginCall {
        program,
        epoch,
        intent,
        sequence: None,
        key: Some(IdempotencyKey(key.to_owned())),
        messages: vec![ChatMessage {
            role: Role::User,
            content: format!("ask {key}"),
        }],
        input_tokens: INPUT_TOKENS,
        max_output_tokens: MAX_OUTPUT_TOKENS,
        requested_output_tokens: Some(MAX_OUTPUT_TOKENS),
        cost_per_token_micros: 0,
        repeatable: false,
        ceiling: Budget::default(),
        engine: EngineId(1),
    }
}

pub fn begin(epoch: Epoch, intent: u64, key: &str) -> Command {
    Command::Begin(begin_call(PROGRAM, epoch, intent, key))
}

pub fn finish_call(
    program: ProgramId,
    epoch: Epoch,
    sequence: u64,
    class: OutcomeClass,
) -> FinishCall {
    FinishCall {
        program,
        epoch,
        sequence: Sequence(sequence),
        attempt: AttemptNumber(0),
        class,
        answer: "answer".to_owned(),
        usage: TokenUsage {
            prompt_tokens: 2,
            completion_tokens: 3,
            cached_tokens: 0,
        },
    }
}

pub fn finish(epoch: Epoch, sequence: u64, class: OutcomeClass) -> Command {
    Command::Finish(finish_call(PROGRAM, epoch, sequence, class))
}

pub fn end(program: ProgramId) -> Command {
    Command::End(EndProgram {
        program,
        reason: EndReason::Finished,
    })
}

pub fn owned(reply: Reply) -> Owned {
    match reply {
        Reply::Owned(owned) => *owned,
        other => panic!("expected ownership, got {other:?}"),
    }
}

pub fn refused(reply: Reply) -> Refusal {
    match reply {
        Reply::Refused(refusal) => refusal,
        other => panic!("expected a refusal, got {other:?}"),
    }
}
