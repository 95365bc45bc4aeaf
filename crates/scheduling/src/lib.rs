//! Every decision of a gateway under load, as pure logic: which replica gets a request, whether a
//! program may begin, how long a request waits, and when one that waits goes elsewhere.
//!
//! Time, seeds and typed views come in, typed decisions go out. Each module says which load it
//! answers, and what callers need of its thresholds.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod admission;
mod answer_lengths;
mod features;
mod finish;
mod held_bytes;
mod load_shedding;
mod load_view;
mod moves;
mod patience;
mod placement;
mod pool;
mod program_table;
mod prompt_parts;
mod route_profile;
mod shares;
mod usual;
mod waits;
mod zone_trend;

pub use admission::{
    AdmissionDecision, Capacity, FleetDemand, NewProgram, ProgramAdmission, Shortage, ZoneRequests,
};
pub use answer_lengths::AnswerLengths;
pub use features::Features;
pub use finish::{Expected, ReplicaState, SharedPart, Work, batch_factor, expect};
pub use held_bytes::{Growth, HeldAbort, HeldBytes, HeldBytesLimit, HolderId};
pub use load_shedding::{LoadShedder, ShedDecision};
pub use load_view::{AgedSight, LoadView, VIEW_STALE_AFTER};
pub use moves::{
    AwaitedEvent, ExtraSends, MoveDecision, RerunLimits, Restart, Stay, WaitQuantiles, Waiting,
    cannot_meet_deadline, decide_move, hedge_after,
};
pub use patience::{capacity_retry_delay, max_capacity_wait, max_startup_wait};
pub use placement::{Placement, place, place_soonest};
pub use pool::{CandidateScope, Choice, ChoiceBasis, Extent, Pool, Relocation, RoutingRequest};
pub use program_table::{OwnDemand, ProgramTable, TurnStarted};
pub use prompt_parts::PromptParts;
pub use shares::{Demand, TenantDemands, max_min_shares};
pub use usual::Usual;
pub use waits::{RouteWaits, Waits};
pub use zone_trend::ZoneTrend;
