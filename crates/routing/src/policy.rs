//! Policies for the selection of a replica.

use std::fmt;
use std::str::FromStr;

/// Policy for the selection of a replica. All but [`Policy::Luglink`] are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Policy {
    /// Each replica in turn.
    RoundRobin,
    /// The replica with the fewest requests, including reported ones.
    LeastLoaded,
    /// The replica that served the program's previous call, otherwise the least loaded one.
    Sticky,
    /// The replica with the longest cached prefix, among those that are not much busier than the
    /// average.
    PrefixAware,
    /// The replica with the lowest predicted cost.
    #[default]
    Luglink,
}

impl Policy {
    /// All policies.
    pub const ALL: [Policy; 5] = [
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::Sticky,
        Self::PrefixAware,
        Self::Luglink,
    ];

    /// Returns the name of the policy.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::RoundRobin => "round-robin",
            Self::LeastLoaded => "least-loaded",
            Self::Sticky => "sticky",
            Self::PrefixAware => "prefix-aware",
            Self::Luglink => "luglink",
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|policy| policy.as_str() == text)
            .ok_or_else(|| {
                let names: Vec<&str> = Self::ALL.iter().map(|policy| policy.as_str()).collect();
                format!(
                    "unknown policy `{text}`, expected one of {}",
                    names.join(", ")
                )
            })
    }
}
