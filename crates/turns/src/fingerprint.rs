//! Identity of a request over the attempts of its caller.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Hash of what a replica gets to run, the same for all attempts of a request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestFingerprint(pub u64, pub u64);

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}{:016x}", self.0, self.1)
    }
}
