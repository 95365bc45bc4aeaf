//! The `luglink` binary: daemon, control member, processes of a managed fleet and operator client.
//!
//! It parses the command line, loads the settings and starts the process that another crate
//! implements.
#![forbid(unsafe_code)]

mod check_config;
mod control;
mod ctl;
mod daemon;
mod exit;
mod fleet;
mod options;
mod reload;
mod shutdown;

use exit::Exit;
use options::Command;
use std::process::ExitCode;

fn main() -> ExitCode {
    let outcome = match options::command().run() {
        Command::Daemon(options) => daemon::run(options),
        Command::Control(options) => control::run(options),
        Command::Gateway(options) => fleet::gateway(options),
        Command::Store(options) => fleet::store(options),
        Command::Member(options) => fleet::member(options),
        Command::Ctl(options) => ctl::run(options),
        Command::CheckConfig { file } => check_config::run(&file),
    };
    outcome.unwrap_or_else(Exit::from).into()
}
