//! The deterministic simulator: whole fleets on a virtual clock.
//!
//! The same logic as in the real processes runs here: control nodes, daemons and the engine
//! emulator's core. Around it everything is simulated: the network, disks, clocks, callers,
//! operators, and faults of all of them. A seed gives the same run each time, down to the digest
//! of its event trace.

mod callers;
mod clock;
mod config;
mod control;
mod daemons;
mod digest;
mod engines;
mod faults;
mod injection;
mod local_clock;
mod look;
mod lookups;
mod message;
mod network;
mod node;
mod operators;
pub mod scenario;
mod services;
mod topology;
mod world;

pub use clock::ClockError;
pub use config::{ClockSkew, SimConfig};
pub use daemons::ControlTraffic;
pub use faults::{FaultCounts, SimFault, SimFaultKind, SimTarget};
pub use network::NetworkConfig;
pub use node::Node;
pub use topology::{SimZone, Topology};
pub use world::{SimPlan, SimResult};

/// Runs a plan against a simulated fleet.
///
/// # Errors
/// The event engine failed, which is a defect of the simulator.
pub fn simulate(config: SimConfig, plan: SimPlan) -> Result<SimResult, ClockError> {
    let most_events = config.most_events;
    clock::run(world::World::new(config, plan), most_events)
}
