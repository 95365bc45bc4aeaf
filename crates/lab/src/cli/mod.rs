//! The command line of `luglink-lab`.

mod compare;
mod demo;
mod generate;
mod refund;
mod replay;
mod sim;

use bpaf::Bpaf;
use std::process::ExitCode;

/// Stand-ins, fleets, replay and experiments of luglink.
///
/// Exit codes: 0 everything held; 1 a promise was broken or an expectation not met;
/// 2 the input cannot be used or the run could not be made.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Run a whole deployment in one process, replay a trace, print a table
    #[bpaf(command)]
    Demo(#[bpaf(external(demo::demo_options))] demo::DemoOptions),
    /// Replay a trace file
    #[bpaf(command)]
    Replay(#[bpaf(external(replay::replay_options))] replay::ReplayOptions),
    /// Run scenarios on the simulator's virtual clock, over many seeds, and check every promise
    #[bpaf(command)]
    Sim(#[bpaf(external(sim::sim_options))] sim::SimOptions),
    /// Run the same traces under each policy on the virtual clock and compare
    #[bpaf(command)]
    Compare(#[bpaf(external(compare::compare_options))] compare::CompareOptions),
    /// Compare refund of unused reservations with no refund, under the same budgets
    #[bpaf(command)]
    Refund(#[bpaf(external(refund::refund_options))] refund::RefundOptions),
    /// Write a seeded trace to standard output
    #[bpaf(command)]
    Generate(#[bpaf(external(generate::generate_options))] generate::GenerateOptions),
}

/// A run that could not be made.
const UNUSABLE: u8 = 2;

/// Runs the command that the arguments name.
#[must_use]
pub fn run() -> ExitCode {
    let outcome = match command().run() {
        Command::Demo(options) => demo::run(&options),
        Command::Replay(options) => replay::run(&options),
        Command::Sim(options) => sim::run(&options),
        Command::Compare(options) => compare::run(&options),
        Command::Refund(options) => refund::run(&options),
        Command::Generate(options) => generate::run(&options),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("luglink-lab: {message}");
            ExitCode::from(UNUSABLE)
        }
    }
}
