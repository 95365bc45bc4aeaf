//! `luglink check-config`: checks a settings file without starting a process.

use crate::exit::{Exit, Failure};
use luglink_settings::{Role, load};
use std::path::Path;

pub(crate) fn run(file: &Path) -> Result<Exit, Failure> {
    load(Some(file), Vec::new(), Role::Any).map_err(|error| {
        Failure::new(
            Exit::InvalidInput,
            format!("settings check failed\n{error}"),
        )
    })?;
    println!("{}: no faults", file.display());
    Ok(Exit::Success)
}
