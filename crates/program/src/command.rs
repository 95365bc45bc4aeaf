//! Commands that a replication group applies to its programs.

use luglink_types::{
    AttemptNumber, Budget, ChatMessage, ClassName, DaemonId, EngineId, Epoch, IdempotencyKey,
    ModelName, OutcomeClass, Priority, ProgramId, Sequence, TenantName, TokenUsage, ZoneName,
};
use serde::{Deserialize, Serialize};

/// Specification of a program, set by the caller at creation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramSpec {
    /// Tenant that is charged.
    pub tenant: TenantName,
    /// Program class, which determines the defaults.
    pub class: ClassName,
    /// Model pool that serves the program.
    pub model: ModelName,
    /// Adapter on that model.
    pub adapter: Option<String>,
    /// Priority.
    pub priority: Priority,
    /// Zone of the caller.
    pub zone: ZoneName,
    /// Program that started this one. Its account is charged too, and this program ends with it.
    pub parent: Option<ProgramId>,
    /// Limits for the whole life of the program.
    pub budget: Budget,
    /// Idle time after which the program counts as abandoned, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Creates a program that `owner` owns. Repeating it with the same specification does not create a
/// second program; with a new claim it transfers the ownership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreateProgram {
    /// Identifier chosen by the daemon.
    pub program: ProgramId,
    /// Specification from the caller with the defaults filled in.
    pub spec: ProgramSpec,
    /// Daemon that serves the program.
    pub owner: DaemonId,
    /// Identifier of this claim to ownership.
    pub claim: Claim,
}

/// Random identifier of one claim of a daemon to a program. It makes claims idempotent: without
/// it, a take-over that the network duplicates would take the program away from its own sender,
/// and the call that is in flight by then would become uncertain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim(pub u64);

/// Moves a program to another daemon under a higher epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeOver {
    /// The program.
    pub program: ProgramId,
    /// The new owner.
    pub daemon: DaemonId,
    /// Identifier of this claim. A repeat of the current claim renews the lease and does not change
    /// the owner; a superseded claim is refused.
    pub claim: Claim,
}

/// Records the intent of a call: checks order, owner and budget, and reserves the call's ceiling.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginCall {
    /// The program.
    pub program: ProgramId,
    /// Epoch of the requesting daemon.
    pub epoch: Epoch,
    /// Number of the intent, which the owner increments within its epoch. An intent whose number
    /// is not higher than the latest one is a late duplicate, and its sender does not wait for a
    /// reply.
    pub intent: u64,
    /// Sequence number of the call, if the caller states it.
    pub sequence: Option<Sequence>,
    /// Idempotency key of the call, if the caller set one.
    pub key: Option<IdempotencyKey>,
    /// New messages. The history before them is part of the replicated state.
    pub messages: Vec<ChatMessage>,
    /// Tokens in `messages`.
    pub input_tokens: u64,
    /// Maximum number of generated tokens, enforced by the engine.
    pub max_output_tokens: u64,
    /// Maximum that the caller requested, if any. The fingerprint contains this value and not
    /// `max_output_tokens`, because a default may differ when the same request is sent again.
    pub requested_output_tokens: Option<u64>,
    /// Price of one token in millionths of the currency unit.
    pub cost_per_token_micros: u64,
    /// True if the caller allows the call to run twice after a failure.
    pub repeatable: bool,
    /// Budget limit of the program's class and tenant, as configured at the daemon.
    pub ceiling: Budget,
    /// Engine of the first attempt.
    pub engine: EngineId,
}

/// Starts another attempt of a call after a failure that is safe to retry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryCall {
    /// The program.
    pub program: ProgramId,
    /// Epoch of the requesting daemon.
    pub epoch: Epoch,
    /// The call.
    pub sequence: Sequence,
    /// The failed attempt.
    pub failed: AttemptNumber,
    /// Outcome of the failed attempt.
    pub class: OutcomeClass,
    /// Budget limit of the program's class and tenant, as configured at the daemon.
    pub ceiling: Budget,
    /// Engine of the next attempt.
    pub engine: EngineId,
}

/// Records the outcome of a call.
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
    /// Outcome of the attempt.
    pub class: OutcomeClass,
    /// Complete answer if `class` is completed, otherwise empty.
    pub answer: String,
    /// Token usage that the engine reported.
    pub usage: TokenUsage,
}

/// Renews the ownership of programs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewLease {
    /// Programs of the owner and the epochs under which it owns them.
    pub programs: Vec<(ProgramId, Epoch)>,
}

/// Reason for the end of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The caller ended it.
    Finished,
    /// The caller abandoned it, or it exceeded its idle timeout.
    Abandoned,
    /// The deadline of the program passed.
    DeadlinePassed,
    /// Its parent program ended.
    ParentEnded,
}

/// Ends a program and all its descendants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndProgram {
    /// The program.
    pub program: ProgramId,
    /// Reason for the end.
    pub reason: EndReason,
}

/// Records that an engine has released all memory of a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmRelease {
    /// The program.
    pub program: ProgramId,
    /// The engine.
    pub engine: EngineId,
}

/// Command to the programs of one group.
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
    /// Applies the expiry of every lease, deadline, idle timeout and retention that has passed at
    /// the entry's timestamp.
    Expire,
}

impl Command {
    /// Program that the command refers to, or `None` if it applies to a whole group. For a
    /// renewal, the first program of the list.
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
