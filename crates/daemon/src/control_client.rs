//! Requests to the control members: which member to ask, when to ask again, when to give up.

use crate::action::Action;
use luglink_control::{Request, Response};
use luglink_types::{GroupId, MemberId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// One request to the control members, whichever of them answers it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub u64);

/// Pause before a request is sent again when nobody knows who leads.
const NO_LEADER_RETRY_DELAY: Duration = Duration::from_millis(60);

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum OperationResult {
    /// A member answered.
    Answered(Box<Response>),
    /// No member answered in time. Whether the request took effect is not known.
    TimedOut,
}

#[derive(Clone, Debug)]
struct Operation {
    group: GroupId,
    request: Request,
    member: MemberId,
    attempt_timeout: Duration,
    attempt_deadline: Timestamp,
    deadline: Timestamp,
    /// The member has been given the request and may still answer.
    awaits_response: bool,
}

/// Requests under way and what is known of the leaders.
#[derive(Clone, Debug)]
pub(crate) struct ControlClient {
    members: Vec<MemberId>,
    leaders: BTreeMap<GroupId, MemberId>,
    operations: BTreeMap<OperationId, Operation>,
    last_operation: OperationId,
    attempt_timeout: Duration,
}

impl ControlClient {
    pub(crate) fn new(members: Vec<MemberId>, attempt_timeout: Duration) -> Self {
        Self {
            members,
            leaders: BTreeMap::new(),
            operations: BTreeMap::new(),
            last_operation: OperationId::default(),
            attempt_timeout,
        }
    }

    /// Sends a request to the group's leader, as far as it is known.
    pub(crate) fn submit(
        &mut self,
        group: GroupId,
        request: Request,
        timeout: Duration,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) -> OperationId {
        let member = self.leader_or_guess(group);
        let attempt_timeout = self.attempt_timeout;
        self.submit_to(
            group,
            member,
            request,
            attempt_timeout,
            timeout,
            now,
            actions,
        )
    }

    /// Sends a request to a given member, which may hold it for a while.
    #[allow(clippy::too_many_arguments)] // Each is a separate fact of one request.
    pub(crate) fn submit_to(
        &mut self,
        group: GroupId,
        member: MemberId,
        request: Request,
        attempt_timeout: Duration,
        timeout: Duration,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) -> OperationId {
        self.last_operation.0 += 1;
        let id = self.last_operation;
        let operation = Operation {
            group,
            request,
            member,
            attempt_timeout,
            attempt_deadline: now,
            deadline: now.plus(timeout),
            awaits_response: false,
        };
        self.operations.insert(id, operation);
        self.send(id, now, actions);
        id
    }

    /// The member to ask about a group first.
    pub(crate) fn leader_or_guess(&self, group: GroupId) -> MemberId {
        let guess = (group.0 as usize).saturating_sub(1) % self.members.len();
        self.leaders
            .get(&group)
            .copied()
            .unwrap_or(self.members[guess])
    }

    /// Takes a response. `None` when the request goes on or is not known.
    pub(crate) fn on_response(
        &mut self,
        id: OperationId,
        response: Response,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) -> Option<OperationResult> {
        let operation = self.operations.get_mut(&id)?;
        let group = operation.group;
        match response {
            Response::NotLeader {
                leader: Some(leader),
                ..
            } if leader != operation.member => {
                operation.member = leader;
                self.leaders.insert(group, leader);
                self.send(id, now, actions);
                None
            }
            Response::NotLeader { .. } | Response::Unavailable { .. } => {
                self.leaders.remove(&group);
                self.schedule_retry(id, now);
                None
            }
            answer => {
                let member = operation.member;
                self.operations.remove(&id);
                self.leaders.insert(group, member);
                Some(OperationResult::Answered(Box::new(answer)))
            }
        }
    }

    /// A member is gone: whatever it was asked goes to the next one.
    pub(crate) fn on_unreachable(&mut self, member: MemberId, now: Timestamp) {
        self.leaders.retain(|_, leader| *leader != member);
        let affected: Vec<OperationId> = self
            .operations
            .iter()
            .filter(|(_, operation)| operation.member == member && operation.awaits_response)
            .map(|(id, _)| *id)
            .collect();
        for id in affected {
            self.schedule_retry(id, now);
        }
    }

    /// Sends again what waited long enough; gives back what is given up.
    pub(crate) fn tick(&mut self, now: Timestamp, actions: &mut Vec<Action>) -> Vec<OperationId> {
        let expired: Vec<OperationId> = self
            .operations
            .iter()
            .filter(|(_, operation)| now >= operation.deadline)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.operations.remove(id);
        }
        let due: Vec<OperationId> = self
            .operations
            .iter()
            .filter(|(_, operation)| now >= operation.attempt_deadline)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.try_next_member(id);
            self.send(id, now, actions);
        }
        expired
    }

    /// Gives every request more time.
    pub(crate) fn extend_deadlines(&mut self, extension: Duration) {
        for operation in self.operations.values_mut() {
            operation.attempt_deadline = operation.attempt_deadline.plus(extension);
            operation.deadline = operation.deadline.plus(extension);
        }
    }

    pub(crate) fn next_deadline(&self) -> Option<Timestamp> {
        let deadline = |operation: &Operation| operation.attempt_deadline.min(operation.deadline);
        self.operations.values().map(deadline).min()
    }

    fn schedule_retry(&mut self, id: OperationId, now: Timestamp) {
        if let Some(operation) = self.operations.get_mut(&id) {
            operation.awaits_response = false;
            operation.attempt_deadline = now.plus(NO_LEADER_RETRY_DELAY);
        }
    }

    fn try_next_member(&mut self, id: OperationId) {
        let Some(operation) = self.operations.get_mut(&id) else {
            return;
        };
        let known = self.leaders.get(&operation.group).copied();
        operation.member = match known {
            Some(leader) if leader != operation.member => leader,
            _ => {
                let position = self
                    .members
                    .iter()
                    .position(|member| *member == operation.member);
                let next = position.map_or(0, |position| (position + 1) % self.members.len());
                self.members[next]
            }
        };
    }

    fn send(&mut self, id: OperationId, now: Timestamp, actions: &mut Vec<Action>) {
        if let Some(operation) = self.operations.get_mut(&id) {
            operation.awaits_response = true;
            operation.attempt_deadline = now.plus(operation.attempt_timeout);
            actions.push(Action::Control {
                member: operation.member,
                operation: id,
                request: Box::new(operation.request.clone()),
            });
        }
    }
}
