//! Identity of a data folder: its member and the incarnation of its storage.

use crate::errors::{ControlError, DecodeSnafu, EncodeSnafu, WrongMemberSnafu};
use luglink_raft::Peer;
use luglink_storage::Disk;
use luglink_types::MemberId;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, ensure};

use crate::placement::FIRST_INCARNATION;

const IDENTITY_FILE: &str = "identity";

/// Identity of a data folder. It is written once, at the first start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The member and the incarnation of its storage.
    pub peer: Peer,
    /// True if this storage took part in the bootstrap of the cluster.
    pub bootstrapped: bool,
    /// Members at the bootstrap; empty if this storage joined later. They determine the initial
    /// membership that the log builds on, so later changes of the settings do not change them.
    pub founders: Vec<MemberId>,
}

impl Identity {
    /// Reads the identity of the folder, or creates one if the folder has none.
    ///
    /// With `founders` a new folder takes part in the bootstrap of a cluster of these members.
    /// Otherwise it joins a running cluster with `fresh` as its incarnation, which must differ from
    /// every number used before.
    ///
    /// # Errors
    /// Fails if the disk fails, or if the folder belongs to another member.
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
