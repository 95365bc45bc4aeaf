//! Identifiers, with a separate type for each kind of object.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::Snafu;
use std::fmt;
use std::str::FromStr;

macro_rules! number_identifier {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the next identifier, saturating at the maximum.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

macro_rules! text_identifier {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Returns the identifier as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

number_identifier!(
    /// Identifies a daemon, the luglink process that runs next to a caller.
    DaemonId(u32)
);
number_identifier!(
    /// Identifies one replica of a model engine or of a plain service.
    EngineId(u32)
);
number_identifier!(
    /// Identifies a control member.
    MemberId(u32)
);
number_identifier!(
    /// Identifies a replication group. Group 0 holds the configuration, the others hold programs.
    GroupId(u32)
);
number_identifier!(
    /// Fencing token: an owner with a lower epoch has been superseded.
    Epoch(u64)
);
number_identifier!(
    /// Index of a call in its program, from 0.
    Sequence(u64)
);
number_identifier!(
    /// Index of an attempt in its call, from 0.
    AttemptNumber(u32)
);
number_identifier!(
    /// Version of the whole configuration; each accepted change increments it.
    Revision(u64)
);

text_identifier!(
    /// Name of a tenant.
    TenantName
);
text_identifier!(
    /// Name of a program class.
    ClassName
);
text_identifier!(
    /// Name of a model, which is also the name of the pool that serves it.
    ModelName
);
text_identifier!(
    /// Name of a plain (non-model) service.
    ServiceName
);
text_identifier!(
    /// Name of a zone.
    ZoneName
);
text_identifier!(
    /// Identifier that an operator chooses for a change. It is never used again for another change.
    ChangeId
);
text_identifier!(
    /// Key that a caller chooses for a request, unique within its program.
    IdempotencyKey
);

/// Identifies a program. Subprograms share the `family` of their root. The family alone determines
/// the replication group, so that one group holds all budget accounts of a tree of programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProgramId {
    /// Number that a root program and all its descendants share.
    pub family: u64,
    /// Number that distinguishes the programs of a family.
    pub member: u64,
}

/// Error for text that is not a program identifier.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("invalid program id `{text}`: expected `prg_` and 32 hexadecimal digits"))]
pub struct ProgramIdError {
    /// Rejected text, truncated to a bounded length.
    pub text: String,
}

const PROGRAM_PREFIX: &str = "prg_";
const HALF_DIGITS: usize = 16;
const MAX_REPORTED_CHARS: usize = 64;

impl ProgramId {
    /// Derives the identifier of a program from the key that its caller chose. All daemons derive the
    /// same identifier.
    #[must_use]
    pub fn derived(scope: &str, key: &str) -> Self {
        let mut hasher = Sha256::new();
        hasher.update((scope.len() as u64).to_be_bytes());
        hasher.update(scope.as_bytes());
        hasher.update(key.as_bytes());
        let digest = hasher.finalize();
        let half = |from: usize| {
            let mut bytes = [0_u8; 8];
            bytes.copy_from_slice(&digest[from..from + 8]);
            u64::from_be_bytes(bytes)
        };
        Self {
            family: half(0),
            member: half(8),
        }
    }

    /// Returns the group that holds this program if there are `program_groups` groups.
    #[must_use]
    pub fn group(self, program_groups: u32) -> GroupId {
        let count = u64::from(program_groups.max(1));
        let index = u32::try_from(self.family % count).unwrap_or(0);
        GroupId(index + 1)
    }
}

impl fmt::Display for ProgramId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{PROGRAM_PREFIX}{:016x}{:016x}",
            self.family, self.member
        )
    }
}

impl FromStr for ProgramId {
    type Err = ProgramIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ProgramIdError {
            text: text.chars().take(MAX_REPORTED_CHARS).collect(),
        };
        let digits = text.strip_prefix(PROGRAM_PREFIX).ok_or_else(invalid)?;
        let well_formed =
            digits.len() == 2 * HALF_DIGITS && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !well_formed {
            return Err(invalid());
        }
        let half = |part: &str| u64::from_str_radix(part, 16).map_err(|_| invalid());
        Ok(Self {
            family: half(&digits[..HALF_DIGITS])?,
            member: half(&digits[HALF_DIGITS..])?,
        })
    }
}
