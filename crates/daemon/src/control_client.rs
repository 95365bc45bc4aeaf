//! Requests to the control members: choice of the member, retries and timeouts.

use crate::action::Action;
use luglink_control::{Request, Response};
use luglink_types::{GroupId, MemberId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of an operation: a request to the control members, including its retries at other
/// members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub u64);

/// Delay before a request is sent again when the group's leader is unknown.
const NO_LEADER_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Result of an operation.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum OperationResult {
    /// A member answered.
    Answered(Box<Response>),
    /// No member answered in time. Whether the request took effect is unknown.
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
    /// True if the member has been sent the request and may still answer.
    awaits_response: bool,
}

/// Operations in flight and the known leaders of the groups.
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

    /// Sends a request to the group's leader, or to a guessed member if the leader is unknown.
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

    /// Sends a request to a given member, which may hold it until `attempt_timeout`.
    #[allow(clippy::too_many_arguments)] // Independent parameters of one request.
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

    /// Returns the known leader of a group. If it is unknown, returns a member chosen by the
    /// group's number, which spreads the groups over the members.
    pub(crate) fn leader_or_guess(&self, group: GroupId) -> MemberId {
        let guess = (group.0 as usize).saturating_sub(1) % self.members.len();
        self.leaders
            .get(&group)
            .copied()
            .unwrap_or(self.members[guess])
    }

    /// Handles a response. Returns `None` if the operation continues or is unknown.
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

    /// Schedules retries of all operations at an unreachable member.
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

    /// Resends operations whose attempt has timed out. Removes and returns expired operations.
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

    /// Postpones the deadlines of all operations by `extension`.
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
