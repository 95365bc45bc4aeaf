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

pub use admission::{Entry, FleetDemand, Newcomer, ProgramIntake, Room, ShortOf, ZoneRequests};
pub use answer_lengths::AnswerLengths;
pub use features::Features;
pub use finish::{Expected, ReplicaState, SharedPart, Work, batch_factor, expect};
pub use held_bytes::{Growth, HeldBound, HeldBytes, HeldCut, HolderId};
pub use load_shedding::{Intake, LoadShedder};
pub use load_view::{AgedSight, LoadView, VIEW_STALE_AFTER};
pub use moves::{
    Awaited, ExtraSends, MoveDecision, Reruns, Restart, Stay, UsualWait, Waiting, decide_move,
    hedge_after, is_hopeless,
};
pub use patience::{room_patience, room_pause, start_patience};
pub use placement::{Placement, place, place_soonest};
pub use pool::{Choice, Extent, Grounds, Leaving, Pool, Reach, Wish};
pub use program_table::{OwnDemand, ProgramTable, TurnBegins};
pub use prompt_parts::PromptParts;
pub use shares::{Demand, TenantDemands, max_min_shares};
pub use usual::Usual;
pub use waits::{RouteWaits, Waits};
pub use zone_trend::ZoneTrend;
