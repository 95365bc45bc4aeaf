//! Load of all gateways of a zone.
//!
//! A gateway of a large fleet gets one of several hundred requests, so it cannot estimate how many
//! replicas the total load needs. Each gateway sends its load with its heartbeat. The members of
//! its zone receive the load of all gateways and return the sum.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Recent average number of requests in flight at the replicas of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: String,
    /// Requests in flight, in hundredths.
    pub in_flight_hundredths: u32,
}

/// Load of one gateway, or of all gateways of a zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayLoad {
    /// Recent rate of callers' requests, per minute.
    pub requests_per_minute: u32,
    /// Requests in flight by service.
    pub services: Vec<ServiceLoad>,
}

impl GatewayLoad {
    /// Returns the rate of callers' requests, per second.
    #[must_use]
    pub fn requests_per_s(&self) -> f64 {
        f64::from(self.requests_per_minute) / 60.0
    }

    /// Sums the loads of several gateways.
    #[must_use]
    pub fn sum<'loads>(loads: impl IntoIterator<Item = &'loads Self>) -> Self {
        let mut requests_per_minute = 0_u32;
        let mut in_flight: BTreeMap<&str, u32> = BTreeMap::new();
        for load in loads {
            requests_per_minute = requests_per_minute.saturating_add(load.requests_per_minute);
            for service in &load.services {
                let sum = in_flight.entry(&service.service).or_default();
                *sum = sum.saturating_add(service.in_flight_hundredths);
            }
        }
        let services = in_flight.into_iter().map(|(service, sum)| ServiceLoad {
            service: service.to_owned(),
            in_flight_hundredths: sum,
        });
        Self {
            requests_per_minute,
            services: services.collect(),
        }
    }
}
