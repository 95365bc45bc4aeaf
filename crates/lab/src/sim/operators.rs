//! Operators in the simulator: they read the configuration, change it, and resend a change whose
//! answer was lost.

use crate::fleet::{DeploymentLayout, budget_from_change, deployment_resources};
use crate::observe::ChangeRecord;
use crate::sim::control::member_index;
use crate::sim::message::{ControlClientId, Delivery, Message, SimEvent};
use crate::sim::node::Node;
use crate::sim::world::World;
use crate::trace::{ChangeEvent, ChangeSet, ExpectedRevision};
use luglink_control::{CONFIGURATION_GROUP, Request, Response};
use luglink_resources::{
    BudgetPolicy, Change, ChangeResponse, ConfigurationView, Operation, Replica, Resource,
    RevisionPrecondition,
};
use luglink_types::{ChangeId, EngineId, Revision, Timestamp};
use std::time::Duration;

/// Time after which an operator asks the next member.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before an operator asks again when no member could answer.
const OPERATOR_PAUSE: Duration = Duration::from_millis(150);

/// Times that an operator asks at the most.
const MAX_ASKS: u32 = 120;

/// Requests of one operator are numbered within its own range.
const REQUESTS_PER_OPERATOR: u64 = 1 << 32;

/// Far above any generated program.
const FIRST_PORT: u16 = 8_000;

/// What an operator wants.
#[derive(Clone, Debug)]
enum Wish {
    /// The configuration that a fleet begins with.
    Setup(Vec<Operation>),
    /// A change of the trace.
    Event(ChangeEvent),
}

/// One operator with one change.
#[derive(Debug)]
pub(crate) struct Operator {
    wish: Wish,
    /// The change, once the operator has read what it builds on.
    change: Option<Change>,
    budget: Option<BudgetPolicy>,
    member: usize,
    asks: u32,
    generation: u32,
    sent_at: Timestamp,
    begun: bool,
    done: bool,
}

impl Operator {
    pub(crate) fn new(event: ChangeEvent) -> Self {
        Self::wishing(Wish::Event(event))
    }

    fn wishing(wish: Wish) -> Self {
        Self {
            wish,
            change: None,
            budget: None,
            member: 0,
            asks: 0,
            generation: 0,
            sent_at: Timestamp::ZERO,
            begun: false,
            done: false,
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done
    }

    /// When the change is made, from the start of the trace.
    pub(crate) fn begins_at(&self) -> Duration {
        match &self.wish {
            Wish::Setup(_) => Duration::ZERO,
            Wish::Event(event) => Duration::from_millis(event.at_ms),
        }
    }
}

impl World {
    /// The operator that sets the fleet up.
    pub(crate) fn first_operator(&self) -> Operator {
        let mut operations: Vec<Operation> = Vec::new();
        for (place, deployment) in self.config.deployments.iter().enumerate() {
            let engines = place * self.config.engines;
            let services = self.config.all_engines() + place * self.config.service_replicas;
            let layout = DeploymentLayout {
                deployment: *deployment,
                engines: self.replicas(engines, self.config.engines, Node::Engine, 0),
                services: self.replicas(
                    services,
                    self.config.service_replicas,
                    Node::Service,
                    self.config.all_engines(),
                ),
                idle_timeout_ms: u64::try_from(self.config.idle_timeout.as_millis())
                    .unwrap_or(u64::MAX),
                max_queued_calls: self.config.max_queued_calls,
            };
            for operation in deployment_resources(&layout) {
                let known = operations
                    .iter()
                    .any(|other| other.key() == operation.key());
                if !known {
                    operations.push(operation);
                }
            }
        }
        Operator::wishing(Wish::Setup(operations))
    }

    fn replicas(
        &self,
        first: usize,
        count: usize,
        node: fn(usize) -> Node,
        offset: usize,
    ) -> Vec<Replica> {
        let replica = |id: usize| {
            let zone = self.network.zone_of(node(id - offset));
            let port = FIRST_PORT + u16::try_from(id).unwrap_or_default();
            Replica {
                engine: EngineId(u32::try_from(id).unwrap_or(u32::MAX)),
                address: format!("10.0.0.1:{port}"),
                zone: self.config.topology.zones[zone].name.as_str().into(),
            }
        };
        (first..first + count).map(replica).collect()
    }

    pub(crate) fn begin_operator(&mut self, operator: usize) {
        let now = self.now;
        let state = &mut self.operators[operator];
        state.begun = true;
        state.sent_at = now;
        if let Wish::Setup(operations) = &state.wish {
            state.change = Some(Change {
                change_id: ChangeId("setup".to_owned()),
                operator: "lab".to_owned(),
                expected: RevisionPrecondition::Exactly(Revision(0)),
                operations: operations.clone(),
            });
        }
        self.operator_asks(operator);
    }

    fn operator_waits(&mut self, operator: usize, wait: Duration) {
        let state = &mut self.operators[operator];
        state.generation += 1;
        let generation = state.generation;
        let event = SimEvent::Operator {
            operator,
            generation,
        };
        self.schedule_in(wait, event);
    }

