//! Which member a data folder belongs to.

use crate::errors::{ControlError, DecodeSnafu, EncodeSnafu, WrongMemberSnafu};
use luglink_raft::Peer;
use luglink_storage::Disk;
use luglink_types::MemberId;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, ensure};

use crate::placement::FIRST_INCARNATION;

const IDENTITY_FILE: &str = "identity";

/// Written once, when a data folder is first used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The member and the incarnation of its storage.
    pub peer: Peer,
    /// Whether this storage took part in the cluster's first start.
    pub bootstrapped: bool,
    /// Members at the cluster's first start, when this storage took part in it. Settings may
    /// name others later, but what the log builds on must stay.
    pub founders: Vec<MemberId>,
}

impl Identity {
    /// Reads the folder's identity, or writes a new one into an empty folder. With `founders` the folder takes part in the first start of a cluster of them. `fresh` must
    /// differ from every number used before; it names the incarnation of a storage that joins a
    /// running cluster.
    ///
    /// # Errors
    /// The disk fails, or the folder belongs to another member.
    pub fn load_or_create(
        disk: &mut impl Disk,
        member: MemberId,
        founders: Option<&[MemberId]>,
        fresh: u64,
    ) -> Result<Self, ControlError> {
        let files = disk.list()?;
        if files.iter().any(|file| file == IDENTITY_FILE) {
            return Self::load(disk, member);
        }
        let incarnation = if founders.is_some() {
            FIRST_INCARNATION
        } else {
            fresh.max(FIRST_INCARNATION + 1)
        };
        let identity = Self {
            peer: Peer {
                member,
                incarnation,
            },
            bootstrapped: founders.is_some(),
            founders: founders.unwrap_or_default().to_vec(),
        };
        let bytes = postcard::to_stdvec(&identity).context(EncodeSnafu { what: "identity" })?;
        disk.replace(IDENTITY_FILE, &bytes)?;
        Ok(identity)
    }

    fn load(disk: &impl Disk, member: MemberId) -> Result<Self, ControlError> {
        let bytes = disk.read(IDENTITY_FILE)?;
        let identity: Self = postcard::from_bytes(&bytes).context(DecodeSnafu {
            what: "the identity file",
        })?;
        ensure!(
            identity.peer.member == member,
            WrongMemberSnafu {
                expected: member.0,
                found: identity.peer.member.0
            }
        );
        Ok(identity)
    }
}
