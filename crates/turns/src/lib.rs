//! Leaderless replicated storage of completed turns and token accounts.
//!
//! A turn is immutable once written, and copies of an account merge in any order. Replicas
//! therefore need no write order, and any reachable store can serve requests. A write is committed
//! once enough stores have it on disk to survive the losses that the deployment tolerates. A
//! reader that does not find a record on one store asks the others.
//!
//! [`StoreNode`] implements one store as pure logic over a [`Disk`]. [`Replication`] defines how
//! many stores clients write to and wait for.
//!
//! [`Disk`]: luglink_storage::Disk
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod account;
mod admission;
mod crash_keeper;
mod crash_log;
mod crash_parts;
mod crash_reports;
mod errors;
mod fingerprint;
mod follower_leases;
mod hand_over;
mod journal;
mod keep_parts;
mod node;
mod origin_hints;
mod origins;
mod output_table;
mod parts;
mod program_write;
mod protocol;
mod record;
mod refusal;
mod replication;
mod report_hand_over;
mod report_holder;
mod run_journal;
mod runs_under_way;
mod state;
mod stream_output;
mod stream_records;

pub use account::{Account, Spend};
pub use admission::BudgetDecision;
pub use crash_keeper::RunEvents;
pub use crash_log::CrashLog;
pub use crash_parts::{
    CountedReport, CrashRequest, CrashResponse, HolderView, LogPosition, RunUpdate,
};
pub use crash_reports::{
    CRASH_RETENTION, CrashTable, LEASE_MARGIN, MAX_CRASHES, RunId, RunReport, RunState,
};
pub use errors::TurnsError;
pub use fingerprint::RequestFingerprint;
pub use follower_leases::{FollowerLeases, LEASE_DURATION, LEASE_HOLD, LEASE_TRUST};
pub use hand_over::turn_batches;
pub use keep_parts::{KeepCheck, KeepReport};
pub use node::{Output, RequestToken, StoreConfig, StoreNode};
pub use origin_hints::{hint_query, hint_request, hinted_origin};
pub use origins::OriginTable;
pub use output_table::{KnownOutput, OutputQuery, OutputTable, OutputUpdate};
pub use parts::{ClientView, OriginRecord, OriginRequest, OriginResponse, OutputResponse};
pub use program_write::{AccountRepair, ProgramWrite};
pub use protocol::{Chain, ChainQuery, StoreRequest, StoreResponse};
pub use record::{ProgramName, TurnId, TurnRecord};
pub use refusal::Refusal;
pub use replication::{AbsenceProof, JointQuorum, Replication};
pub use report_hand_over::ReportBatch;
pub use report_holder::ReportHolder;
pub use runs_under_way::{RunsUnderWay, SESSION_TIMEOUT};
pub use stream_output::{StreamOutput, is_later_event};
