//! Initial placement of groups on members.

use luglink_raft::{Membership, Peer};
use luglink_types::{GroupId, MemberId};

use crate::config::ControlConfig;
use crate::machine::CONFIGURATION_GROUP;

/// Incarnation of a storage that takes part in the bootstrap.
pub(crate) const FIRST_INCARNATION: u64 = 1;

/// Computes the initial membership of a group. Every member computes the same result.
///
/// All members replicate the configuration group, so that each can serve it to clients; only the
/// first `configuration_voters` of them vote. Program groups are distributed round-robin: the
/// voters of group `g` start at the `g`-th member.
#[must_use]
pub fn initial_membership(
    config: &ControlConfig,
    founders: &[MemberId],
    group: GroupId,
) -> Membership {
    let mut members = founders.to_vec();
    members.sort_unstable();
    members.dedup();
    if group == CONFIGURATION_GROUP {
        let (voters, learners) = members.split_at(config.configuration_voters.min(members.len()));
        return Membership {
            voters: first_peers(voters).collect(),
            learners: first_peers(learners).collect(),
        };
    }
    let count = config.replication.min(members.len());
    let start = (group.0 as usize).saturating_sub(1) % members.len();
    let chosen: Vec<MemberId> = members
        .iter()
        .copied()
        .cycle()
        .skip(start)
        .take(count)
        .collect();
    Membership::from_voters(first_peers(&chosen))
}

fn first_peers(members: &[MemberId]) -> impl Iterator<Item = Peer> + '_ {
    members.iter().map(|member| Peer {
        member: *member,
        incarnation: FIRST_INCARNATION,
    })
}
