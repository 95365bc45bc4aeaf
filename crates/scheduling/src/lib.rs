//! Every decision of a gateway under load, as pure logic: which replica gets a request, whether a
//! program may begin, how long a request waits, and when one that waits goes elsewhere.
//!
//! Time, seeds and typed views come in, typed decisions go out. Each module says which load it
//! answers, and what callers need of its thresholds.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod admission;
mod features;
mod load_shedding;
mod load_view;
mod patience;
mod placement;
mod pool;
mod program_table;
mod route_profile;
mod shares;
mod zone_trend;

pub use admission::{Entry, FleetDemand, Newcomer, ProgramIntake, Room, ShortOf, ZoneRequests};
pub use features::Features;
pub use load_shedding::{Intake, LoadShedder};
pub use load_view::{AgedSight, LoadView};
pub use patience::{room_patience, room_pause, start_patience};
pub use placement::{Placement, place};
pub use pool::{Choice, Extent, Pool, Reach, Wish};
pub use program_table::{OwnDemand, ProgramTable, TurnBegins};
pub use shares::{Demand, TenantDemands, max_min_shares};
pub use zone_trend::ZoneTrend;
