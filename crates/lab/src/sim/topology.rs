//! Where things stand and how long messages take between them.

use crate::trace::Deployment;
use std::time::Duration;

/// A zone of a simulated fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SimZone {
    /// Name.
    pub name: String,
    /// Number of the region it lies in.
    pub region: usize,
}

/// Zones and the time messages take, one way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Topology {
    /// Zones; a thing's zone is its number modulo the number of zones.
    pub zones: Vec<SimZone>,
    /// Within a zone.
    pub same_zone: Duration,
    /// Between zones of a region.
    pub same_region: Duration,
    /// Between regions.
    pub cross_region: Duration,
    /// Between a caller and the daemon beside it.
    pub to_client: Duration,
}

/// Within a zone: two switches and two kernels.
const SAME_ZONE: Duration = Duration::from_micros(250);

/// Johannesburg to Dakar.
const CROSS_REGION: Duration = Duration::from_millis(65);

impl Topology {
    /// The zones and latencies that the brief gives for one deployment.
    #[must_use]
    pub fn of(deployment: Deployment) -> Self {
        let (same_region, to_client) = match deployment {
            Deployment::Kopano => (Duration::from_micros(1_500), Duration::from_millis(3)),
            Deployment::Hub => (Duration::from_micros(500), Duration::from_millis(1)),
        };
        Self {
            zones: zones_of(deployment, 0),
            same_zone: SAME_ZONE,
            same_region,
            cross_region: CROSS_REGION,
            to_client,
        }
    }

    /// Both regions in one fleet: Gauteng's four zones and Dakar's three.
    #[must_use]
    pub fn both_regions() -> Self {
        let mut topology = Self::of(Deployment::Kopano);
        topology.zones.extend(zones_of(Deployment::Hub, 1));
        topology
    }

    /// The zone of the thing with this number.
    #[must_use]
    pub fn zone_of(&self, index: usize) -> usize {
        index % self.zones.len()
    }

    /// Number of a zone by name.
    #[must_use]
    pub fn zone_named(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone.name == name)
    }

    /// One way between two zones.
    #[must_use]
    pub fn between(&self, from: usize, to: usize) -> Duration {
        if from == to {
            self.same_zone
        } else if self.zones[from].region == self.zones[to].region {
            self.same_region
        } else {
            self.cross_region
        }
    }
}

fn zones_of(deployment: Deployment, region: usize) -> Vec<SimZone> {
    let zone = |name: &&str| SimZone {
        name: (*name).to_owned(),
        region,
    };
    deployment.zones().iter().map(zone).collect()
}
