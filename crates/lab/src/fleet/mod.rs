//! A whole deployment in one process, on real loopback sockets.

mod config;
mod errors;
mod place;
mod resources;
mod start;

pub use config::FleetConfig;
pub use errors::FleetError;
pub use place::reserve_address;
pub use resources::{DeploymentLayout, budget_from_change, deployment_resources};
pub use start::Fleet;
