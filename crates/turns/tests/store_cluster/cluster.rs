//! Turn stores, their registry and its leader on a virtual clock, with gateways whose views have
//! different ages.

use crate::random::Random;
use luglink_fleet::{
    Presence, PresenceTable, RetireState, Role, StoreCommand, StoreLimits, StoreName, StorePlanner,
    StorePresence, StoreRegistry, StoreSituation, StoreState, StoreView,
};
use luglink_quota::Tolerance;
use luglink_storage::{MemoryDisk, WalConfig};
use luglink_turns::{
    ClientView, KeepCheck, KeepReport, Output, Replication, RequestToken, StoreConfig, StoreNode,
    StoreRequest, StoreResponse,
};
use luglink_types::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two steps.
pub const STEP: Duration = Duration::from_millis(100);

/// Steps after which the presence of a process is dropped.
const FORGET_TIMEOUT: Duration = Duration::from_secs(10);

/// A machine with a store.
pub struct Machine {
    pub node: Option<StoreNode<MemoryDisk>>,
    /// Disk while the store is down.
    pub disk: MemoryDisk,
    /// Identifies the disk; `None` until the store has started with it.
    pub incarnation: Option<u64>,
    /// Step at which a store that is down starts again.
    pub starts_at: u64,
    /// Step until which the store is frozen.
    pub frozen_until: u64,
    /// Step until which the store reaches neither the leader nor other stores nor the gateways.
    pub cut_until: u64,
    /// Step until which the disk refuses writes.
    pub full_until: u64,
}

impl Machine {
    fn new(disk: MemoryDisk, starts_at: u64) -> Self {
        Self {
            node: None,
            disk,
            incarnation: None,
            starts_at,
            frozen_until: 0,
            cut_until: 0,
            full_until: 0,
        }
    }

    pub fn is_reachable(&self, step: u64) -> bool {
        self.node.is_some() && self.frozen_until <= step && self.cut_until <= step
    }
}

/// Message that arrives late.
struct LateRequest {
    arrives_at: u64,
    to: StoreName,
    client_view: Option<ClientView>,
    check: Option<KeepCheck>,
    request: StoreRequest,
}

pub struct Cluster {
    pub step: u64,
    pub replication: Replication,
    pub registry: StoreRegistry,
    pub machines: BTreeMap<StoreName, Machine>,
    /// Views of the gateways.
    pub gateways: Vec<StoreView>,
    pub random: Random,
    /// True if no message is lost or late.
    pub is_network_sound: bool,
    limits: StoreLimits,
    planner: StorePlanner,
    presence: PresenceTable,
    leads_since: u64,
    /// Commands that are not applied yet, with the step at which they are.
    log: VecDeque<(u64, StoreCommand)>,
    late: Vec<LateRequest>,
    /// Messages of the hand-over, with their senders.
    outgoing: Vec<(StoreName, Output)>,
    incarnations: u64,
}

impl Cluster {
    pub fn new(seed: u64, tolerated_losses: usize, stores: usize, gateways: usize) -> Self {
        let replication = Replication::surviving(tolerated_losses);
        let mut cluster = Self {
            step: 0,
            replication,
            registry: StoreRegistry::default(),
            machines: BTreeMap::new(),
            gateways: vec![StoreView::default(); gateways],
            random: Random::new(seed),
            is_network_sound: false,
            limits: StoreLimits {
                copies: replication.copies(),
                tolerated_losses,
                store_timeout: Duration::from_secs(2),
                abandon_timeout: Duration::from_secs(600),
            },
            planner: StorePlanner::default(),
            presence: PresenceTable::default(),
            leads_since: 0,
            log: VecDeque::new(),
            late: Vec::new(),
            outgoing: Vec::new(),
            incarnations: 0,
        };
        for number in 0..stores {
            cluster.add_machine(&format!("s{number}"));
        }
        cluster
    }

    pub fn now(&self) -> Timestamp {
        Timestamp::from_millis(1_000_000 + self.step * STEP.as_millis() as u64)
    }

    pub fn add_machine(&mut self, name: &str) {
        let machine = Machine::new(MemoryDisk::default(), self.step);
        self.machines.insert(StoreName(name.to_owned()), machine);
    }

    /// Stops the process of a store for some steps.
    pub fn stop(&mut self, name: &StoreName, steps: u64) {
        let step = self.step;
        let machine = self.machines.get_mut(name).expect("the machine exists");
        if let Some(node) = machine.node.take() {
            machine.disk = node.into_disk();
        }
        machine.starts_at = step + steps;
    }

