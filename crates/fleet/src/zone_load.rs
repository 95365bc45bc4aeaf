//! What the gateways of a zone have to do together.
//!
//! A gateway of a large fleet sees one request in some hundreds, and so cannot tell how much of
//! the fleet the load needs. Each says what it has to do with its word of itself; the members of
//! its zone hear all of them and tell each the sum.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Requests under way at replicas of a service, in the mean of the last moments.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: String,
    /// Requests, in hundredths.
    pub in_flight_hundredths: u32,
}

/// What one gateway, or all of a zone together, have to do.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayLoad {
    /// Requests of callers in a minute, by those of the last moments.
    pub requests_per_minute: u32,
    /// What is under way.
    pub services: Vec<ServiceLoad>,
}

impl GatewayLoad {
    /// Requests of callers in a second.
    #[must_use]
    pub fn requests_per_s(&self) -> f64 {
        f64::from(self.requests_per_minute) / 60.0
    }

    /// The loads of several gateways together.
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
