//! Development tasks: code generation and checks that the compiler does not make.
//!
//! `cargo run -p xtask -- generate` generates the code of the administration API; `-- check` fails if
//! that code is out of date or a pure crate uses I/O, a clock or threads.

mod generate;
mod purity;

use bpaf::Bpaf;

/// Development tasks of the repository
#[derive(Clone, Copy, Debug, Bpaf)]
#[bpaf(options)]
enum Task {
    /// Generate the code of the administration API
    #[bpaf(command)]
    Generate,
    /// Check that the generated code is up to date and pure crates use no I/O, clock or threads
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
