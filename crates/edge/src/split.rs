//! Selection of the service of a request on a route with several targets.

use crate::configuration::{Configuration, Route, Target};
use std::collections::HashMap;

/// 2^64 divided by the golden ratio. Its multiples modulo 2^64 are a low-discrepancy sequence:
/// after any number of steps, the number of values in each part of the range differs from the
/// expected one by no more than a step or two.
const GOLDEN_RATIO_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// Returns the target for `draw`, with the whole range divided among the targets by weight.
fn target_at(targets: &[Target], draw: u64) -> Option<&Target> {
    let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    let scaled = (u128::from(draw) * u128::from(total)) >> u64::BITS;
    let mut rest = u64::try_from(scaled).unwrap_or(u64::MAX);
    targets.iter().find(|target| {
        let weight = u64::from(target.weight);
        let is_selected = rest < weight;
        rest = rest.saturating_sub(weight);
        is_selected
    })
}

impl Route {
    /// Returns the service for a request with the given draw. The same draw gives the same service.
    #[must_use]
    pub fn service_for(&self, draw: u64) -> Option<&str> {
        target_at(&self.targets, draw).map(|target| target.service.as_str())
    }

    /// Returns true if requests may go to a service.
    #[must_use]
    pub fn has_target(&self, service: &str) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|target| target.service == service && target.weight > 0)
    }
}

/// Draws for requests of each route that do not belong to a program. A gateway gets few requests of
/// a route, and with random draws their distribution would be far from the weights.
#[derive(Clone, Debug, Default)]
pub struct SplitDraws {
    last: HashMap<String, u64>,
}

impl SplitDraws {
    /// Returns the next draw of a route. `seed` is the start value for a new route. It should
    /// differ between gateways, so that they do not all start with the same service.
    pub fn next(&mut self, route: &Route, seed: u64) -> u64 {
        let last = self.last.entry(route.name.clone()).or_insert(seed);
        *last = last.wrapping_add(GOLDEN_RATIO_STEP);
        *last
    }

    /// Removes the state of routes that are not in the configuration.
    pub fn keep_only(&mut self, configuration: &Configuration) {
        let names = configuration.route_names();
        self.last.retain(|name, _| names.contains(name.as_str()));
    }
}