    pub(crate) fn operator_wakes(&mut self, operator: usize, generation: u32) {
        let members = self.config.control_members;
        let state = &mut self.operators[operator];
        if state.done || state.generation != generation {
            return;
        }
        if !state.begun {
            return self.begin_operator(operator);
        }
        state.member = (state.member + 1) % members;
        self.operator_asks(operator);
    }

    /// Asks for the configuration, or for the change once it is known.
    fn operator_asks(&mut self, operator: usize) {
        let state = &mut self.operators[operator];
        state.asks += 1;
        if state.asks > MAX_ASKS {
            return self.end_operator(operator, None, false);
        }
        let request = match &state.change {
            Some(change) => Request::Change(change.clone()),
            None => Request::ReadConfiguration { known: Revision(0) },
        };
        let number = operator as u64 * REQUESTS_PER_OPERATOR + u64::from(state.asks);
        let member = state.member;
        let message = Message::ControlRequest {
            client: ControlClientId::operators(),
            request: number,
            body: Box::new(request),
        };
        self.send(Node::Operators, Node::Control(member), message);
        self.operator_waits(operator, OPERATOR_TIMEOUT);
    }

    pub(crate) fn deliver_to_operators(&mut self, delivery: Delivery) {
        let Message::ControlResponse { request, body } = delivery.message else {
            return;
        };
        let operator = usize::try_from(request / REQUESTS_PER_OPERATOR).unwrap_or(usize::MAX);
        let Some(state) = self.operators.get_mut(operator) else {
            return;
        };
        if state.done {
            return;
        }
        match *body {
            Response::NotLeader {
                leader: Some(leader),
                ..
            } => {
                // Asked at once; a chain of old hints is bounded by the number of asks.
                state.member = member_index(leader);
                self.operator_asks(operator);
            }
            Response::Configuration(catch_up) if state.change.is_none() => {
                let mut view = ConfigurationView::default();
                view.advance(catch_up);
                self.prepare_change(operator, &view);
            }
            Response::Change(answer) if state.change.is_some() => {
                self.change_answered(operator, &answer);
            }
            _ => self.operator_waits(operator, OPERATOR_PAUSE),
        }
    }

    fn prepare_change(&mut self, operator: usize, view: &ConfigurationView) {
        let state = &mut self.operators[operator];
        let Wish::Event(event) = &state.wish else {
            return;
        };
        let current = budget_named(view, &event.set);
        let policy = match budget_from_change(&event.set, current) {
            Ok(policy) => policy,
            Err(problem) => {
                let problem = format!("change {}: {problem}", event.change_id);
                self.problems.push(problem);
                return self.end_operator(operator, None, true);
            }
        };
        let expected = match event.expected_revision {
            ExpectedRevision::Current => RevisionPrecondition::Current,
            ExpectedRevision::Exactly(revision) => {
                RevisionPrecondition::Exactly(Revision(revision))
            }
        };
        state.change = Some(Change {
            change_id: ChangeId(event.change_id.clone()),
            operator: event.operator.clone(),
            expected,
            operations: vec![Operation::Set(Resource::Budget(policy.clone()))],
        });
        state.budget = Some(policy);
        state.sent_at = self.now;
        self.operator_asks(operator);
    }

    fn change_answered(&mut self, operator: usize, answer: &ChangeResponse) {
        let accepted = match answer {
            ChangeResponse::Accepted { revision } => Some((self.now, *revision)),
            _ => None,
        };
        if operator == 0 && accepted.is_none() {
            self.problems
                .push(format!("the fleet could not be set up: {answer:?}"));
        }
        self.end_operator(operator, accepted, true);
    }

    fn end_operator(
        &mut self,
        operator: usize,
        accepted: Option<(Timestamp, Revision)>,
        answered: bool,
    ) {
        let state = &mut self.operators[operator];
        state.done = true;
        state.generation += 1;
        let change_id = match &state.wish {
            Wish::Setup(_) => "setup".to_owned(),
            Wish::Event(event) => event.change_id.clone(),
        };
        let expected = state.change.as_ref().map(|change| change.expected);
        self.history.changes.push(ChangeRecord {
            change_id,
            sent_at: state.sent_at,
            expected: match expected {
                Some(RevisionPrecondition::Exactly(revision)) => Some(revision),
                _ => None,
            },
            budget: state.budget.clone(),
            accepted,
            answered,
        });
    }

    /// Takes the budgets that are in force from a member that leads the configuration.
    pub(crate) fn note_final_budgets(&mut self) {
        let mut view = ConfigurationView::default();
        for control in &self.control {
            let node = control.node.as_ref();
            if let Some(node) = node.filter(|node| node.leads(CONFIGURATION_GROUP)) {
                view.advance(node.configuration_after(Revision(0)));
            }
        }
        self.history.final_budgets = view
            .resources()
            .filter_map(|resource| match resource {
                Resource::Budget(policy) => Some(policy.clone()),
                _ => None,
            })
            .collect();
    }
}

fn budget_named(view: &ConfigurationView, set: &ChangeSet) -> Option<BudgetPolicy> {
    view.resources().find_map(|resource| match resource {
        Resource::Budget(policy) if policy.name == set.name => Some(policy.clone()),
        _ => None,
    })
}
