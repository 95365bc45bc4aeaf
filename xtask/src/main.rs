//! Chores of the repository: generated code and rules that the compiler does not check.
//!
//! `cargo run -p xtask -- generate` writes the code of the administration API anew;
//! `-- check` fails when it is not current, or when a pure crate depends on I/O, time or threads.

mod generate;
mod purity;

use bpaf::Bpaf;

/// Chores of the repository
#[derive(Clone, Copy, Debug, Bpaf)]
#[bpaf(options)]
enum Task {
    /// Write the generated code anew
    #[bpaf(command)]
    Generate,
    /// Check that generated code is current and pure crates are pure
    #[bpaf(command)]
    Check,
}

fn main() {
    let result = match task().run() {
        Task::Generate => generate::write(),
        Task::Check => generate::check().and_then(|()| purity::check()),
    };
    if let Err(message) = result {
        eprintln!("xtask: {message}");
        std::process::exit(1);
    }
}
