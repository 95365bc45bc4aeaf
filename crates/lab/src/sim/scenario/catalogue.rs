//! The scenarios by name.

use crate::sim::config::SimConfig;
use crate::sim::faults::{SimFault, SimFaultKind, SimTarget};
use crate::sim::network::NetworkConfig;
use crate::sim::scenario::load::{LoadBuilder, LoadShape};
use crate::sim::scenario::small_fleet;
use crate::sim::topology::Topology;
use crate::sim::world::SimPlan;
use crate::sim::world::derive_seed;
use crate::trace::{Deployment, ExpectedRevision, FaultTarget};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

macro_rules! scenarios {
    ($($(#[doc = $doc:literal])* $name:ident => $text:literal, $minimum:literal;)*) => {
        /// Something that goes wrong.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Scenario {
            $($(#[doc = $doc])* $name,)*
        }

        impl Scenario {
            /// Every scenario.
            pub const ALL: &'static [Scenario] = &[$(Self::$name,)*];

            /// The scenario's name.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// What goes wrong, in a sentence.
            #[must_use]
            pub const fn description(self) -> &'static str {
                match self { $(Self::$name => concat!($($doc,)*),)* }
            }

            /// Share of the calls that must be answered in full over many seeds, of those that were not
            /// refused for a spent budget, a passed deadline or an ended program. A fleet that
            /// refuses everything breaks no promise and serves nobody.
            #[must_use]
            pub const fn minimum_served(self) -> f64 {
                match self { $(Self::$name => $minimum,)* }
            }
        }
    };
}

scenarios! {
    /// Daemons die between the turns of their programs.
    DaemonDiesBetweenTurns => "daemon-dies-between-turns", 0.95;
    /// A leader is cut off silently, in one or both directions, while operators go on.
    ControlCutOffLeader => "control-cut-off-leader", 0.95;
    /// A second control machine fails right after the first was repaired with an empty disk.
    SecondFailureAfterRepair => "second-failure-after-repair", 0.95;
    /// Operators change the same things under equal revisions while members die.
    OperatorsRace => "operators-race", 0.95;
    /// Requests and answers of the control members are lost and doubled.
    LostAnswerResend => "lost-answer-resend", 0.95;
    /// Processes come back after hundreds of configuration changes have passed them by.
    RestartHundredsBehind => "restart-hundreds-behind", 0.85;
    /// Tools hang for longer than a program may be idle.
    HungTool => "hung-tool", 0.95;
    /// Programs loop and go on spending beyond their budget.
    EndlessLoop => "endless-loop", 0.80;
    /// Most callers go away without a word.
    AbandonedPrograms => "abandoned-programs", 0.98;
    /// Engines die in the middle of their answers.
    EngineCrashMidStream => "engine-crash-mid-stream", 0.85;
    /// The platform takes engines away while the control members are in trouble.
    LeavingEngine => "leaving-engine", 0.95;
    /// Daemons and control members are stopped as planned under load.
    PlannedStop => "planned-stop", 0.97;
    /// A zone loses its power.
    ZoneLoss => "zone-loss", 0.95;
    /// Two regions lose each other.
    RegionPartition => "region-partition", 0.85;
    /// Daemons and engines hang and are cut off, and answers come late and crossed.
    CrossedLateAnswers => "crossed-late-answers", 0.85;
    /// Calls that must run at most once, with every process dying around them.
    DoubleRatePush => "double-rate-push", 0.90;
    /// Every process is restarted in turn under load.
    RollingRestart => "rolling-restart", 0.97;
    /// Everything at random, several things at once.
    Chaos => "chaos", 0.90;
}

impl std::str::FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.iter().find(|scenario| scenario.as_str() == text);
        found.copied().ok_or_else(|| {
            let names: Vec<&str> = Self::ALL.iter().map(|it| it.as_str()).collect();
            format!("`{text}` is not one of {}", names.join(", "))
        })
    }
}

impl Scenario {
    /// The fleet, the load and the faults of one seed.
    #[must_use]
    pub fn build(self, seed: u64) -> (SimConfig, SimPlan) {
        let mut build = Build::new(self, seed);
        match self {
            Self::DaemonDiesBetweenTurns => build.daemon_dies_between_turns(),
            Self::ControlCutOffLeader => build.control_cut_off_leader(),
            Self::SecondFailureAfterRepair => build.second_failure_after_repair(),
            Self::OperatorsRace => build.operators_race(),
            Self::LostAnswerResend => build.lost_answer_resend(),
            Self::RestartHundredsBehind => build.restart_hundreds_behind(),
            Self::HungTool => build.hung_tool(),
            Self::EndlessLoop => build.endless_loop(),
            Self::AbandonedPrograms => build.abandoned_programs(),
            Self::EngineCrashMidStream => build.engine_crash_mid_stream(),
            Self::LeavingEngine => build.leaving_engine(),
            Self::PlannedStop => build.planned_stop(),
            Self::ZoneLoss => build.zone_loss(),
            Self::RegionPartition => build.region_partition(),
            Self::CrossedLateAnswers => build.crossed_late_answers(),
            Self::DoubleRatePush => build.double_rate_push(),
            Self::RollingRestart => build.rolling_restart(),
            Self::Chaos => build.chaos(),
        }
        build.finish()
    }
}

