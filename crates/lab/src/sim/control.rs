//! Control members in the simulator: the real node over a disk in memory.

use crate::sim::config::SimConfig;
use crate::sim::injection::RESTART_TIME;
use crate::sim::local_clock::LocalClock;
use crate::sim::message::{ControlClientId, Delivery, Message, SimEvent};
use crate::sim::node::Node;
use crate::sim::world::{World, derive_seed};
use luglink_control::{
    ControlConfig, ControlError, ControlNode, Input, Output, ReleaseOrder, Request, RequestToken,
};
use luglink_control_server::engine_order;
use luglink_program::{Command, ConfirmRelease};
use luglink_storage::{CrashDamage, MemoryDisk};
use luglink_types::{MemberId, Timestamp};
use rand::Rng;
use std::time::Duration;

/// A slow disk is slower by this factor.
const SLOW_DISK_FACTOR: u32 = 60;

/// Time between the hand-over of leadership and the end of a process that stops as planned.
pub(crate) const HAND_OVER_TIME: Duration = Duration::from_millis(400);

/// One control member.
#[derive(Debug)]
pub(crate) struct ControlProcess {
    pub(crate) node: Option<ControlNode<MemoryDisk>>,
    /// The disk while no process runs on it.
    disk: Option<MemoryDisk>,
    pub(crate) process: u32,
    /// An empty disk may start a new cluster only before the first start.
    bootstrap: bool,
    sync_queued: bool,
    wake_at: Option<Timestamp>,
    clock: LocalClock,
    pub(crate) slow: bool,
    tear_next_write: bool,
    /// What arrives while the process hangs.
    pub(crate) hung: Option<Vec<Delivery>>,
}

impl ControlProcess {
    pub(crate) fn new(config: &SimConfig, random: &mut impl Rng) -> Self {
        Self {
            node: None,
            disk: Some(MemoryDisk::new()),
            process: 0,
            bootstrap: true,
            sync_queued: false,
            wake_at: None,
            clock: LocalClock::new(config.clocks, random),
            slow: false,
            tear_next_write: false,
            hung: None,
        }
    }
}

impl World {
    fn control_config(&self, member: usize) -> ControlConfig {
        let members: Vec<MemberId> = (0..self.config.control_members).map(member_id).collect();
        let mut config = ControlConfig::new(member_id(member), members);
        config.program_groups = self.config.program_groups;
        config.replication = self.config.replication;
        config.raft = self.config.raft.clone();
        config.snapshot_entries = self.config.snapshot_entries;
        config.refund = self.config.refund;
        config.bootstrap = self.control[member].bootstrap;
        config
    }

    pub(crate) fn start_control(&mut self, member: usize) {
        let config = self.control_config(member);
        let local = self.control[member].clock.at(self.now);
        let Some(disk) = self.control[member].disk.take() else {
            return;
        };
        self.control[member].process += 1;
        let process = self.control[member].process;
        let seed = derive_seed(self.config.seed, 10 + member as u64, u64::from(process));
        let kept = disk.clone();
        match ControlNode::start(config, disk, seed, local) {
            Ok(node) => {
                let control = &mut self.control[member];
                control.node = Some(node);
                control.bootstrap = false;
                control.sync_queued = false;
                control.wake_at = None;
                self.after_control_input(member);
            }
            Err(error) => {
                self.control[member].disk = Some(kept);
                self.problems
                    .push(format!("control/{member} did not start: {error}"));
            }
        }
    }

    /// Ends the process at once. What the node was told and has not synced is gone.
    pub(crate) fn crash_control(&mut self, member: usize) {
        self.end_control(member, CrashDamage::LoseUnsynced);
    }

    fn end_control(&mut self, member: usize, damage: CrashDamage) {
        let control = &mut self.control[member];
        let Some(node) = control.node.take() else {
            return;
        };
        let mut disk = node.into_disk();
        disk.crash(damage);
        control.disk = Some(disk);
        control.hung = None;
        control.tear_next_write = false;
    }