    /// Empties the disk of a store that was stopped.
    pub fn wipe(&mut self, name: &StoreName) {
        let machine = self.machines.get_mut(name).expect("the machine exists");
        assert!(machine.node.is_none(), "the store still runs");
        machine.disk = MemoryDisk::default();
        machine.incarnation = None;
    }

    /// Another member becomes the leader. It knows the log, but has no reports.
    pub fn change_leader(&mut self) {
        self.presence = PresenceTable::default();
        self.leads_since = self.step;
    }

    pub fn propose(&mut self, command: StoreCommand) {
        let last = self.log.back().map_or(0, |(step, _)| *step);
        let applied_at = self.step + self.random.between(0, 3);
        self.log.push_back((applied_at.max(last), command));
    }

    /// Runs one step of 100 ms.
    pub fn advance(&mut self) {
        self.step += 1;
        self.start_machines();
        self.apply_log();
        self.spread_views();
        self.report();
        if self.step.is_multiple_of(2) && self.log.is_empty() {
            self.plan();
        }
        self.deliver_late();
        self.exchange_hand_overs();
    }

    fn start_machines(&mut self) {
        let (step, now) = (self.step, self.now());
        for (name, machine) in &mut self.machines {
            if machine.node.is_none() && machine.starts_at <= step {
                self.incarnations += 1;
                let config = StoreConfig {
                    name: name.clone(),
                    replication: self.replication,
                    wal: WalConfig {
                        segment_bytes: 1 << 16,
                    },
                    quota_tolerance: Tolerance {
                        window: Duration::from_secs(5),
                        overage: 0.0,
                        slack: 0.0,
                    },
                };
                let disk = std::mem::take(&mut machine.disk);
                let node = StoreNode::start(config, disk, self.incarnations, now);
                let node = node.expect("the store starts");
                machine.incarnation = Some(node.incarnation());
                machine.node = Some(node);
            }
            if let Some(node) = &mut machine.node {
                node.disk_mut().set_full(machine.full_until > step);
            }
        }
    }

    fn apply_log(&mut self) {
        while let Some((step, command)) = self.log.front() {
            if *step > self.step {
                break;
            }
            self.registry.apply(command);
            self.log.pop_front();
        }
    }

    /// Sends the current view to some of the stores and gateways.
    fn spread_views(&mut self) {
        let (step, now) = (self.step, self.now());
        let view = self.registry.view();
        for machine in self.machines.values_mut() {
            if machine.is_reachable(step)
                && !self.random.one_in(3)
                && let Some(node) = &mut machine.node
            {
                node.set_view(view.clone(), now);
            }
        }
        for gateway in &mut self.gateways {
            if gateway.epoch < view.epoch && self.random.one_in(4) {
                *gateway = view.clone();
            }
        }
    }

    fn report(&mut self) {
        let (step, now) = (self.step, self.now());
        self.presence.expire(now, FORGET_TIMEOUT);
        for (name, machine) in &self.machines {
            let Some(node) = machine.node.as_ref().filter(|_| machine.is_reachable(step)) else {
                continue;
            };
            let presence = Presence {
                name: name.0.clone(),
                zone: "z".to_owned(),
                role: Role::Store(StorePresence {
                    address: address_of(name),
                    incarnation: node.incarnation(),
                    founding: step < 5,
                    handed_over_epoch: node.handed_over_epoch(),
                }),
            };
            self.presence.note(presence, true, now);
        }
    }

    fn plan(&mut self) {
        let situation = StoreSituation {
            registry: &self.registry,
            presence: &self.presence,
            hosts_member: &|_| false,
            leads_since: Timestamp::from_millis(
                1_000_000 + self.leads_since * STEP.as_millis() as u64,
            ),
            now: self.now(),
        };
        for command in self.planner.commands(&situation, &self.limits) {
            self.propose(command);
        }
    }

    /// Sends a request to a store; `None` if no response arrives. The request may arrive all the
    /// same, now or later.
    pub fn send(
        &mut self,
        to: &StoreName,
        client_view: Option<ClientView>,
        request: StoreRequest,
    ) -> Option<StoreResponse> {
        if self.is_network_sound {
            let answer = self.send_checked(to, client_view, None, request);
            return answer.map(|(response, _)| response);
        }
        if self.random.one_in(12) {
            let arrives_at = self.step + self.random.between(1, 20);
            let to = to.clone();
            self.late.push(LateRequest {
                arrives_at,
                to,
                client_view,
                check: None,
                request,
            });
            return None;
        }
        let response = self.deliver(to, client_view, None, request);
        let response = response.map(|(response, _)| response);
        response.filter(|_| !self.random.one_in(20))
    }