/// A scenario being put together.
struct Build {
    config: SimConfig,
    random: ChaCha8Rng,
    shape: LoadShape,
    deployments: Vec<Deployment>,
    changes: Vec<(u64, ExpectedRevision)>,
    faults: Vec<SimFault>,
}

impl Build {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let part = 500 + scenario as u64;
        let mut random = ChaCha8Rng::seed_from_u64(derive_seed(seed, part, 0));
        let deployment = if random.random_bool(0.5) {
            Deployment::Kopano
        } else {
            Deployment::Hub
        };
        Self {
            config: small_fleet(deployment, derive_seed(seed, part, 1)),
            random,
            shape: LoadShape::MIXED,
            deployments: vec![deployment],
            changes: Vec::new(),
            faults: Vec::new(),
        }
    }

    fn finish(mut self) -> (SimConfig, SimPlan) {
        let mut plan = SimPlan {
            faults: self.faults,
            ..SimPlan::default()
        };
        let mut events = Vec::new();
        for (place, deployment) in self.deployments.iter().enumerate() {
            let mut load = LoadBuilder::new(*deployment, &mut self.random);
            load.add(&self.shape);
            let own = self.changes.iter().enumerate().filter(|_| place == 0);
            for (number, (at_ms, expected)) in own {
                load.change(number as u64, *at_ms, *expected);
            }
            events.extend(load.events());
        }
        plan.replay = crate::replay::ReplayPlan::new(&events);
        (self.config, plan)
    }

    fn fault(&mut self, kind: SimFaultKind, target: SimTarget, at_ms: u64, for_ms: u64) {
        self.faults.push(SimFault {
            at: Duration::from_millis(at_ms),
            kind,
            target,
            length: Some(Duration::from_millis(for_ms)),
        });
    }

    fn between(&mut self, low: u64, high: u64) -> u64 {
        self.random.random_range(low..=high)
    }

    fn any_daemon(&mut self) -> SimTarget {
        let count = self.config.daemons();
        FaultTarget::Daemon(self.random.random_range(0..count)).into()
    }

    fn any_engine(&mut self) -> SimTarget {
        let count = self.config.all_engines();
        FaultTarget::Engine(self.random.random_range(0..count)).into()
    }

    fn any_control(&mut self) -> SimTarget {
        let count = self.config.control_members;
        FaultTarget::Control(self.random.random_range(0..count)).into()
    }

    fn any_zone(&mut self) -> SimTarget {
        let zones = &self.config.topology.zones;
        let zone = zones[self.random.random_range(0..zones.len())].name.clone();
        FaultTarget::Zone(zone).into()
    }

    fn any_leader(&mut self) -> SimTarget {
        let groups = self.config.program_groups;
        SimTarget::Leader(self.random.random_range(0..=groups))
    }

    /// Changes at random moments.
    fn some_changes(&mut self, count: u64, span_ms: u64) {
        for _ in 0..count {
            let at_ms = self.between(0, span_ms);
            self.changes.push((at_ms, ExpectedRevision::Current));
        }
    }

    fn daemon_dies_between_turns(&mut self) {
        for _ in 0..self.between(3, 6) {
            let target = self.any_daemon();
            let (at, length) = (self.between(500, 14_000), self.between(300, 5_000));
            self.fault(SimFaultKind::Crash, target, at, length);
        }
    }

    fn control_cut_off_leader(&mut self) {
        self.some_changes(6, 14_000);
        for _ in 0..2 {
            let kind = if self.random.random_bool(0.5) {
                SimFaultKind::Partition
            } else {
                SimFaultKind::OneWayPartition
            };
            let target = self.any_leader();
            let (at, length) = (self.between(500, 10_000), self.between(2_000, 20_000));
            self.fault(kind, target, at, length);
        }
    }

    fn second_failure_after_repair(&mut self) {
        self.config.control_members = 3;
        self.some_changes(5, 16_000);
        let first = self.random.random_range(0..3);
        let second = (first + self.random.random_range(1..3)) % 3;
        let at = self.between(500, 5_000);
        let down = self.between(200, 1_500);
        self.fault(
            SimFaultKind::DiskLoss,
            FaultTarget::Control(first).into(),
            at,
            down,
        );
        // The repair takes a few seconds; the second failure comes right after or during it.
        let later = at + down + self.between(300, 6_000);
        let length = self.between(4_000, 9_000);
        self.fault(
            SimFaultKind::TornCrash,
            FaultTarget::Control(second).into(),
            later,
            length,
        );
    }

    fn operators_race(&mut self) {
        for round in 0..6 {
            let at_ms = 400 + round * 1_500;
            for _ in 0..3 {
                let expected = if self.random.random_bool(0.6) {
                    // The fleet's own setup is revision 1; each round can win one more.
                    ExpectedRevision::Exactly(1 + round)
                } else {
                    ExpectedRevision::Current
                };
                let jitter = self.between(0, 4);
                self.changes.push((at_ms + jitter, expected));
            }
        }
        for _ in 0..2 {
            let target = SimTarget::Leader(0);
            let (at, length) = (self.between(300, 9_000), self.between(500, 4_000));
            self.fault(SimFaultKind::Crash, target, at, length);
        }
    }

    fn lost_answer_resend(&mut self) {
        self.config.network = NetworkConfig {
            loss_per_mille: 120,
            duplicate_per_mille: 80,
            late_per_mille: 80,
            lateness: Duration::from_millis(1_500),
        };
        self.some_changes(8, 14_000);
    }

    fn restart_hundreds_behind(&mut self) {
        for number in 0..320 {
            let at_ms = 300 + number * 45;
            self.changes.push((at_ms, ExpectedRevision::Current));
        }
        let daemon = self.any_daemon();
        self.fault(SimFaultKind::Crash, daemon, 400, 15_000);
        let daemon = self.any_daemon();
        self.fault(SimFaultKind::Partition, daemon, 600, 15_000);
        let member = self.any_control();
        self.fault(SimFaultKind::Crash, member, 500, 15_500);
    }

    fn hung_tool(&mut self) {
        self.shape.pause_ms = (100, 45_000);
        self.shape.abandoned_percent = 0;
        let target = self.any_daemon();
        let at = self.between(500, 14_000);
        self.fault(SimFaultKind::Crash, target, at, 1_500);
    }

    fn endless_loop(&mut self) {
        self.shape.programs = 4;
        self.shape.calls = (30, 45);
        self.shape.pause_ms = (0, 150);
        self.shape.budget_calls = Some(6);
        for _ in 0..2 {
            let target = self.any_daemon();
            let at = self.between(500, 10_000);
            self.fault(SimFaultKind::Crash, target, at, 1_000);
        }
    }

    fn abandoned_programs(&mut self) {
        self.shape.abandoned_percent = 80;
        self.shape.parents_percent = 60;
        let target = self.any_engine();
        let at = self.between(500, 10_000);
        self.fault(SimFaultKind::DropEvents, target, at, 8_000);
    }

    fn engine_crash_mid_stream(&mut self) {
        self.shape.output_tokens = (60, 200);
        self.shape.calls = (2, 4);
        for _ in 0..self.between(3, 6) {
            let target = self.any_engine();
            let (at, length) = (self.between(300, 14_000), self.between(200, 4_000));
            let kind = if self.random.random_bool(0.6) {
                SimFaultKind::Crash
            } else {
                SimFaultKind::Hang
            };
            self.fault(kind, target, at, length + 3_000);
        }
    }

    fn leaving_engine(&mut self) {
        for _ in 0..2 {
            let target = self.any_engine();
            let (at, length) = (self.between(300, 9_000), self.between(4_000, 9_000));
            self.fault(SimFaultKind::Leave, target, at, length);
        }
        let target = self.any_leader();
        let (at, length) = (self.between(300, 9_000), self.between(1_000, 6_000));
        self.fault(SimFaultKind::Crash, target, at, length);
    }

    fn planned_stop(&mut self) {
        self.shape.output_tokens = (20, 120);
        self.shape.calls = (2, 4);
        for _ in 0..4 {
            let target = self.any_daemon();
            let at = self.between(300, 14_000);
            self.fault(SimFaultKind::Restart, target, at, 0);
        }
        for _ in 0..2 {
            let target = self.any_leader();
            let at = self.between(300, 14_000);
            self.fault(SimFaultKind::Restart, target, at, 0);
        }
    }

    fn zone_loss(&mut self) {
        let target = self.any_zone();
        let (at, length) = (self.between(500, 8_000), self.between(4_000, 16_000));
        self.fault(SimFaultKind::Crash, target, at, length);
        self.some_changes(3, 14_000);
    }

    fn region_partition(&mut self) {
        self.deployments = vec![Deployment::Kopano, Deployment::Hub];
        self.config.deployments = self.deployments.clone();
        self.config.topology = Topology::both_regions();
        self.config.engines = 3;
        self.config.service_replicas = 2;
        self.shape.programs = 5;
        self.shape.lookups = 8;
        let (at, length) = (self.between(500, 8_000), self.between(4_000, 20_000));
        let target = FaultTarget::Zone("plateau".to_owned()).into();
        self.fault(SimFaultKind::RegionCut, target, at, length);
        self.some_changes(4, 16_000);
    }

    fn crossed_late_answers(&mut self) {
        self.config.network = NetworkConfig::rough();
        self.shape.output_tokens = (10, 60);
        for _ in 0..5 {
            let (target, kind) = match self.random.random_range(0..4) {
                0 => (self.any_daemon(), SimFaultKind::Hang),
                1 => (self.any_engine(), SimFaultKind::Hang),
                2 => (self.any_daemon(), SimFaultKind::Partition),
                _ => (self.any_engine(), SimFaultKind::OneWayPartition),
            };
            let (at, length) = (self.between(300, 12_000), self.between(500, 16_000));
            self.fault(kind, target, at, length);
        }
    }

    fn double_rate_push(&mut self) {
        self.shape.repeatable_percent = 0;
        self.config.network = NetworkConfig::rough();
        for _ in 0..3 {
            let target = self.any_daemon();
            let (at, length) = (self.between(300, 12_000), self.between(200, 2_000));
            self.fault(SimFaultKind::Crash, target, at, length);
            let target = self.any_engine();
            let (at, length) = (self.between(300, 12_000), self.between(200, 2_000));
            self.fault(SimFaultKind::Crash, target, at, length);
        }
        let target = self.any_leader();
        let (at, length) = (self.between(300, 12_000), self.between(1_000, 4_000));
        self.fault(SimFaultKind::TornCrash, target, at, length);
    }

    fn rolling_restart(&mut self) {
        let mut at = 500;
        for daemon in 0..self.config.daemons() {
            let target = FaultTarget::Daemon(daemon).into();
            self.fault(SimFaultKind::Restart, target, at, 0);
            at += self.between(400, 1_500);
        }
        for member in 0..self.config.control_members {
            let target = FaultTarget::Control(member).into();
            self.fault(SimFaultKind::Restart, target, at, 0);
            at += self.between(1_200, 2_500);
        }
        for engine in 0..self.config.all_engines() {
            let target: SimTarget = FaultTarget::Engine(engine).into();
            self.fault(SimFaultKind::Leave, target.clone(), at, 4_000);
            self.fault(SimFaultKind::Restart, target, at + 3_500, 0);
            at += self.between(500, 1_500);
        }
        self.shape.span_ms = 16_000;
    }

    fn chaos(&mut self) {
        if self.random.random_bool(0.5) {
            self.config.network = NetworkConfig::rough();
        }
        self.some_changes(5, 16_000);
        for _ in 0..self.between(5, 11) {
            self.any_fault();
        }
        if self.random.random_bool(0.2) {
            let target = self.any_zone();
            let (at, length) = (self.between(500, 14_000), self.between(1_000, 8_000));
            self.fault(SimFaultKind::Crash, target, at, length);
        }
    }

    fn any_fault(&mut self) {
        let (at, length) = (self.between(300, 16_000), self.between(200, 9_000));
        let target = match self.random.random_range(0..4) {
            0 => self.any_daemon(),
            1 => self.any_engine(),
            2 => self.any_control(),
            _ => self.any_leader(),
        };
        let kinds = match &target {
            SimTarget::Named(FaultTarget::Daemon(_)) => DAEMON_FAULTS,
            SimTarget::Named(FaultTarget::Engine(_)) => ENGINE_FAULTS,
            _ => CONTROL_FAULTS,
        };
        let kind = kinds[self.random.random_range(0..kinds.len())];
        self.fault(kind, target, at, length);
    }
}

const DAEMON_FAULTS: &[SimFaultKind] = &[
    SimFaultKind::Crash,
    SimFaultKind::Restart,
    SimFaultKind::Hang,
    SimFaultKind::Partition,
    SimFaultKind::OneWayPartition,
];

const ENGINE_FAULTS: &[SimFaultKind] = &[
    SimFaultKind::Crash,
    SimFaultKind::Hang,
    SimFaultKind::Partition,
    SimFaultKind::OneWayPartition,
    SimFaultKind::Slow,
    SimFaultKind::Leave,
    SimFaultKind::DropEvents,
];

const CONTROL_FAULTS: &[SimFaultKind] = &[
    SimFaultKind::Crash,
    SimFaultKind::TornCrash,
    SimFaultKind::Restart,
    SimFaultKind::Hang,
    SimFaultKind::Partition,
    SimFaultKind::OneWayPartition,
    SimFaultKind::Slow,
];
