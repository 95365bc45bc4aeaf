//! Checks that pure crates use no I/O, clock, threads or system randomness, so that simulations of
//! them are deterministic.

use crate::generate::root;
use std::path::Path;

/// Crates that are checked.
const PURE_CRATES: &[&str] = &[
    "types",
    "program",
    "resources",
    "raft",
    "wire",
    "routing",
    "control",
    "daemon",
    "engine-api",
    "fleet",
    "turns",
    "edge",
    "quota",
    "scheduling",
    "limits",
];

/// Prefixes of dependencies that a pure crate must not have.
const FORBIDDEN_DEPENDENCIES: &[&str] = &["tokio", "actix", "awc", "tonic", "reqwest", "hyper"];

/// Text that the source of a pure crate must not contain outside comments.
const FORBIDDEN_CODE: &[&str] = &[
    "Instant::now",
    "time::Instant",
    "SystemTime",
    "std::thread",
    "std::fs",
    "std::net::Tcp",
    "std::net::Udp",
    "thread_rng",
    "rand::rng(",
    "from_os_rng",
];

/// Returns an error for the first violation.
pub(crate) fn check() -> Result<(), String> {
    for name in PURE_CRATES {
        let folder = root().join("crates").join(name);
        check_dependencies(name, &folder)?;
        check_sources(&folder.join("src"))?;
    }
    Ok(())
}

fn check_dependencies(name: &str, folder: &Path) -> Result<(), String> {
    let manifest = read(&folder.join("Cargo.toml"))?;
    let dependencies = manifest
        .split("[dependencies]")
        .nth(1)
        .and_then(|rest| rest.split("\n[").next())
        .unwrap_or_default();
    for line in dependencies.lines() {
        let forbidden = FORBIDDEN_DEPENDENCIES
            .iter()
            .find(|dependency| line.trim_start().starts_with(**dependency));
        if let Some(dependency) = forbidden {
            return Err(format!("pure crate `{name}` depends on `{dependency}`"));
        }
    }
    Ok(())
}

fn check_sources(folder: &Path) -> Result<(), String> {
    let entries = std::fs::read_dir(folder).map_err(|error| error.to_string())?;
    for entry in entries {
        let path = entry.map_err(|error| error.to_string())?.path();
        if path.is_dir() {
            check_sources(&path)?;
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            check_source(&path)?;
        }
    }
    Ok(())
}

fn check_source(path: &Path) -> Result<(), String> {
    let source = read(path)?;
    for (number, line) in source.lines().enumerate() {
        if line.trim_start().starts_with("//") {
            continue;
        }
        if let Some(code) = FORBIDDEN_CODE.iter().find(|code| line.contains(**code)) {
            return Err(format!(
                "{}:{}: pure crate uses `{code}`",
                path.display(),
                number + 1
            ));
        }
    }
    Ok(())
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))
}
