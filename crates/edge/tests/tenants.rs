//! Authentication of callers, and headers that are not forwarded.

use http::{HeaderMap, HeaderName, HeaderValue};
use luglink_edge::{
    ApiKey, Caller, Configuration, Dialect, KeyError, KeyFingerprint, KeyRing, LuglinkDialect,
    Quota, Route, RouteKind, Target, Tenant,
};
use luglink_types::TenantName;
use proptest::prelude::*;

fn route(public: bool) -> Route {
    Route {
        name: "route".to_owned(),
        host: "a".to_owned(),
        path_prefix: "/x/".to_owned(),
        kind: RouteKind::Safe,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 4,
        targets: vec![Target {
            service: "s".to_owned(),
            weight: 1,
        }],
        max_attempts: 1,
        keeps_history: false,
        retention_ms: 1_000,
        resumable: false,
        gap_aim_ms: None,
        public,
    }
}

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: TenantName::from(name),
        keys: keys.iter().copied().map(ApiKey::new).collect(),
        priority: None,
        quota: None,
    }
}

fn with(tenants: Vec<Tenant>) -> Configuration {
    Configuration {
        version: 1,
        tenants,
        ..Configuration::default()
    }
}

fn rules(tenants: Vec<Tenant>) -> Vec<String> {
    let violations = with(tenants).violations();
    violations.iter().map(ToString::to_string).collect()
}

#[test]
fn a_key_authenticates_its_tenant_and_no_other() {
    let ring = KeyRing::new(&with(vec![
        tenant("one", &["k1", "k2"]),
        tenant("two", &["k3"]),
        tenant("keyless", &[]),
    ]));
    let holder = |secret| match ring.caller(&route(false), Some(secret)) {
        Ok(Caller::Tenant(tenant)) => Some(tenant.name.0.clone()),
        Ok(Caller::Anyone) => panic!("the route requires a key"),
        Err(_) => None,
    };
    assert_eq!(holder("k1").as_deref(), Some("one"));
    assert_eq!(holder("k2").as_deref(), Some("one"));
    assert_eq!(holder("k3").as_deref(), Some("two"));
    for unknown in ["", "k", "k11", "K1", "k1 "] {
        assert_eq!(holder(unknown), None, "{unknown:?}");
    }
    let missing = ring.caller(&route(false), None);
    assert_eq!(missing, Err(KeyError::Missing));
}

#[test]
fn public_routes_and_configurations_without_tenants_require_no_key() {
    let guarded = KeyRing::new(&with(vec![tenant("one", &["k1"])]));
    assert_eq!(guarded.caller(&route(true), None), Ok(Caller::Anyone));
    assert_eq!(guarded.caller(&route(true), Some("k1")), Ok(Caller::Anyone));
    let open = KeyRing::new(&with(Vec::new()));
    assert_eq!(open.caller(&route(false), None), Ok(Caller::Anyone));
}

#[test]
fn the_priority_of_a_tenant_overrides_that_of_the_route() {
    let mut prioritized = tenant("one", &["k1"]);
    prioritized.priority = Some(7);
    let ring = KeyRing::new(&with(vec![prioritized, tenant("two", &["k2"])]));
    let priority = |secret| {
        let caller = ring.caller(&route(false), Some(secret)).unwrap();
        caller.priority(&route(false))
    };
    assert_eq!((priority("k1"), priority("k2")), (7, 4));
    assert_eq!(Caller::Anyone.priority(&route(false)), 4);
}

#[test]
fn shared_keys_and_bad_names_are_violations_and_no_key_is_revealed() {
    let shared = rules(vec![tenant("one", &["secret"]), tenant("two", &["secret"])]);
    assert_eq!(shared.len(), 1);
    assert!(shared[0].contains("two"), "{shared:?}");
    assert!(!shared[0].contains("secret"), "{shared:?}");
    let twice = rules(vec![tenant("one", &["k1"]), tenant("one", &["k2"])]);
    assert_eq!(twice.len(), 1, "{twice:?}");
    for name in ["", "with space", "line\nbreak", "scope\u{1}end", "naïve"] {
        assert_eq!(rules(vec![tenant(name, &["k1"])]).len(), 1, "{name:?}");
    }
    assert_eq!(rules(vec![tenant("one", &[""])]).len(), 1);
}

#[test]
fn a_tenant_may_have_no_key_or_the_same_key_twice() {
    assert!(rules(vec![tenant("one", &[]), tenant("two", &["k", "k"])]).is_empty());
}

#[test]
fn invalid_quotas_are_violations() {
    let limited = |rate_per_s, burst| {
        let mut limited = tenant("one", &["k1"]);
        limited.quota = Some(Quota { rate_per_s, burst });
        rules(vec![limited]).len()
    };
    assert_eq!(limited(0.5, 0.0), 0);
    assert_eq!(limited(0.0, 1.0), 1);
    assert_eq!(limited(-1.0, 1.0), 1);
    assert_eq!(limited(f64::NAN, 1.0), 1);
    assert_eq!(limited(1.0, -1.0), 1);
}

#[test]
fn debug_output_contains_no_key() {
    let key = ApiKey::new("very-secret");
    let shown = format!("{key:?} {:?}", with(vec![tenant("one", &["very-secret"])]));
    assert!(!shown.contains("very-secret"), "{shown}");
    assert!(shown.contains(&key.fingerprint().to_string()), "{shown}");
    assert_ne!(KeyFingerprint::of("a"), KeyFingerprint::of("b"));
}

fn headers(entries: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in entries {
        headers.append(
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        );
    }
    headers
}

#[test]
fn a_key_is_accepted_from_a_single_credential_of_the_right_scheme() {
    let dialect = LuglinkDialect::default();
    let secret = |values: &[&'static str]| {
        let entries: Vec<_> = values
            .iter()
            .map(|value| ("authorization", *value))
            .collect();
        dialect
            .headers()
            .secret(&headers(&entries))
            .map(str::to_owned)
    };
    assert_eq!(secret(&["Bearer abc"]).as_deref(), Some("abc"));
    assert_eq!(secret(&["bearer  abc "]).as_deref(), Some("abc"));
    assert_eq!(secret(&[]), None);
    assert_eq!(secret(&["abc"]), None);
    assert_eq!(secret(&["Basic abc"]), None);
    assert_eq!(secret(&["Bearer abc", "Bearer def"]), None);
}

proptest! {
    #[test]
    fn reserved_headers_of_callers_are_removed(
        sent in prop::collection::vec((0_usize..6, any::<bool>(), "[a-z0-9]{0,8}"), 0..20),
    ) {
        let dialect = LuglinkDialect::default();
        let names = dialect.headers();
        let mut headers = HeaderMap::new();
        let mut kept = 0;
        for (choice, is_upper, value) in sent {
            let name = names.reserved.get(choice).map_or("x-other", HeaderName::as_str);
            let spelled = if is_upper { name.to_ascii_uppercase() } else { name.to_owned() };
            kept += usize::from(name == "x-other");
            let name: HeaderName = spelled.parse().unwrap();
            headers.append(name, HeaderValue::from_str(&value).unwrap());
        }
        names.remove_reserved(&mut headers);
        for name in &names.reserved {
            prop_assert!(!headers.contains_key(name));
        }
        prop_assert_eq!(headers.get_all("x-other").iter().count(), kept);
    }
}