    /// Sends a request that may have a check, over a network that is sound. A store that is frozen gets
    /// it once it wakes.
    pub fn send_checked(
        &mut self,
        to: &StoreName,
        client_view: Option<ClientView>,
        check: Option<KeepCheck>,
        request: StoreRequest,
    ) -> Option<(StoreResponse, KeepReport)> {
        assert!(self.is_network_sound, "messages may be lost");
        let wakes_at = self
            .machines
            .get(to)
            .map_or(0, |machine| machine.frozen_until);
        if wakes_at > self.step {
            self.late.push(LateRequest {
                arrives_at: wakes_at,
                to: to.clone(),
                client_view,
                check,
                request,
            });
            return None;
        }
        self.deliver(to, client_view, check, request)
    }

    fn deliver(
        &mut self,
        to: &StoreName,
        client_view: Option<ClientView>,
        check: Option<KeepCheck>,
        request: StoreRequest,
    ) -> Option<(StoreResponse, KeepReport)> {
        let (step, now) = (self.step, self.now());
        let machine = self.machines.get_mut(to)?;
        if !machine.is_reachable(step) {
            return None;
        }
        let node = machine.node.as_mut()?;
        let token = RequestToken {
            client: 1,
            request: 1,
        };
        let refusal = node.handle_checked(client_view, check, token, request, now);
        if refusal.is_some() {
            return None;
        }
        let mut reply = None;
        for output in node.flush() {
            match output {
                Output::Reply {
                    response, report, ..
                } => reply = Some((*response, report.map(|report| *report).unwrap_or_default())),
                Output::HandOver { .. } => self.outgoing.push((to.clone(), output)),
            }
        }
        reply
    }

    fn deliver_late(&mut self) {
        let step = self.step;
        let (due, late) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|message| message.arrives_at <= step);
        self.late = late;
        let due: Vec<LateRequest> = due;
        for message in due {
            self.deliver(
                &message.to,
                message.client_view,
                message.check,
                message.request,
            );
        }
    }

    fn exchange_hand_overs(&mut self) {
        let (step, now) = (self.step, self.now());
        for (name, machine) in &mut self.machines {
            let is_reachable = machine.is_reachable(step);
            if let Some(node) = machine.node.as_mut().filter(|_| is_reachable) {
                node.tick(now);
                let outputs = node.flush().into_iter();
                self.outgoing
                    .extend(outputs.map(|output| (name.clone(), output)));
            }
        }
        for (from, output) in std::mem::take(&mut self.outgoing) {
            if let Output::HandOver {
                to,
                number,
                request,
            } = output
            {
                self.hand_over(&from, &to, number, *request, now);
            }
        }
    }

    fn hand_over(
        &mut self,
        from: &StoreName,
        to: &StoreName,
        number: u64,
        request: StoreRequest,
        now: Timestamp,
    ) {
        let response = self.send(to, None, request);
        let sender = self.machines.get_mut(from);
        if response == Some(StoreResponse::Done)
            && let Some(node) = sender.and_then(|machine| machine.node.as_mut())
        {
            node.on_hand_over_acknowledged(to, number, now);
        }
    }

    /// Returns the stores that the registry lists with a state.
    pub fn stores_in(&self, state: StoreState) -> Vec<StoreName> {
        let members = self.registry.view().members.iter();
        let members = members.filter(|(_, member)| member.state == state);
        members.map(|(name, _)| name.clone()).collect()
    }

    /// Returns true if all proposed commands are applied.
    pub fn has_applied_all(&self) -> bool {
        self.log.is_empty()
    }

    /// Returns true if no log entry, fill or takeover is outstanding after the loss of a disk.
    pub fn has_replaced_disk(&self, name: &StoreName) -> bool {
        let view = self.registry.view();
        let settled = view.settled_stores();
        let is_filled = match self.machines.get(name) {
            Some(machine) => machine
                .incarnation
                .is_some_and(|incarnation| view.is_authoritative(name, incarnation)),
            None => !settled.0.contains_key(name),
        };
        is_filled && *settled == view.next_settled_stores() && self.log.is_empty()
    }

    /// Returns true if the configuration is settled and every running store is active in it.
    pub fn is_at_rest(&self) -> bool {
        let view = self.registry.view();
        let active = self.stores_in(StoreState::Active);
        let retired =
            |name: &StoreName| self.registry.retirement(name) == Some(RetireState::Completed);
        let running = self.machines.keys().filter(|name| !retired(name));
        active.len() == view.members.len()
            && running.eq(active.iter())
            && *view.settled_stores() == view.next_settled_stores()
    }
}

/// Address of the machine with this name. It stays the same for its life.
fn address_of(name: &StoreName) -> SocketAddr {
    let sum: u32 = name.0.bytes().map(u32::from).sum();
    let port = u16::try_from(sum).expect("short names");
    SocketAddr::from(([127, 0, 0, 1], port))
}
