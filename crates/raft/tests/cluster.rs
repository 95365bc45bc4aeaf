//! Tests of whole groups with lost, duplicated and reordered messages, crashes and membership
//! changes.

use luglink_raft::{
    Entry, Envelope, HardState, Membership, MembershipChange, Message, Payload, Peer, RaftConfig,
    RaftNode, Ready, RestoredState, Snapshot,
};
use luglink_types::{MemberId, Timestamp};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of members. The first `VOTER_COUNT` start as voters.
const MEMBER_COUNT: u32 = 5;

const VOTER_COUNT: u32 = 3;

/// Number of rounds within which a group must commit two entries once messages are no longer lost.
const MAX_RECOVERY_ROUNDS: usize = 600;

fn peer(member: u32) -> Peer {
    Peer {
        member: MemberId(member),
        incarnation: 1,
    }
}

/// Persisted state of a node.
#[derive(Clone, Default)]
struct StoredState {
    hard_state: HardState,
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

struct Node {
    raft: RaftNode,
    stored: StoredState,
    applied: Vec<Entry>,
    restarts: u64,
}

struct Cluster {
    nodes: BTreeMap<u32, Node>,
    network: Vec<Envelope>,
    now: Timestamp,
    leaders: BTreeMap<u64, Peer>,
    committed: BTreeMap<u64, Entry>,
    proposals: u64,
}

impl Cluster {
    fn new() -> Self {
        let membership = Membership::from_voters((1..=VOTER_COUNT).map(peer));
        let stored = |member: u32| StoredState {
            snapshot: Snapshot {
                membership: if member <= VOTER_COUNT {
                    membership.clone()
                } else {
                    Membership::default()
                },
                ..Snapshot::default()
            },
            ..StoredState::default()
        };
        let nodes = (1..=MEMBER_COUNT).map(|member| {
            let stored = stored(member);
            let node = Node {
                raft: start(member, &stored, 0, Timestamp::ZERO),
                stored,
                applied: Vec::new(),
                restarts: 0,
            };
            (member, node)
        });
        Self {
            nodes: nodes.collect(),
            network: Vec::new(),
            now: Timestamp::ZERO,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            proposals: 0,
        }
    }

    /// Performs the pending work of a node until there is none.
    fn process_ready(&mut self, member: u32) {
        loop {
            let node = self.nodes.get_mut(&member).unwrap();
            let mut ready = node.raft.take_ready();
            if ready.is_empty() {
                break;
            }
            let before = std::mem::take(&mut ready.messages);
            self.send(member, before);
            self.persist(member, &ready);
            let after = std::mem::take(&mut ready.messages_after_sync);
            self.send(member, after);
            self.apply(member, &ready);
        }
        self.check_leader(member);
    }

    fn send(&mut self, member: u32, messages: Vec<Envelope>) {
        for mut envelope in messages {
            if let Message::InstallSnapshot { snapshot } = &mut envelope.message {
                *snapshot = self.nodes[&member].stored.snapshot.clone();
            }
            self.network.push(envelope);
        }
    }

    fn persist(&mut self, member: u32, ready: &Ready) {
        let node = self.nodes.get_mut(&member).unwrap();
        if let Some(state) = ready.hard_state {
            node.stored.hard_state = state;
        }
        if let Some(snapshot) = &ready.snapshot {
            node.stored.snapshot = snapshot.clone();
            node.stored.entries.clear();
        }
        if let Some(first) = ready.entries.first() {
            node.stored
                .entries
                .retain(|entry| entry.index < first.index);
            node.stored.entries.extend(ready.entries.iter().cloned());
        }
        if let Some(last) = ready.entries.last() {
            node.raft.on_persisted(last.index);
        }
    }

    /// Applies committed entries. Asserts that no two nodes apply different entries at one index.
    fn apply(&mut self, member: u32, ready: &Ready) {
        let node = self.nodes.get_mut(&member).unwrap();
        if let Some(snapshot) = &ready.snapshot {
            node.applied = postcard::from_bytes(&snapshot.state).unwrap_or_default();
        }
        for entry in &ready.committed {
            node.applied.push(entry.clone());
            let known = self.committed.entry(entry.index).or_insert(entry.clone());
            assert_eq!(
                known, entry,
                "two different entries were committed at one index"
            );
        }
    }

    /// Asserts that a term has one leader and that the latest leader has every committed entry.
    fn check_leader(&mut self, member: u32) {
        let node = &self.nodes[&member];
        if !node.raft.is_leader() {
            return;
        }
        let term = node.raft.term();
        let known = self.leaders.entry(term).or_insert(peer(member));
        assert_eq!(*known, peer(member), "term {term} has two leaders");
        let latest = self.leaders.keys().next_back().copied();
        if latest != Some(term) {
            return;
        }
        let log = node.raft.log();
        for (index, entry) in self.committed.range(log.snapshot_index() + 1..) {
            let own = log.get(*index).map(|entry| entry.term);
            assert_eq!(
                own,
                Some(entry.term),
                "the leader does not have entry {index}"
            );
        }
    }

