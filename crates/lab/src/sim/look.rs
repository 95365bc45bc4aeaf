//! Looks at the fleet from outside: when a run begins, what is in force where, repairs, and when
//! it is over.

use crate::observe::{Departure, HeldMemory, RevisionSeen};
use crate::sim::message::{ControlClientId, Message, SimEvent};
use crate::sim::node::Node;
use crate::sim::world::{Stage, World};
use luglink_control::{ControlNode, Input, Request, RequestToken};
use luglink_raft::{Membership, MembershipChange, Peer};
use luglink_storage::MemoryDisk;
use luglink_types::{EngineId, GroupId, ProgramId, Revision, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time between looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Looks between two notes of every daemon's revision.
const LOOKS_PER_NOTE: u64 = 10;

/// Incarnation of the storages that a cluster begins with.
const FIRST_INCARNATION: u64 = 1;

/// Age of what the platform's list says.
const PLATFORM_LAG: Duration = Duration::from_millis(900);

/// Time in which a fleet must become ready.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// Time that engines have, after the last program has ended, to give its memory back. Longer
/// than the checker's limit, so that the checker sees a late release as a broken promise.
const SETTLE_LIMIT: Duration = Duration::from_secs(14);

/// Time that a settled fleet is watched at least, so that late messages have arrived.
const SETTLE_MINIMUM: Duration = Duration::from_secs(2);

impl World {
    pub(crate) fn look(&mut self) {
        self.note_isolations();
        self.note_revisions();
        self.note_leaders();
        self.tell_platform_list();
        self.repair_members();
        match self.stage {
            Stage::Starting => self.look_at_start(),
            Stage::Running => self.look_at_run(),
            Stage::Settling { since } => self.look_at_settling(since),
            Stage::Finished => return,
        }
        if self.now.since(self.base) > self.config.limit && !self.is_finished() {
            self.problems
                .push("the run reached its limit of virtual time".to_owned());
            self.finish();
        }
        self.schedule_in(LOOK_INTERVAL, SimEvent::Look);
    }

    fn look_at_start(&mut self) {
        let ready = |daemon: &crate::sim::daemons::DaemonProcess| {
            let logic = daemon.logic.as_ref();
            logic.is_some_and(|logic| logic.configuration().revision() > Revision(0))
        };
        if self.daemons.iter().all(ready) {
            return self.begin_trace();
        }
        if self.now.since(Timestamp::ZERO) > READY_LIMIT {
            self.problems
                .push("the fleet did not become ready".to_owned());
            self.finish();
        }
    }

    fn begin_trace(&mut self) {
        self.stage = Stage::Running;
        self.base = self.now;
        let base = self.now;
        for caller in 0..self.callers.len() {
            let at = base.plus(self.callers[caller].begins_at());
            let generation = 0;
            self.schedule(at, SimEvent::Caller { caller, generation });
        }
        for lookup in 0..self.lookups.len() {
            let at = base.plus(self.lookups[lookup].begins_at());
            let generation = 0;
            self.schedule(at, SimEvent::Lookup { lookup, generation });
        }
        for operator in 1..self.operators.len() {
            let at = base.plus(self.operators[operator].begins_at());
            let generation = 0;
            let event = SimEvent::Operator {
                operator,
                generation,
            };
            self.schedule(at, event);
        }
        for fault in 0..self.plan.faults.len() {
            let planned = self.plan.faults[fault].clone();
            let at = base.plus(planned.at);
            let begins = true;
            self.schedule(at, SimEvent::Fault { fault, begins });
            if let Some(length) = planned.length {
                let begins = false;
                self.schedule(at.plus(length), SimEvent::Fault { fault, begins });
            }
        }
    }

    fn look_at_run(&mut self) {
        let last_fault = self.plan.faults.iter().map(|fault| fault.at).max();
        let faults_begun = last_fault.is_none_or(|at| self.now.since(self.base) > at);
        let done = faults_begun
            && self
                .callers
                .iter()
                .all(crate::sim::callers::Caller::is_done)
            && self
                .lookups
                .iter()
                .all(crate::sim::lookups::LookupCaller::is_done)
            && self
                .operators
                .iter()
                .all(crate::sim::operators::Operator::is_done);
        if done {
            self.end_all_faults();
            self.stage = Stage::Settling { since: self.now };
        }
    }

    fn look_at_settling(&mut self, since: Timestamp) {
        let ends = self.program_ends();
        let last_end = ends.values().copied().max().unwrap_or_default();
        let settled_from = since.max(last_end);
        let held = self.held_memory(&ends, since);
        let ended = self.now >= settled_from && held.is_empty();
        let quiet = self.now.since(settled_from) > SETTLE_MINIMUM && self.every_group_is_led();
        let over = self.now.since(settled_from) > SETTLE_LIMIT;
        if (ended && quiet) || over {
            if !self.every_group_is_led() {
                self.problems
                    .push("a group has no leader although every fault has ended".to_owned());
            }
            self.history.held = held;
            self.take_final_views();
            self.note_final_budgets();
            self.finish();
        }
    }

    fn finish(&mut self) {
        self.stage = Stage::Finished;
    }

    fn note_revisions(&mut self) {
        let round = self.now.as_micros() / u64::try_from(LOOK_INTERVAL.as_micros()).unwrap_or(1);
        for daemon in 0..self.daemons.len() {
            let state = &self.daemons[daemon];
            let Some(logic) = state.logic.as_ref().filter(|_| state.hung.is_none()) else {
                continue;
            };
            let id = u32::try_from(daemon).unwrap_or(u32::MAX);
            let revision = logic.configuration().revision();
            let changed = state.noted != Some((state.process, revision));
            let process = state.process;
            self.daemons[daemon].noted = Some((process, revision));
            if changed || round.is_multiple_of(LOOKS_PER_NOTE) {
                self.history.revisions.push(RevisionSeen {
                    daemon: id,
                    process,
                    at: self.now,
                    revision,
                });
            }
        }
    }

    fn leader_of(&self, group: GroupId) -> Option<&ControlNode<MemoryDisk>> {
        let nodes = self
            .control
            .iter()
            .filter(|control| control.hung.is_none())
            .filter_map(|control| control.node.as_ref());
        nodes.filter(|node| node.leads(group)).max_by_key(|node| {
            let status = node.status();
            let found = status.groups.iter().find(|status| status.group == group);
            found.map(|status| status.term)
        })
    }

    fn groups(&self) -> impl Iterator<Item = GroupId> + use<> {
        (0..=self.config.program_groups).map(GroupId)
    }

    fn every_group_is_led(&self) -> bool {
        self.groups().all(|group| self.has_leader(group))
    }

    fn has_leader(&self, group: GroupId) -> bool {
        self.control.iter().enumerate().any(|(member, control)| {
            let reachable = !self.network.is_isolated(Node::Control(member));
            let node = control.node.as_ref().filter(|_| control.hung.is_none());
            reachable && node.is_some_and(|node| node.leads(group))
        })
    }

    /// Notes for how long groups go without a leader.
    fn note_leaders(&mut self) {
        if self.stage == Stage::Starting {
            return;
        }
        for group in self.groups() {
            let led = self.has_leader(group);
            let gap = self.leader_gaps.get(&group).copied();
            match gap {
                None if !led => {
                    self.leader_gaps.insert(group, self.now);
                }
                Some(since) if led => {
                    self.leader_gaps.remove(&group);
                    self.leaderless.push(self.now.since(since));
                }
                _ => {}
            }
        }
    }

    pub(crate) fn note_platform_change(&mut self, engine: EngineId, leaves: bool) {
        let mut list = self
            .platform
            .last()
            .map(|(_, list)| list.clone())
            .unwrap_or_default();
        if leaves {
            list.insert(engine);
        } else {
            list.remove(&engine);
        }
        self.platform.push((self.now, list));
    }

    pub(crate) fn is_leaving(&self, engine: usize) -> bool {
        let id = crate::sim::engines::engine_id(engine);
        self.platform
            .last()
            .is_some_and(|(_, list)| list.contains(&id))
    }

    /// Daemons read the platform's list, which is some time old.
    fn tell_platform_list(&mut self) {
        if self.platform.is_empty() {
            return;
        }
        let now = self.now;
        let old_enough = self
            .platform
            .iter()
            .rev()
            .find(|(at, _)| now.since(*at) >= PLATFORM_LAG);
        let engines: Vec<EngineId> = old_enough
            .map(|(_, list)| list.iter().copied().collect())
            .unwrap_or_default();
        for daemon in 0..self.daemons.len() {
            let message = Message::Leaving {
                engines: engines.clone(),
            };
            let to = Node::Daemon(daemon);
            if !self.network.is_cut(Node::Operators, to) {
                self.send(Node::Operators, to, message);
            }
        }
    }

    /// Does what an operator does with `luglink ctl member`: replaces the storages that are gone.
    fn repair_members(&mut self) {
        if !self.has_new_storage() {
            return;
        }
        for group in self.groups() {
            let Some(leader) = self.leader_of(group) else {
                continue;
            };
            let status = leader.status();
            let member = crate::sim::control::member_index(status.member);
            let found = status.groups.into_iter().find(|it| it.group == group);
            let Some(change) = found.and_then(|status| self.repair_of(&status.membership)) else {
                continue;
            };
            let request = Request::ChangeMembership { group, change };
            let token = RequestToken {
                client: ControlClientId::REPAIR.0,
                request: 0,
            };
            self.control_input(
                member,
                Input::Request {
                    token,
                    request: Box::new(request),
                },
            );
        }
    }

    /// Whether a member has come back with an empty disk. Status is costly to look at.
    fn has_new_storage(&self) -> bool {
        let running = self.control.iter().filter_map(|it| it.node.as_ref());
        let mut incarnations = running.map(|node| node.peer().incarnation);
        incarnations.any(|incarnation| incarnation > FIRST_INCARNATION)
    }

    /// The next step that replaces a lost storage in a group, if there is one.
    fn repair_of(&self, membership: &Membership) -> Option<MembershipChange> {
        let running: BTreeMap<_, Peer> = self
            .control
            .iter()
            .filter_map(|control| control.node.as_ref())
            .map(|node| (node.peer().member, node.peer()))
            .collect();
        for old in membership.peers() {
            let Some(new) = running.get(&old.member).filter(|new| **new != old) else {
                continue;
            };
            if !membership.contains(*new) {
                return Some(MembershipChange::AddLearner(*new));
            }
            if membership.is_voter(old) && !membership.is_voter(*new) {
                return Some(MembershipChange::Promote(*new));
            }
            return Some(MembershipChange::Remove(old));
        }
        None
    }

    /// When each program ended, or counts as abandoned.
    fn program_ends(&self) -> BTreeMap<ProgramId, Timestamp> {
        let mut ends = BTreeMap::new();
        for program in &self.history.programs {
            let (Some(id), Some((at, departure))) = (program.id, program.left_at) else {
                continue;
            };
            let end = match departure {
                Departure::Ended => at,
                Departure::Abandoned => at.plus(self.config.idle_timeout),
            };
            ends.insert(id, end);
        }
        ends
    }

    /// Memory still held for ended programs. While faults lasted nobody could release it, so
    /// time counts from their end.
    fn held_memory(
        &self,
        ends: &BTreeMap<ProgramId, Timestamp>,
        since: Timestamp,
    ) -> Vec<HeldMemory> {
        let mut held = Vec::new();
        for (index, engine) in self.engines.iter().enumerate() {
            let Some(core) = &engine.core else {
                continue;
            };
            for (program, end) in ends {
                let blocks = core.blocks_held_by(*program);
                if blocks > 0 {
                    held.push(HeldMemory {
                        engine: crate::sim::engines::engine_id(index),
                        program: *program,
                        blocks,
                        since_end: self.now.since((*end).max(since)),
                    });
                }
            }
        }
        held
    }

    /// Takes the final state of every program from the leader of its group.
    fn take_final_views(&mut self) {
        let groups = self.config.program_groups;
        let mut views = BTreeMap::new();
        for program in &self.history.programs {
            let Some(id) = program.id else {
                continue;
            };
            let group = id.group(groups);
            let leader = self.leader_of(group);
            let found = leader
                .and_then(|node| node.programs(group))
                .and_then(|store| store.program(id))
                .map(luglink_program::Program::view);
            if let Some(view) = found {
                views.insert(id, view);
            }
        }
        for program in &mut self.history.programs {
            program.final_view = program.id.and_then(|id| views.remove(&id));
        }
    }
}

/// The platform's list at a moment.
pub(crate) type PlatformList = (Timestamp, BTreeSet<EngineId>);
