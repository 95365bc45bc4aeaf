//! Measurement of this gateway's load, which it reports to the control members.

use luglink_fleet::{GatewayLoad, ServiceLoad};
use luglink_scheduling::Pool;
use luglink_types::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time constant of the exponential averages: the duration of a few turns of a program.
const AVERAGING_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Exponential moving averages of the load, updated whenever they are read.
#[derive(Debug, Default)]
pub(crate) struct LoadMeter {
    updated_at: Timestamp,
    /// Requests that have arrived since `updated_at`.
    requests: u32,
    requests_per_s: f64,
    /// Requests in flight by service.
    in_flight: BTreeMap<String, f64>,
}

impl LoadMeter {
    /// Counts a request of a caller.
    pub(crate) fn count_request(&mut self) {
        self.requests += 1;
    }

    /// Updates the averages and returns them.
    pub(crate) fn read(&mut self, pool: &Pool, now: Timestamp) -> GatewayLoad {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        if elapsed > 0.0 {
            let weight = 1.0 - (-elapsed / AVERAGING_TIME_CONSTANT.as_secs_f64()).exp();
            let rate = f64::from(std::mem::take(&mut self.requests)) / elapsed;
            self.requests_per_s += weight * (rate - self.requests_per_s);
            self.average_in_flight(pool, weight);
            self.updated_at = now;
        }
        let in_flight = self.in_flight.iter();
        let services = in_flight.map(|(service, average)| ServiceLoad {
            service: service.clone(),
            in_flight_hundredths: (average * 100.0).round() as u32,
        });
        GatewayLoad {
            requests_per_minute: (self.requests_per_s * 60.0).round() as u32,
            services: services
                .filter(|service| service.in_flight_hundredths > 0)
                .collect(),
        }
    }

    fn average_in_flight(&mut self, pool: &Pool, weight: f64) {
        let counts: BTreeMap<&str, u32> = pool.in_flight().collect();
        self.in_flight
            .retain(|service, _| counts.contains_key(service.as_str()));
        for (service, in_flight) in counts {
            let average = self.in_flight.entry(service.to_owned()).or_default();
            *average += weight * (f64::from(in_flight) - *average);
        }
    }
}