    fn tick(&mut self, millis: u64) {
        self.now = self.now.plus(Duration::from_millis(millis));
        for member in 1..=MEMBER_COUNT {
            let now = self.now;
            let node = self.nodes.get_mut(&member).unwrap();
            if now >= node.raft.next_deadline() {
                node.raft.tick(now);
            }
            self.process_ready(member);
        }
    }

    /// Delivers one message. With `keep`, it stays in the network and can be delivered again.
    fn deliver(&mut self, position: usize, keep: bool) {
        if self.network.is_empty() {
            return;
        }
        let position = position % self.network.len();
        let envelope = if keep {
            self.network[position].clone()
        } else {
            self.network.remove(position)
        };
        let member = envelope.to.member.0;
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&member) else {
            return;
        };
        node.raft.step(envelope, now);
        self.process_ready(member);
    }

    fn propose(&mut self, member: u32) {
        self.proposals += 1;
        let command = self.proposals.to_be_bytes().to_vec();
        let now = self.now;
        // Nodes that do not lead reject the proposal.
        let _ = self
            .nodes
            .get_mut(&member)
            .unwrap()
            .raft
            .propose(command, now);
        self.process_ready(member);
    }

    fn change_membership(&mut self, member: u32, change: MembershipChange) {
        let now = self.now;
        let raft = &mut self.nodes.get_mut(&member).unwrap().raft;
        // The node rejects changes that are not allowed in its current state.
        let _ = raft.propose_membership(change, now);
        self.process_ready(member);
    }

    /// Restarts a node from its persisted state. Its pending work is lost, and its unsent messages
    /// are never sent.
    fn crash(&mut self, member: u32) {
        let now = self.now;
        let node = self.nodes.get_mut(&member).unwrap();
        let _ = node.raft.take_ready();
        node.restarts += 1;
        node.raft = start(member, &node.stored, node.restarts, now);
        node.applied = postcard::from_bytes(&node.stored.snapshot.state).unwrap_or_default();
    }

    /// Stores the applied entries of a node as a snapshot and discards the log up to it.
    fn compact(&mut self, member: u32) {
        let node = self.nodes.get_mut(&member).unwrap();
        let Some(last) = node.applied.last().map(|entry| entry.index) else {
            return;
        };
        let log = node.raft.log();
        let Some(term) = log.term_at(last) else {
            return;
        };
        node.stored.snapshot = Snapshot {
            index: last,
            term,
            membership: log.membership_at(last).clone(),
            state: postcard::to_stdvec(&node.applied).unwrap(),
        };
        node.stored.entries.retain(|entry| entry.index > last);
        node.raft.compact(last);
    }

    /// Delivers all messages and asserts that the group commits at least two new entries.
    fn recover(&mut self) {
        let before = self.committed.len();
        for _ in 0..MAX_RECOVERY_ROUNDS {
            self.tick(40);
            for _ in 0..self.network.len() {
                self.deliver(0, false);
            }
            for member in 1..=MEMBER_COUNT {
                self.propose(member);
            }
            if self.committed.len() > before + 1 {
                return;
            }
        }
        panic!("fewer than two entries were committed after message loss ended");
    }
}

fn start(member: u32, stored: &StoredState, restarts: u64, now: Timestamp) -> RaftNode {
    let restored = RestoredState {
        hard_state: stored.hard_state,
        snapshot: stored.snapshot.clone(),
        entries: stored.entries.clone(),
    };
    let seed = u64::from(member) * 1_000 + restarts;
    RaftNode::new(peer(member), RaftConfig::default(), restored, seed, now)
}

#[derive(Clone, Debug)]
enum Action {
    Tick(u64),
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    Propose(u32),
    Crash(u32),
    Compact(u32),
    Change(u32, MembershipChange),
}

fn action() -> impl Strategy<Value = Action> {
    let member = 1..=MEMBER_COUNT;
    let change = (0..4, 1..=MEMBER_COUNT).prop_map(|(kind, member)| match kind {
        0 => MembershipChange::AddLearner(peer(member)),
        1 => MembershipChange::Promote(peer(member)),
        2 => MembershipChange::AddLearners((member..=MEMBER_COUNT).map(peer).collect()),
        _ => MembershipChange::Remove(peer(member)),
    });
    prop_oneof![
        12 => (1..400_u64).prop_map(Action::Tick),
        40 => any::<usize>().prop_map(Action::Deliver),
        4 => any::<usize>().prop_map(Action::Duplicate),
        4 => any::<usize>().prop_map(Action::Drop),
        8 => member.clone().prop_map(Action::Propose),
        2 => member.clone().prop_map(Action::Crash),
        2 => member.clone().prop_map(Action::Compact),
        3 => (member, change).prop_map(|(member, change)| Action::Change(member, change)),
    ]
}

