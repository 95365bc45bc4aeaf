//! The bench: the same seeded traces on the same emulator in virtual time under each policy.

mod bound;
mod plot;
mod run;
mod statistics;

pub use plot::plot_sweep;
pub use run::{CompareConfig, Contender, PolicyReport, compare};
pub use statistics::Estimate;
