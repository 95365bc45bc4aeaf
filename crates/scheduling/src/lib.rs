//! Scheduling decisions of a gateway under load, as pure logic: choice of replicas, admission of
//! programs, waiting times, and moves of waiting requests.
//!
//! Time, seeds and typed views are passed in, and typed decisions are returned. The documentation
//! of each module names the load that it handles and the constraints on its thresholds.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod admission;
mod answer_lengths;
mod features;
mod finish;
mod load_shedding;
mod load_view;
mod moves;
mod placement;
mod pool;
mod program_table;
mod prompt_parts;
mod route_profile;
mod run_times;
mod shares;
mod sole_versions;
mod wait_histogram;
mod wait_limits;
mod waits;
mod zone_trend;

pub use admission::{
    AdmissionDecision, Capacity, FleetDemand, NewProgram, ProgramAdmission, Shortage, ZoneRequests,
};
pub use answer_lengths::AnswerLengths;
pub use features::Features;
pub use finish::{Expected, ReplicaState, SharedPart, Work, batch_factor, expect};
pub use load_shedding::{LoadShedder, ShedDecision};
pub use load_view::{AgedStats, LoadView, VIEW_STALE_AFTER};
pub use moves::{
    AwaitedEvent, ExtraSendBudget, MoveDecision, RerunLimits, Restart, Stay, WaitQuantiles,
    Waiting, cannot_meet_deadline, decide_move, hedge_after,
};
pub use placement::{Placement, place, place_soonest};
pub use pool::{
    CandidateScope, Choice, ChoiceBasis, Pool, Relocation, RoutingRequest, ServiceSize,
};
pub use program_table::{LocalDemand, ProgramTable, TurnStarted};
pub use prompt_parts::PromptParts;
pub use run_times::{RunTimes, can_end};
pub use shares::{Demand, TenantDemands, max_min_shares};
pub use sole_versions::SoleVersions;
pub use wait_histogram::WaitHistogram;
pub use wait_limits::{capacity_retry_delay, max_capacity_wait, max_startup_wait};
pub use waits::{RouteWaits, Waits};
pub use zone_trend::ZoneTrend;
