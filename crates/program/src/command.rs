//! Commands that a replication group applies to the programs it holds.

use luglink_types::{
    AttemptNumber, Budget, ChatMessage, ClassName, DaemonId, EngineId, Epoch, IdempotencyKey,
    ModelName, OutcomeClass, Priority, ProgramId, Sequence, TenantName, TokenUsage, ZoneName,
};
use serde::{Deserialize, Serialize};

/// What a caller says of a program when it creates it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramSpec {
    /// Who pays.
    pub tenant: TenantName,
    /// Program class, which names the defaults.
    pub class: ClassName,
    /// Model pool that serves the program.
    pub model: ModelName,
    /// Adapter on that model.
    pub adapter: Option<String>,
    /// Priority.
    pub priority: Priority,
    /// Zone of the caller.
    pub zone: ZoneName,
    /// The program that started this one; its account pays too and its end ends this one.
    pub parent: Option<ProgramId>,
    /// Ceilings for the whole life of the program.
    pub budget: Budget,
    /// Longest pause between two calls before the program counts as abandoned, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Creates a program owned by `owner`. Repeating it with the same spec changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreateProgram {
    /// Identifier chosen by the daemon.
    pub program: ProgramId,
    /// What the caller asked for, defaults filled in.
    pub spec: ProgramSpec,
    /// The daemon that serves the program.
    pub owner: DaemonId,
    /// Its name for this claim to ownership.
    pub claim: Claim,
}

/// A daemon's name for one claim to a program, drawn at random. A request that was sent twice
/// claims once: without it, a take-over that the network repeats would take the program away
/// from its own sender, and the call that runs by then would be lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim(pub u64);

/// Moves a program to another daemon under a higher epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeOver {
    /// The program.
    pub program: ProgramId,
    /// The new owner.
    pub daemon: DaemonId,
    /// Its name for this claim. The claim that holds the program already changes nothing; one
    /// that another claim has followed is refused.
    pub claim: Claim,
}

/// The intent of a call: checks order, owner and budget, and reserves the call's ceiling.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginCall {
    /// The program.
    pub program: ProgramId,
    /// Epoch of the daemon that asks.
    pub epoch: Epoch,
    /// The owner's number for the intent, rising within its epoch. An intent that arrives after
    /// a later one is a late copy that nobody waits for.
    pub intent: u64,
    /// Place of the call, when the caller states it.
    pub sequence: Option<Sequence>,
    /// The caller's name for the call.
    pub key: Option<IdempotencyKey>,
    /// New messages; the history before them is luglink's.
    pub messages: Vec<ChatMessage>,
    /// Tokens in `messages`.
    pub input_tokens: u64,
    /// Ceiling of generated tokens, enforced by the engine.
    pub max_output_tokens: u64,
    /// The ceiling that the caller asked for. What it leaves open may be filled in differently
    /// when it asks again, which does not make it another request.
    pub requested_output_tokens: Option<u64>,
    /// Price of one token in millionths of the currency unit.
    pub cost_per_token_micros: u64,
    /// Whether the caller allows the call to run twice after a failure.
    pub repeatable: bool,
    /// Ceiling of the program's class and tenant in force at the daemon.
    pub ceiling: Budget,
    /// The engine of the first attempt.
    pub engine: EngineId,
}

/// Another attempt of a call after a safe failure.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryCall {
    /// The program.
    pub program: ProgramId,
    /// Epoch of the daemon that asks.
    pub epoch: Epoch,
    /// The call.
    pub sequence: Sequence,
    /// The attempt that failed.
    pub failed: AttemptNumber,
    /// How it failed.
    pub class: OutcomeClass,
    /// Ceiling of the program's class and tenant in force at the daemon.
    pub ceiling: Budget,
    /// The engine of the next attempt.
    pub engine: EngineId,
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishCall {
    /// The program.
    pub program: ProgramId,
    /// Epoch of the daemon that dispatched the attempt.
    pub epoch: Epoch,
    /// The call.
    pub sequence: Sequence,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub class: OutcomeClass,
    /// The whole answer when `class` is completed, else empty.
    pub answer: String,
    /// Tokens the engine reported.
    pub usage: TokenUsage,
}

/// A live owner keeps its program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewLease {
    /// The owner's programs.
    pub programs: Vec<(ProgramId, Epoch)>,
}

/// Why a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// Its caller ended it.
    Finished,
    /// Its caller or its lease gave it up.
    Abandoned,
    /// Its deadline passed.
    DeadlinePassed,
    /// The program that started it ended.
    ParentEnded,
}

/// Ends a program and everything below it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndProgram {
    /// The program.
    pub program: ProgramId,
    /// Why.
    pub reason: EndReason,
}

/// An engine has confirmed that it holds nothing more of a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmRelease {
    /// The program.
    pub program: ProgramId,
    /// The engine.
    pub engine: EngineId,
}

/// A command to the programs of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// See [`CreateProgram`].
    Create(CreateProgram),
    /// See [`TakeOver`].
    TakeOver(TakeOver),
    /// See [`BeginCall`].
    Begin(BeginCall),
    /// See [`RetryCall`].
    Retry(RetryCall),
    /// See [`FinishCall`].
    Finish(FinishCall),
    /// See [`RenewLease`].
    Renew(RenewLease),
    /// See [`EndProgram`].
    End(EndProgram),
    /// See [`ConfirmRelease`].
    ConfirmRelease(ConfirmRelease),
    /// Ends whatever is past its lease, deadline or retention at the entry's time.
    Expire,
}

impl Command {
    /// The program the command is about; `None` when it concerns a whole group.
    #[must_use]
    pub fn program(&self) -> Option<ProgramId> {
        match self {
            Self::Create(command) => Some(command.program),
            Self::TakeOver(command) => Some(command.program),
            Self::Begin(command) => Some(command.program),
            Self::Retry(command) => Some(command.program),
            Self::Finish(command) => Some(command.program),
            Self::End(command) => Some(command.program),
            Self::ConfirmRelease(command) => Some(command.program),
            Self::Renew(command) => command.programs.first().map(|(program, _)| *program),
            Self::Expire => None,
        }
    }
}
