//! Bringing faults about, and ending them.

use crate::sim::faults::{SimFault, SimFaultKind, SimTarget};
use crate::sim::message::SimEvent;
use crate::sim::network::{CutDirection, Side};
use crate::sim::node::Node;
use crate::sim::world::World;
use crate::trace::FaultTarget;
use luglink_types::GroupId;
use std::time::Duration;

/// A slow engine is slower by this factor.
const SLOW_ENGINE_FACTOR: u32 = 8;

/// Time that a process is down when it is stopped and started again.
pub(crate) const RESTART_TIME: Duration = Duration::from_millis(500);

/// Time that a machine is down whose fault names no time.
const DEFAULT_DOWN_TIME: Duration = Duration::from_secs(2);

impl World {
    /// The processes that a target names.
    fn targets(&self, target: &SimTarget) -> Vec<Node> {
        match target {
            SimTarget::Named(target) => self.named(target),
            SimTarget::Leader(group) => self.leading_member(*group).into_iter().collect(),
        }
    }

    fn leading_member(&self, group: u32) -> Option<Node> {
        let group = GroupId(group);
        let leads = |member: &usize| {
            let node = self.control[*member].node.as_ref();
            node.is_some_and(|node| node.leads(group))
        };
        (0..self.control.len()).find(leads).map(Node::Control)
    }

    fn named(&self, target: &FaultTarget) -> Vec<Node> {
        match target {
            FaultTarget::Daemon(index) if *index < self.daemons.len() => vec![Node::Daemon(*index)],
            FaultTarget::Control(index) if *index < self.control.len() => {
                vec![Node::Control(*index)]
            }
            FaultTarget::Engine(index) if *index < self.engines.len() => vec![Node::Engine(*index)],
            FaultTarget::Zone(name) => self.nodes_of_zone(name),
            _ => Vec::new(),
        }
    }

    fn nodes_of_zone(&self, name: &str) -> Vec<Node> {
        let Some(zone) = self.config.topology.zone_named(name) else {
            return Vec::new();
        };
        let control = (0..self.control.len()).map(Node::Control);
        let daemons = (0..self.daemons.len()).map(Node::Daemon);
        let engines = (0..self.engines.len()).map(Node::Engine);
        control
            .chain(daemons)
            .chain(engines)
            .filter(|node| self.network.zone_of(*node) == zone)
            .collect()
    }

    pub(crate) fn fault(&mut self, number: usize, begins: bool) {
        let mut fault = self.plan.faults[number].clone();
        if begins {
            self.fault_begins(number, &mut fault);
            // Whoever led when the fault began is the one it ends for.
            self.plan.faults[number].target = fault.target;
        } else {
            self.fault_ends(number, &fault);
        }
        self.note_isolations();
    }

    fn fault_begins(&mut self, number: usize, fault: &mut SimFault) {
        self.history.unplanned_faults |= !fault.kind.is_planned();
        if matches!(fault.target, SimTarget::Leader(_))
            && let Some(Node::Control(member)) = self.targets(&fault.target).first()
        {
            fault.target = FaultTarget::Control(*member).into();
        }
        match fault.kind {
            SimFaultKind::Partition | SimFaultKind::OneWayPartition | SimFaultKind::RegionCut => {
                self.cut(number, fault);
            }
            SimFaultKind::Heal => {
                self.network.heal_all();
                self.release_held();
                self.faults.note(fault.kind);
            }
            _ => {
                let silent = matches!(fault.target, SimTarget::Named(FaultTarget::Zone(_)));
                for node in self.targets(&fault.target) {
                    if self.hit(node, fault, silent) {
                        self.faults.note(fault.kind);
                    }
                }
            }
        }
    }

    fn cut(&mut self, number: usize, fault: &SimFault) {
        let side = match &fault.target {
            SimTarget::Named(FaultTarget::Zone(name)) => {
                self.config.topology.zone_named(name).map(|zone| {
                    if fault.kind == SimFaultKind::RegionCut {
                        Side::Region(self.config.topology.zones[zone].region)
                    } else {
                        Side::Zone(zone)
                    }
                })
            }
            target => self.targets(target).first().copied().map(Side::Node),
        };
        let direction = if fault.kind == SimFaultKind::OneWayPartition {
            CutDirection::Outward
        } else {
            CutDirection::Both
        };
        if let Some(side) = side {
            self.network.cut(number, side, direction);
            self.faults.note(fault.kind);
        }
    }

    /// Lets a fault hit one process. Returns whether it made a difference.
    fn hit(&mut self, node: Node, fault: &SimFault, silent: bool) -> bool {
        match node {
            Node::Daemon(daemon) => self.hit_daemon(daemon, fault.kind, silent),
            Node::Control(member) => self.hit_control(member, fault),
            Node::Engine(engine) => self.hit_engine(engine, fault.kind, silent),
            _ => false,
        }
    }

    fn hit_daemon(&mut self, daemon: usize, kind: SimFaultKind, silent: bool) -> bool {
        if self.daemons[daemon].logic.is_none() {
            return false;
        }
        match kind {
            // A stopped process takes no signal.
            SimFaultKind::Restart if self.daemons[daemon].hung.is_some() => return false,
            SimFaultKind::Restart => self.begin_daemon_stop(daemon),
            SimFaultKind::Hang => {
                self.daemons[daemon].hung.get_or_insert_default();
            }
            SimFaultKind::Crash | SimFaultKind::TornCrash | SimFaultKind::DiskLoss => {
                self.crash_daemon(daemon, silent, false);
            }
            _ => return false,
        }
        true
    }

