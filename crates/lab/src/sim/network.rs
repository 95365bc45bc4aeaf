//! The network: latency, loss, doubling, overtaking and cuts.

use crate::sim::config::SimConfig;
use crate::sim::faults::FaultCounts;
use crate::sim::node::Node;
use crate::sim::topology::Topology;
use luglink_types::Timestamp;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::time::Duration;

/// How bad the network is when nothing is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NetworkConfig {
    /// Unordered messages that are lost, in thousandths.
    pub loss_per_mille: u32,
    /// Unordered messages that arrive twice, in thousandths.
    pub duplicate_per_mille: u32,
    /// Unordered messages that are late, in thousandths.
    pub late_per_mille: u32,
    /// How late they are at the most.
    pub lateness: Duration,
}

impl NetworkConfig {
    /// A network that loses nothing.
    #[must_use]
    pub const fn calm() -> Self {
        Self {
            loss_per_mille: 0,
            duplicate_per_mille: 0,
            late_per_mille: 0,
            lateness: Duration::ZERO,
        }
    }

    /// A network that loses, doubles and delays.
    #[must_use]
    pub const fn rough() -> Self {
        Self {
            loss_per_mille: 15,
            duplicate_per_mille: 15,
            late_per_mille: 20,
            lateness: Duration::from_millis(400),
        }
    }
}

/// Nodes on one side of a cut.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    /// One node.
    Node(Node),
    /// Everything in a zone.
    Zone(usize),
    /// Everything in a region.
    Region(usize),
}

/// Which directions are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CutDirection {
    /// Nothing gets in or out.
    Both,
    /// Nothing gets out, but things get in.
    Outward,
}

/// A cut between a side and everything else.
#[derive(Clone, Debug)]
struct Cut {
    name: usize,
    side: Side,
    direction: CutDirection,
}

/// What the network does with a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Transmission {
    /// It arrives at these times.
    Arrives(Vec<Timestamp>),
    /// It waits for the end of a cut.
    Held,
    /// It is gone.
    Lost,
}

/// The network of one run.
#[derive(Debug)]
pub(crate) struct Network {
    topology: Topology,
    config: NetworkConfig,
    random: ChaCha8Rng,
    cuts: Vec<Cut>,
    last_arrival: HashMap<(Node, Node), Timestamp>,
    control_members: usize,
    engines: usize,
    service_replicas: usize,
}

/// Largest part of the latency that varies, in hundredths.
const JITTER_PERCENT: u64 = 20;

impl Network {
    pub(crate) fn new(fleet: &SimConfig, seed: u64) -> Self {
        Self {
            topology: fleet.topology.clone(),
            config: fleet.network,
            random: ChaCha8Rng::seed_from_u64(seed),
            cuts: Vec::new(),
            last_arrival: HashMap::new(),
            control_members: fleet.control_members,
            engines: fleet.engines,
            service_replicas: fleet.service_replicas,
        }
    }

    /// The zone of a node. Operators sit in the first zone.
    pub(crate) fn zone_of(&self, node: Node) -> usize {
        match node {
            Node::Control(index) => self.control_zone(index),
            Node::Daemon(index) => self.topology.zone_of(index),
            Node::Engine(index) => self.region_zone(index, self.engines),
            Node::Service(index) => self.region_zone(index, self.service_replicas),
            Node::Callers(zone) => zone,
            Node::Operators => 0,
        }
    }

    /// A deployment's replicas stand in the zones of its own region.
    fn region_zone(&self, index: usize, replicas: usize) -> usize {
        let deployment = index / replicas.max(1);
        let zones = self.topology.zones.iter().enumerate();
        let own: Vec<usize> = zones
            .filter(|(_, zone)| zone.region == deployment)
            .map(|(place, _)| place)
            .collect();
        if own.is_empty() {
            return self.topology.zone_of(index);
        }
        own[index % own.len()]
    }

