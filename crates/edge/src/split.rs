//! Which service of a split route gets a request.

use crate::configuration::{Configuration, Route, Target};
use std::collections::HashMap;

/// 2^64 divided by the golden ratio. Multiples of it, taken modulo 2^64, fill the range more
/// evenly than random numbers do: after any number of steps each part of the range has got its
/// share, give or take a step or two.
const GOLDEN_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// The target at `draw` of the whole range when the weights are laid over it end to end.
fn target_at(targets: &[Target], draw: u64) -> Option<&Target> {
    let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    let scaled = (u128::from(draw) * u128::from(total)) >> u64::BITS;
    let mut rest = u64::try_from(scaled).unwrap_or(u64::MAX);
    targets.iter().find(|target| {
        let weight = u64::from(target.weight);
        let here = rest < weight;
        rest = rest.saturating_sub(weight);
        here
    })
}

impl Route {
    /// The service that gets a request whose draw is `draw`. Equal draws get equal services.
    #[must_use]
    pub fn service_for(&self, draw: u64) -> Option<&str> {
        target_at(&self.targets, draw).map(|target| target.service.as_str())
    }
}

/// Draws for the requests of each route that no program ties to a service. Each gateway sees
/// few of a route's requests; with random draws their split would be far from the weights.
#[derive(Clone, Debug, Default)]
pub struct SplitDraws {
    last: HashMap<String, u64>,
}

impl SplitDraws {
    /// The next draw of a route. `seed` says where a route begins that was not drawn for before;
    /// it should differ between gateways, which would all begin with the same service otherwise.
    pub fn next(&mut self, route: &Route, seed: u64) -> u64 {
        let last = self.last.entry(route.name.clone()).or_insert(seed);
        *last = last.wrapping_add(GOLDEN_STEP);
        *last
    }

    /// Forgets routes that are not in force any more.
    pub fn keep_only(&mut self, configuration: &Configuration) {
        let names = configuration.route_names();
        self.last.retain(|name, _| names.contains(name.as_str()));
    }
}