    fn hit_control(&mut self, member: usize, fault: &SimFault) -> bool {
        if self.control[member].node.is_none() {
            return false;
        }
        match fault.kind {
            SimFaultKind::Restart if self.control[member].hung.is_some() => return false,
            SimFaultKind::Restart => self.begin_control_stop(member),
            SimFaultKind::Hang => {
                self.control[member].hung.get_or_insert_default();
            }
            SimFaultKind::Slow => self.control[member].slow = true,
            SimFaultKind::Crash => self.crash_control(member),
            SimFaultKind::TornCrash => self.tear_next_write(member),
            SimFaultKind::DiskLoss => {
                self.lose_control_disk(member);
                let process = self.control[member].process;
                let node = Node::Control(member);
                let down = fault.length.unwrap_or(DEFAULT_DOWN_TIME);
                self.schedule_in(down, SimEvent::Start { node, process });
            }
            _ => return false,
        }
        true
    }

    fn hit_engine(&mut self, engine: usize, kind: SimFaultKind, silent: bool) -> bool {
        if self.engines[engine].core.is_none() {
            return false;
        }
        match kind {
            SimFaultKind::Crash | SimFaultKind::TornCrash | SimFaultKind::DiskLoss => {
                self.crash_engine(engine, silent);
            }
            SimFaultKind::Restart => {
                self.crash_engine(engine, false);
                let process = self.engines[engine].process;
                let node = Node::Engine(engine);
                self.schedule_in(RESTART_TIME, SimEvent::Start { node, process });
            }
            SimFaultKind::Hang => {
                self.engines[engine].hung.get_or_insert_default();
            }
            SimFaultKind::Slow => self.slow_engine(engine, SLOW_ENGINE_FACTOR),
            SimFaultKind::Leave => self.engine_leaves(engine, true),
            SimFaultKind::DropEvents => self.engines[engine].drop_events = true,
            _ => return false,
        }
        true
    }

    fn slow_engine(&mut self, engine: usize, factor: u32) {
        if let Some(core) = &mut self.engines[engine].core {
            core.set_slowdown(factor);
        }
    }

    /// The platform takes the engine away, or gives it back.
    fn engine_leaves(&mut self, engine: usize, leaves: bool) {
        if let Some(core) = &mut self.engines[engine].core {
            core.set_draining(leaves);
        }
        let id = crate::sim::engines::engine_id(engine);
        let now = self.now;
        self.history.note_leaving(id, leaves, now);
        self.note_platform_change(id, leaves);
    }

    fn fault_ends(&mut self, number: usize, fault: &SimFault) {
        self.network.heal(number);
        self.release_held();
        for node in self.targets(&fault.target) {
            self.recover(node, fault.kind);
        }
    }

    fn recover(&mut self, node: Node, kind: SimFaultKind) {
        match (node, kind) {
            (Node::Daemon(daemon), SimFaultKind::Hang) => self.thaw_daemon(daemon),
            (Node::Control(member), SimFaultKind::Hang) => self.thaw_control(member),
            (Node::Engine(engine), SimFaultKind::Hang) => self.thaw_engine(engine),
            (Node::Control(member), SimFaultKind::Slow) => self.control[member].slow = false,
            (Node::Control(member), SimFaultKind::TornCrash) => {
                self.forget_tear(member);
                self.start_if_down(node);
            }
            (Node::Engine(engine), SimFaultKind::Slow) => self.slow_engine(engine, 1),
            (Node::Engine(engine), SimFaultKind::Leave) => self.engine_leaves(engine, false),
            (Node::Engine(engine), SimFaultKind::DropEvents) => {
                self.engines[engine].drop_events = false;
            }
            (node, SimFaultKind::Crash | SimFaultKind::TornCrash | SimFaultKind::DiskLoss) => {
                self.start_if_down(node);
            }
            _ => {}
        }
    }

    pub(crate) fn start_if_down(&mut self, node: Node) {
        match node {
            Node::Daemon(daemon) => self.start_daemon(daemon),
            Node::Engine(engine) => self.start_engine(engine),
            Node::Control(member) if self.control[member].node.is_none() => {
                self.start_control(member);
            }
            _ => {}
        }
    }

    /// Ends every fault, so that what is still wrong afterwards is luglink's doing.
    pub(crate) fn end_all_faults(&mut self) {
        self.network.heal_all();
        self.release_held();
        for engine in 0..self.engines.len() {
            self.thaw_engine(engine);
            self.slow_engine(engine, 1);
            self.engines[engine].drop_events = false;
            if self.is_leaving(engine) {
                self.engine_leaves(engine, false);
            }
            self.start_engine(engine);
        }
        for member in 0..self.control.len() {
            self.control[member].slow = false;
            self.forget_tear(member);
            self.thaw_control(member);
            self.start_if_down(Node::Control(member));
        }
        for daemon in 0..self.daemons.len() {
            self.thaw_daemon(daemon);
            self.start_daemon(daemon);
        }
    }
}