    /// Control members are spread over all zones, so that no zone holds a majority of them.
    fn control_zone(&self, index: usize) -> usize {
        let zones = self.topology.zones.len();
        if self.control_members < zones {
            index * zones / self.control_members
        } else {
            index % zones
        }
    }

    pub(crate) fn region_of(&self, node: Node) -> usize {
        self.topology.zones[self.zone_of(node)].region
    }

    pub(crate) fn cut(&mut self, name: usize, side: Side, direction: CutDirection) {
        self.cuts.push(Cut {
            name,
            side,
            direction,
        });
    }

    /// Ends the cuts of one fault.
    pub(crate) fn heal(&mut self, name: usize) {
        self.cuts.retain(|cut| cut.name != name);
    }

    pub(crate) fn heal_all(&mut self) {
        self.cuts.clear();
        self.config = NetworkConfig::calm();
    }

    pub(crate) fn is_cut(&self, from: Node, to: Node) -> bool {
        self.cuts.iter().any(|cut| {
            let from_inside = self.is_inside(&cut.side, from);
            let to_inside = self.is_inside(&cut.side, to);
            match cut.direction {
                CutDirection::Both => from_inside != to_inside,
                CutDirection::Outward => from_inside && !to_inside,
            }
        })
    }

    /// Whether a node hears nothing of, or says nothing to, the rest of the fleet.
    pub(crate) fn is_isolated(&self, node: Node) -> bool {
        self.cuts.iter().any(|cut| self.is_inside(&cut.side, node))
    }

    fn is_inside(&self, side: &Side, node: Node) -> bool {
        match side {
            Side::Node(cut_off) => *cut_off == node,
            Side::Zone(zone) => self.zone_of(node) == *zone,
            Side::Region(region) => self.region_of(node) == *region,
        }
    }

    pub(crate) fn transmit(
        &mut self,
        now: Timestamp,
        from: Node,
        to: Node,
        ordered: bool,
        counts: &mut FaultCounts,
    ) -> Transmission {
        if self.is_cut(from, to) {
            counts.cut_messages += 1;
            // The kernel of the sender goes on trying: some of it arrives after the cut.
            let held = ordered || self.random.random_bool(0.5);
            return if held {
                Transmission::Held
            } else {
                Transmission::Lost
            };
        }
        let latency = self.latency(from, to);
        if ordered {
            return Transmission::Arrives(vec![self.in_order(from, to, now.plus(latency))]);
        }
        if self.draw(self.config.loss_per_mille) {
            counts.lost_messages += 1;
            return Transmission::Lost;
        }
        let mut arrivals = vec![now.plus(latency)];
        if self.draw(self.config.late_per_mille) {
            counts.late_messages += 1;
            arrivals[0] = arrivals[0].plus(self.lateness());
        }
        if self.draw(self.config.duplicate_per_mille) {
            counts.doubled_messages += 1;
            let second = now.plus(latency).plus(self.lateness());
            arrivals.push(second);
        }
        Transmission::Arrives(arrivals)
    }

    fn latency(&mut self, from: Node, to: Node) -> Duration {
        let is_client = |node| matches!(node, Node::Callers(_));
        let between = self.topology.between(self.zone_of(from), self.zone_of(to));
        let latency = if is_client(from) || is_client(to) {
            between + self.topology.to_client
        } else {
            between
        };
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX / 100);
        let jitter = self.random.random_range(0..=micros * JITTER_PERCENT / 100);
        Duration::from_micros(micros + jitter)
    }

    fn in_order(&mut self, from: Node, to: Node, arrival: Timestamp) -> Timestamp {
        let last = self.last_arrival.entry((from, to)).or_default();
        *last = arrival.max(last.plus(Duration::from_micros(1)));
        *last
    }

    fn draw(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.random.random_range(0..1_000) < per_mille
    }

    fn lateness(&mut self) -> Duration {
        let most = u64::try_from(self.config.lateness.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(self.random.random_range(0..=most))
    }
}