fn perform(cluster: &mut Cluster, action: Action) {
    match action {
        Action::Tick(millis) => cluster.tick(millis),
        Action::Deliver(position) => cluster.deliver(position, false),
        Action::Duplicate(position) => cluster.deliver(position, true),
        Action::Drop(position) => {
            if !cluster.network.is_empty() {
                let position = position % cluster.network.len();
                cluster.network.remove(position);
            }
        }
        Action::Propose(member) => cluster.propose(member),
        Action::Crash(member) => cluster.crash(member),
        Action::Compact(member) => cluster.compact(member),
        Action::Change(member, change) => cluster.change_membership(member, change),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn committed_entries_are_never_lost_and_the_group_recovers(
        actions in proptest::collection::vec(action(), 50..500),
    ) {
        let mut cluster = Cluster::new();
        cluster.recover();
        for action in actions {
            perform(&mut cluster, action);
        }
        cluster.recover();
    }
}

#[test]
fn entries_carry_commands_in_order_of_proposal() {
    let mut cluster = Cluster::new();
    cluster.recover();
    let leader = *cluster
        .nodes
        .iter()
        .find(|(_, node)| node.raft.is_leader())
        .map(|(member, _)| member)
        .unwrap();
    let first = cluster.proposals + 1;
    for _ in 0..5 {
        cluster.propose(leader);
    }
    for _ in 0..50 {
        cluster.tick(20);
        for _ in 0..cluster.network.len() {
            cluster.deliver(0, false);
        }
    }
    let commands: Vec<u64> = cluster.nodes[&leader]
        .applied
        .iter()
        .filter_map(|entry| match &entry.payload {
            Payload::Command(bytes) => Some(u64::from_be_bytes(bytes[..].try_into().unwrap())),
            _ => None,
        })
        .filter(|command| *command >= first)
        .collect();
    assert_eq!(commands, (first..first + 5).collect::<Vec<_>>());
}

/// Advances time in small steps without message loss until a node leads. Returns its member number
/// and the elapsed time.
fn first_leader(cluster: &mut Cluster) -> (u32, Duration) {
    let members: Vec<u32> = cluster.nodes.keys().copied().collect();
    for step in 1..1_000 {
        let passed = Duration::from_millis(5) * step;
        cluster.now = Timestamp::ZERO.plus(passed);
        for member in &members {
            let now = cluster.now;
            cluster.nodes.get_mut(member).unwrap().raft.tick(now);
            cluster.process_ready(*member);
        }
        while !cluster.network.is_empty() {
            cluster.deliver(0, false);
        }
        let leads = |node: &Node| node.raft.is_leader();
        if let Some((member, _)) = cluster.nodes.iter().find(|(_, node)| leads(node)) {
            return (*member, passed);
        }
    }
    panic!("no leader was elected");
}

#[test]
fn voters_that_start_together_stand_for_election_in_order() {
    let heartbeat = RaftConfig::default().heartbeat_interval;
    for restarts in 0..50 {
        let mut cluster = Cluster::new();
        for (member, node) in &mut cluster.nodes {
            node.raft = start(*member, &node.stored, restarts, Timestamp::ZERO);
        }
        let (leader, passed) = first_leader(&mut cluster);
        assert_eq!(leader, 1, "start {restarts}");
        assert!(passed <= heartbeat, "start {restarts}: {passed:?}");
        // If the first voter is down, the second one is elected within two heartbeat intervals.
        let mut cluster = Cluster::new();
        cluster.nodes.remove(&1);
        for (member, node) in &mut cluster.nodes {
            node.raft = start(*member, &node.stored, restarts, Timestamp::ZERO);
        }
        cluster.network.clear();
        let (leader, passed) = first_leader(&mut cluster);
        assert_eq!(leader, 2, "start {restarts}");
        assert!(passed <= heartbeat * 2, "start {restarts}: {passed:?}");
    }
}

/// A member that lost its storage restarts with a new incarnation, which is not in the membership.
/// If its vote counted, a second failure right after the repair could elect a leader that lacks
/// committed entries.
#[test]
fn a_node_with_empty_storage_has_no_vote() {
    let now = Timestamp::from_millis(10_000);
    let fresh = Peer {
        member: MemberId(1),
        incarnation: 2,
    };
    let mut node = RaftNode::new(
        fresh,
        RaftConfig::default(),
        RestoredState::default(),
        1,
        now,
    );
    let vote_request = Envelope {
        from: peer(2),
        to: fresh,
        term: 9,
        message: Message::Vote {
            last_index: 0,
            last_term: 0,
            transfer: true,
        },
    };
    node.step(vote_request, now);
    let ready = node.take_ready();
    let refused = ready
        .messages_after_sync
        .iter()
        .all(|envelope| !matches!(envelope.message, Message::VoteReply { granted: true }));
    assert!(refused);
    node.tick(now.plus(Duration::from_secs(60)));
    assert!(
        node.take_ready().messages.is_empty(),
        "a node outside the membership must not start an election"
    );
}