    /// Power fails in the middle of the next write: some of it reaches the disk.
    pub(crate) fn tear_next_write(&mut self, member: usize) {
        self.control[member].tear_next_write = true;
        if let Some(node) = &mut self.control[member].node {
            node.disk_mut().set_sync_fails(true);
        }
    }

    /// The write that was to be torn did not come.
    pub(crate) fn forget_tear(&mut self, member: usize) {
        self.control[member].tear_next_write = false;
        if let Some(node) = &mut self.control[member].node {
            node.disk_mut().set_sync_fails(false);
        }
    }

    fn write_torn(&mut self, member: usize) {
        self.faults.torn_writes += 1;
        let kept_per_mille = self.random.random_range(0..=1_000);
        self.end_control(member, CrashDamage::TearUnsynced { kept_per_mille });
    }

    /// The machine and its disk are lost: it comes back with an empty one.
    pub(crate) fn lose_control_disk(&mut self, member: usize) {
        self.crash_control(member);
        self.control[member].disk = Some(MemoryDisk::new());
    }

    /// Begins a planned stop: leadership goes to others first.
    pub(crate) fn begin_control_stop(&mut self, member: usize) {
        let token = own_token();
        self.control_input(
            member,
            Input::Request {
                token,
                request: Box::new(Request::TransferLeadership),
            },
        );
        let process = self.control[member].process;
        self.schedule_in(HAND_OVER_TIME, SimEvent::StopControl { member, process });
    }

    pub(crate) fn stop_control(&mut self, member: usize, process: u32) {
        if self.control[member].process == process && self.control[member].node.is_some() {
            self.crash_control(member);
            let node = Node::Control(member);
            self.schedule_in(RESTART_TIME, SimEvent::Start { node, process });
        }
    }

    pub(crate) fn deliver_to_control(&mut self, member: usize, delivery: Delivery) {
        let control = &mut self.control[member];
        if control.node.is_none() {
            return;
        }
        if let Some(waiting) = &mut control.hung {
            waiting.push(delivery);
            return;
        }
        match delivery.message {
            Message::Peer { group, envelope } => {
                self.control_input(member, Input::Peer { group, envelope });
            }
            Message::ControlRequest {
                client,
                request,
                body,
            } => {
                let token = RequestToken {
                    client: client.0,
                    request,
                };
                let request = body;
                self.control_input(member, Input::Request { token, request });
            }
            Message::Ordered { answer, confirm } => {
                let done = answer == luglink_engine_api::OrderResponse::Done;
                if done && delivery.process == control.process {
                    self.confirm_release(member, confirm);
                }
            }
            _ => {}
        }
    }

    fn confirm_release(&mut self, member: usize, confirm: ConfirmRelease) {
        let request = Request::Program(Command::ConfirmRelease(confirm));
        self.control_input(
            member,
            Input::Request {
                token: own_token(),
                request: Box::new(request),
            },
        );
    }

    pub(crate) fn control_input(&mut self, member: usize, input: Input) {
        let control = &mut self.control[member];
        let local = control.clock.at(self.now);
        let Some(node) = &mut control.node else {
            return;
        };
        let result = node.handle(input, local);
        self.control_failed(member, result);
        self.after_control_input(member);
    }

    fn control_failed(&mut self, member: usize, result: Result<(), ControlError>) {
        if let Err(error) = result {
            self.problems.push(format!("control/{member}: {error}"));
            self.crash_control(member);
        }
    }

    pub(crate) fn wake_control(&mut self, member: usize, process: u32, at: Timestamp) {
        let control = &mut self.control[member];
        if control.process != process || control.wake_at != Some(at) {
            return;
        }
        control.wake_at = None;
        if control.hung.is_some() {
            return;
        }
        let local = control.clock.at(self.now);
        let Some(node) = &mut control.node else {
            return;
        };
        let result = node.tick(local);
        self.control_failed(member, result);
        self.after_control_input(member);
    }

