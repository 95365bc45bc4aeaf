//! `luglink-lab`: stand-ins, fleets, replay and experiments.

use std::process::ExitCode;

fn main() -> ExitCode {
    luglink_lab::cli::run()
}
