//! Faults of a run and the count of those that really happened.

use crate::trace::{FaultEvent, FaultKind, FaultTarget};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// What goes wrong in a simulated run: more than a trace can ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SimFaultKind {
    /// The process dies; its connections are reset.
    Crash,
    /// The machine loses power in the middle of a write; connections go silent.
    TornCrash,
    /// The machine's disk is lost with it; it comes back empty and is repaired.
    DiskLoss,
    /// The process is stopped as planned and started again.
    Restart,
    /// The process does nothing for a while, then goes on.
    Hang,
    /// Nothing gets in or out.
    Partition,
    /// Nothing gets out, things get in.
    OneWayPartition,
    /// Every cut and slowness ends.
    Heal,
    /// An engine works slower; a control member's disk is slower.
    Slow,
    /// The platform takes an engine away.
    Leave,
    /// An engine's events are lost.
    DropEvents,
    /// The region of the target and the others lose each other.
    RegionCut,
}

impl SimFaultKind {
    /// The kind as reports name it.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Crash => "crash",
            Self::TornCrash => "torn_crash",
            Self::DiskLoss => "disk_loss",
            Self::Restart => "restart",
            Self::Hang => "hang",
            Self::Partition => "partition",
            Self::OneWayPartition => "one_way_partition",
            Self::Heal => "heal",
            Self::Slow => "slow",
            Self::Leave => "leave",
            Self::DropEvents => "drop_events",
            Self::RegionCut => "region_cut",
        }
    }
}

impl SimFaultKind {
    /// Whether the platform or the operators bring it about on purpose.
    #[must_use]
    pub const fn is_planned(self) -> bool {
        matches!(self, Self::Restart | Self::Leave | Self::Heal)
    }
}

impl From<FaultKind> for SimFaultKind {
    fn from(kind: FaultKind) -> Self {
        match kind {
            FaultKind::Crash => Self::Crash,
            FaultKind::Restart => Self::Restart,
            FaultKind::Hang => Self::Hang,
            FaultKind::Partition => Self::Partition,
            FaultKind::Heal => Self::Heal,
            FaultKind::Slow => Self::Slow,
            FaultKind::Leave => Self::Leave,
            FaultKind::DropEvents => Self::DropEvents,
        }
    }
}

/// Whom a fault hits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SimTarget {
    /// A process or zone by its name.
    Named(FaultTarget),
    /// The control member that leads this group when the fault begins.
    Leader(u32),
}

impl From<FaultTarget> for SimTarget {
    fn from(target: FaultTarget) -> Self {
        Self::Named(target)
    }
}

/// One fault of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SimFault {
    /// When, from the start of the trace.
    pub at: Duration,
    /// What.
    pub kind: SimFaultKind,
    /// To whom.
    pub target: SimTarget,
    /// For how long; to the end of the trace when absent.
    pub length: Option<Duration>,
}

impl From<&FaultEvent> for SimFault {
    fn from(event: &FaultEvent) -> Self {
        Self {
            at: Duration::from_millis(event.at_ms),
            kind: event.kind.into(),
            target: event.target.clone().into(),
            length: event.for_ms.map(Duration::from_millis),
        }
    }
}

/// Faults that really happened: those that hit something.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FaultCounts {
    /// Faults by kind.
    pub by_kind: BTreeMap<SimFaultKind, u64>,
    /// Messages that a cut stopped.
    pub cut_messages: u64,
    /// Messages lost.
    pub lost_messages: u64,
    /// Messages that came twice.
    pub doubled_messages: u64,
    /// Messages that were overtaken.
    pub late_messages: u64,
    /// Writes that a crash tore or lost.
    pub torn_writes: u64,
}

impl FaultCounts {
    pub(crate) fn note(&mut self, kind: SimFaultKind) {
        *self.by_kind.entry(kind).or_default() += 1;
    }

    /// Adds another run's.
    pub fn add(&mut self, other: &Self) {
        for (kind, count) in &other.by_kind {
            *self.by_kind.entry(*kind).or_default() += count;
        }
        self.cut_messages += other.cut_messages;
        self.lost_messages += other.lost_messages;
        self.doubled_messages += other.doubled_messages;
        self.late_messages += other.late_messages;
        self.torn_writes += other.torn_writes;
    }
}
