//! Traces: what callers, operators and faults do, and what is expected of a run.
//!
//! The format is described in `docs/TRACES.md`.

mod errors;
mod event;
mod expectation;
mod generate;
mod parse;

pub use errors::TraceError;
pub use event::{
    AbandonEvent, CallEvent, ChangeEvent, ChangeSet, EndEvent, ExpectedRevision, FaultEvent,
    FaultKind, FaultTarget, LookupEvent, ProgramEvent, TraceEvent,
};
pub use expectation::{
    Expectation, ExpectedOutcome, InvariantExpectation, MeasureExpectation, RequestExpectation,
};
pub use generate::{Deployment, GeneratorConfig, generate};
pub use parse::{parse_expectations, parse_trace, write_trace};
