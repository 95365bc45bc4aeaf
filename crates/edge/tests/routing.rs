//! Routing, validation of configurations, traffic splits, and retry decisions.

use luglink_edge::{
    Configuration, Limits, Retryable, Route, RouteKind, RoutingTable, SendOutcome, Service,
    SplitDraws, Target,
};
use proptest::prelude::*;

fn target(service: &str, weight: u32) -> Target {
    Target {
        service: service.to_owned(),
        weight,
    }
}

fn route(host: &str, path_prefix: &str) -> Route {
    Route {
        name: format!("{host}{path_prefix}"),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 0,
        targets: vec![target("s", 1)],
        max_attempts: 2,
        keeps_history: false,
        retention_ms: 60_000,
        resumable: false,
        gap_aim_ms: None,
        public: false,
    }
}

fn configuration(routes: Vec<Route>) -> Configuration {
    Configuration {
        version: 1,
        routes,
        services: vec![Service {
            name: "s".to_owned(),
            health_path: "/health".to_owned(),
            connection_limit: 10,
            engine: None,
        }],
        limits: Limits::default(),
        tenants: Vec::new(),
    }
}

fn fields(configuration: &Configuration) -> Vec<String> {
    let violations = configuration.violations();
    violations.into_iter().map(|found| found.field).collect()
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![route("a.example", "/x/"), route("a.example", "/x/y/")];
    let table = RoutingTable::new(&configuration(routes));
    let name = |host: &str, path: &str| table.find(host, path).map(|route| route.name.clone());
    assert_eq!(name("a.example", "/x/y/z").unwrap(), "a.example/x/y/");
    assert_eq!(name("A.example:8080", "/x/z").unwrap(), "a.example/x/");
    assert_eq!(name("a.example", "/x"), None);
    assert_eq!(name("b.example", "/x/y/z"), None);
}

#[test]
fn every_violated_rule_is_reported_with_its_field() {
    assert!(
        configuration(vec![route("a", "/x/")])
            .violations()
            .is_empty()
    );
    let mut unknown = route("a", "/u/");
    unknown.targets = vec![target("nobody", 1)];
    let mut weightless = route("a", "/w/");
    weightless.targets = vec![target("s", 0)];
    let mut timeless = route("a", "/t/");
    timeless.timeout_ms = 0;
    let routes = vec![
        route("a", "/x/"),
        unknown,
        weightless,
        timeless,
        route("a", "/x/"),
        route("a", "no-slash"),
    ];
    assert_eq!(
        fields(&configuration(routes)),
        [
            "routes[1].targets",
            "routes[2].targets",
            "routes[3].timeout_ms",
            "routes[4].path_prefix",
            "routes[5].path_prefix",
        ]
    );
    let mut unversioned = configuration(Vec::new());
    unversioned.version = 0;
    assert_eq!(fields(&unversioned), ["version"]);
}

/// Returns the number of requests of `count` that each service of a 90 to 10 split gets, with draws
/// that start at `seed`.
fn drawn(count: usize, seed: u64) -> (usize, usize) {
    let mut split = route("a", "/x/");
    split.targets = vec![target("s", 90), target("t", 0), target("u", 10)];
    let mut draws = SplitDraws::default();
    let services: Vec<String> = (0..count)
        .filter_map(|_| {
            let draw = draws.next(&split, seed);
            split.service_for(draw).map(str::to_owned)
        })
        .collect();
    let of = |service: &str| services.iter().filter(|name| *name == service).count();
    assert_eq!(
        of("s") + of("u"),
        count,
        "a target with weight 0 got a request"
    );
    (of("s"), of("u"))
}

#[test]
fn a_split_follows_the_weights() {
    let (most, few) = drawn(1_000, 0);
    assert!(most.abs_diff(900) <= 2, "{most}");
    assert!(few.abs_diff(100) <= 2, "{few}");
}

/// Eight gateways with 40 requests each come as close to the weights as one gateway with all of
/// them.
#[test]
fn a_split_follows_the_weights_if_each_gateway_gets_few_requests() {
    for round in 0..50_u64 {
        let seeds = (0..8).map(|gateway| xxhash_rust::xxh3::xxh3_64(&[round as u8, gateway]));
        let few: usize = seeds.map(|seed| drawn(40, seed).1).sum();
        assert!(few.abs_diff(32) <= 8, "round {round}: {few} of 320");
    }
}

#[test]
fn each_route_has_its_own_draws_until_it_is_removed_from_the_configuration() {
    let (first, second) = (route("a", "/x/"), route("a", "/y/"));
    let mut draws = SplitDraws::default();
    let initial = draws.next(&first, 7);
    assert_eq!(draws.next(&second, 7), initial);
    assert_ne!(draws.next(&first, 7), initial);
    draws.keep_only(&configuration(vec![second.clone()]));
    assert_eq!(draws.next(&first, 7), initial);
    assert_ne!(draws.next(&second, 7), initial);
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_it_is_repeatable() {
    let mut safe = route("a", "/x/");
    safe.max_attempts = 2;
    let mut unsafe_route = safe.clone();
    unsafe_route.kind = RouteKind::Unsafe;
    let mut stream = safe.clone();
    stream.kind = RouteKind::Streaming;
    let uncertain = SendOutcome::Uncertain;
    assert_eq!(uncertain.retryable(&safe, 1), Retryable::Yes);
    assert_eq!(uncertain.retryable(&safe, 2), Retryable::NoMayHaveRun);
    assert_eq!(
        uncertain.retryable(&unsafe_route, 1),
        Retryable::NoMayHaveRun
    );
    assert_eq!(uncertain.retryable(&stream, 1), Retryable::NoMayHaveRun);
    stream.resumable = true;
    assert_eq!(uncertain.retryable(&stream, 1), Retryable::Yes);
    // A replica that declined did not run the request, so any kind of request may be retried.
    assert_eq!(
        SendOutcome::Declined.retryable(&unsafe_route, 0),
        Retryable::Yes
    );
    assert_eq!(
        SendOutcome::NotSent.retryable(&unsafe_route, 0),
        Retryable::Yes
    );
    // After a lost response the request may have run, even if the next replica declines it.
    assert_eq!(
        SendOutcome::Declined.retryable(&unsafe_route, 1),
        Retryable::NoMayHaveRun
    );
}

proptest! {
    #[test]
    fn the_same_draw_gives_the_same_service(draw: u64, weights in prop::collection::vec(0_u32..100, 1..5)) {
        let mut split = route("a", "/x/");
        split.targets = weights
            .iter()
            .enumerate()
            .map(|(position, weight)| target(&position.to_string(), *weight))
            .collect();
        let first = split.service_for(draw).map(str::to_owned);
        prop_assert_eq!(split.service_for(draw).map(str::to_owned), first.clone());
        let total: u32 = weights.iter().sum();
        prop_assert_eq!(first.is_some(), total > 0);
        if let Some(service) = first {
            let position: usize = service.parse().unwrap();
            prop_assert!(weights[position] > 0);
        }
    }
}
