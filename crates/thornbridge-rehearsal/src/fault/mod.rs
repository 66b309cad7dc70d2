//! The faults that a rehearsal can cause, and when each begins and ends.

mod schedule;

pub use schedule::{FaultSchedule, FaultWindow};

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::fmt;
use std::str::FromStr;

/// A fault. Its shape is told on each variant; windows are told as shares of the duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// One server in eight: a tenth of its sub-requests takes ten times as long.
    Straggler,
    /// One server in eight vanishes without a word, and returns at the end of the window.
    ReplicaLoss,
    /// A new snapshot of each service on a layout of half as many shards again, brought in as
    /// with [`Fault::SnapshotChange`].
    Repartition,
    /// A new snapshot reaches the servers one by one, a bundle brings it in, a later one takes
    /// the old snapshot out, and the servers drop it.
    SnapshotChange,
    /// The platform's store does not answer.
    StoreDown,
    /// Each answer of the store takes 3 s.
    StoreSlow,
    /// Half of the store's answers to writes are lost after the write took effect.
    StoreLostAnswer,
    /// The node that holds most leases stops running for 20 s and resumes.
    PausedLease,
    /// Two operators roll out different versions at the same moment.
    OperatorRace,
    /// Automation rolls out a version every second while an operator rolls out another.
    AutomationRace,
    /// Load reports are 3 s old.
    LoadReportLag,
    /// One server in four reports that it has nothing to do.
    LoadReportLie,
    /// A node's process dies, and another run starts at the end of the window.
    NodeCrash,
    /// Half of the nodes, one after the other, are asked to stop and started anew.
    NodeRestart,
    /// A zone loses its power (nodes and servers die) or its network.
    ZoneLoss,
    /// Two regions, or two halves of the zones, do not reach each other.
    RegionSplit,
    /// One message in a hundred is lost between peers; elsewhere it is sent again after 200 ms.
    PacketLoss,
    /// One server in eight is drained, restarts, and is cold: 4 times slower, better over 5 s.
    ColdStart,
    /// One server in eight refuses half of its sub-requests.
    Shed,
    /// Callers offer twice the load.
    Overload,
}

impl Fault {
    /// Every fault.
    pub const ALL: [Self; 20] = [
        Self::Straggler,
        Self::ReplicaLoss,
        Self::Repartition,
        Self::SnapshotChange,
        Self::StoreDown,
        Self::StoreSlow,
        Self::StoreLostAnswer,
        Self::PausedLease,
        Self::OperatorRace,
        Self::AutomationRace,
        Self::LoadReportLag,
        Self::LoadReportLie,
        Self::NodeCrash,
        Self::NodeRestart,
        Self::ZoneLoss,
        Self::RegionSplit,
        Self::PacketLoss,
        Self::ColdStart,
        Self::Shed,
        Self::Overload,
    ];

    /// The name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Straggler => "straggler",
            Self::ReplicaLoss => "replica-loss",
            Self::Repartition => "repartition",
            Self::SnapshotChange => "snapshot-change",
            Self::StoreDown => "store-down",
            Self::StoreSlow => "store-slow",
            Self::StoreLostAnswer => "store-lost-answer",
            Self::PausedLease => "paused-lease",
            Self::OperatorRace => "operator-race",
            Self::AutomationRace => "automation-race",
            Self::LoadReportLag => "load-report-lag",
            Self::LoadReportLie => "load-report-lie",
            Self::NodeCrash => "node-crash",
            Self::NodeRestart => "node-restart",
            Self::ZoneLoss => "zone-loss",
            Self::RegionSplit => "region-split",
            Self::PacketLoss => "packet-loss",
            Self::ColdStart => "cold-start",
            Self::Shed => "shed",
            Self::Overload => "overload",
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// No fault of this name.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("no fault {name:?}; known are {known}"))]
pub struct UnknownFault {
    name: String,
    known: String,
}

impl FromStr for Fault {
    type Err = UnknownFault;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|fault| fault.as_str() == text);
        found.ok_or_else(|| UnknownFault {
            name: text.to_owned(),
            known: Self::ALL.map(Self::as_str).join(", "),
        })
    }
}
