//! Build that a process runs: this one, or an older one for runs by hand.
//!
//! `SOAK_OLD_BINARY` names the older binary and `SOAK_OLD_ROLES` the roles that run it, such as
//! `member,store`. With `SOAK_OLD_STARTS=first`, they run it only until their first restart, so that
//! this build goes on with data of the older one.

use std::env;
use std::ffi::OsString;

/// Returns the binary for the next start of a process.
pub fn binary(role: &str, is_first_start: bool) -> OsString {
    let this_build = env!("CARGO_BIN_EXE_luglink").into();
    let only_first = env::var("SOAK_OLD_STARTS").is_ok_and(|starts| starts == "first");
    match env::var_os("SOAK_OLD_BINARY") {
        Some(old) if may_be_old(role) && (is_first_start || !only_first) => old,
        _ => this_build,
    }
}

/// Returns true if processes of a role may run the older build.
pub fn may_be_old(role: &str) -> bool {
    let roles = env::var("SOAK_OLD_ROLES").unwrap_or_default();
    env::var_os("SOAK_OLD_BINARY").is_some() && roles.split(',').any(|old| old == role)
}