    /// Queues the sync of everything that the node has been told, and its next timer.
    fn after_control_input(&mut self, member: usize) {
        let sync_time = self.sync_time(member);
        let control = &mut self.control[member];
        let process = control.process;
        if control.node.is_some() && !control.sync_queued {
            control.sync_queued = true;
            self.schedule_in(sync_time, SimEvent::Synced { member, process });
        }
        self.rearm_control(member);
    }

    fn sync_time(&self, member: usize) -> Duration {
        if self.control[member].slow {
            self.config.sync_time * SLOW_DISK_FACTOR
        } else {
            self.config.sync_time
        }
    }

    /// One sync makes everything durable that came in since the last.
    pub(crate) fn synced(&mut self, member: usize, process: u32) {
        let control = &mut self.control[member];
        if control.process != process || control.hung.is_some() {
            return;
        }
        control.sync_queued = false;
        let Some(node) = &mut control.node else {
            return;
        };
        match node.flush() {
            Ok(outputs) => {
                for output in outputs {
                    self.control_output(member, output);
                }
                self.rearm_control(member);
            }
            Err(_) if control.tear_next_write => self.write_torn(member),
            Err(error) => self.control_failed(member, Err(error)),
        }
    }

    /// Sets the timer to the node's next deadline.
    fn rearm_control(&mut self, member: usize) {
        let control = &mut self.control[member];
        let process = control.process;
        let Some(node) = &control.node else {
            return;
        };
        let deadline = control.clock.when(node.next_deadline());
        let at = deadline.max(self.now.plus(Duration::from_micros(1)));
        if control.wake_at.is_none_or(|wake| at < wake) {
            control.wake_at = Some(at);
            let node = Node::Control(member);
            self.schedule(at, SimEvent::Wake { node, process, at });
        }
    }

    fn control_output(&mut self, member: usize, output: Output) {
        let from = Node::Control(member);
        match output {
            Output::Peer { group, envelope } => {
                let to = Node::Control(member_index(envelope.to.member));
                self.send(from, to, Message::Peer { group, envelope });
            }
            Output::Reply {
                token, response, ..
            } => {
                let client = ControlClientId(token.client);
                let delivery = Message::ControlResponse {
                    request: token.request,
                    body: response,
                };
                self.send_to_client(from, client, delivery);
            }
            Output::Release(order) => self.order_release(member, order),
        }
    }

    /// A response belongs to the connection of one process of the client.
    fn send_to_client(&mut self, from: Node, client: ControlClientId, message: Message) {
        let Some(to) = client.node() else {
            return;
        };
        if let Node::Daemon(daemon) = to
            && self.daemons[daemon].process != client.process()
        {
            return;
        }
        self.send(from, to, message);
    }

    fn order_release(&mut self, member: usize, order: ReleaseOrder) {
        let confirm = ConfirmRelease {
            program: order.program,
            engine: order.engine,
        };
        if order.address.is_none() {
            return self.confirm_release(member, confirm);
        }
        let engine = order.engine.0 as usize;
        let message = Message::Order {
            order: Box::new(engine_order(&order)),
            confirm,
        };
        self.send(Node::Control(member), Node::Engine(engine), message);
    }

    /// The process goes on after a hang: everything that waited comes at once.
    pub(crate) fn thaw_control(&mut self, member: usize) {
        let Some(waiting) = self.control[member].hung.take() else {
            return;
        };
        self.control[member].sync_queued = false;
        self.control[member].wake_at = None;
        for delivery in waiting {
            self.deliver_to_control(member, delivery);
        }
        self.after_control_input(member);
    }
}

fn own_token() -> RequestToken {
    RequestToken {
        client: ControlClientId::OWN.0,
        request: 0,
    }
}

pub(crate) fn member_id(index: usize) -> MemberId {
    MemberId(u32::try_from(index).unwrap_or(u32::MAX) + 1)
}

pub(crate) fn member_index(member: MemberId) -> usize {
    member.0.saturating_sub(1) as usize
}
