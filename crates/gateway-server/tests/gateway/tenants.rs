//! Callers with keys: who gets in, what replicas are told, what stays apart, and how much.

use crate::support::caller::{TestRequest, TestResponse};
use crate::support::replica::{Replica, Script};
use crate::support::{Fleet, configuration, route, wait_until};
use luglink_edge::{ApiKey, Configuration, Quota, RouteKind, Tenant};
use luglink_types::TenantName;

fn tenant(name: &str, key: &str) -> Tenant {
    Tenant {
        name: TenantName::from(name),
        keys: vec![ApiKey::new(key)],
        priority: None,
        quota: None,
    }
}

fn with_tenants(version: u64, tenants: Vec<Tenant>) -> Configuration {
    let mut configuration = configuration(version);
    let mut public = route("/public/", RouteKind::Safe);
    public.public = true;
    configuration.routes.push(public);
    configuration.tenants = tenants;
    configuration
}

async fn fleet(tenants: Vec<Tenant>) -> (Fleet, Replica) {
    let replica = Replica::start("r0", Script::Stream).await;
    let fleet = Fleet::start(vec![replica.clone()]).await;
    fleet.configure(&with_tenants(1, tenants)).await;
    (fleet, replica)
}

fn keyed(ask: TestRequest, key: &str) -> TestRequest {
    ask.with("authorization", format!("Bearer {key}"))
}

async fn send(fleet: &Fleet, ask: TestRequest) -> TestResponse {
    ask.send(fleet.gateway_address).await
}

fn turn(id: &str, key: &str) -> TestRequest {
    let ask = TestRequest::post("/kept/x", id, "input ")
        .with("luglink-program", "program")
        .with("luglink-token-usage", "100,50");
    keyed(ask, key)
}

#[actix_rt::test]
async fn without_a_known_key_nothing_runs() {
    let (fleet, replica) = fleet(vec![tenant("one", "k1")]).await;
    replica.set_script(Script::Answer);
    let safe = |id: &str| TestRequest::get("/safe/x", id);
    assert_eq!(send(&fleet, safe("a1")).await.status, 401);
    assert_eq!(send(&fleet, keyed(safe("a2"), "other")).await.status, 401);
    let basic = safe("a3").with("authorization", "Basic k1");
    assert_eq!(send(&fleet, basic).await.status, 401);
    assert_eq!(replica.requests(), 0);
    assert_eq!(send(&fleet, keyed(safe("a4"), "k1")).await.status, 200);
    let public = TestRequest::get("/public/x", "a5");
    assert_eq!(send(&fleet, public).await.status, 200);
    let nowhere = TestRequest::get("/nowhere/x", "a6");
    assert_eq!(send(&fleet, nowhere).await.status, 404);
}

#[actix_rt::test]
async fn a_replica_is_told_the_tenant_and_not_the_key() {
    let mut ranked = tenant("one", "k1");
    ranked.priority = Some(6);
    let (fleet, replica) = fleet(vec![ranked, tenant("two", "k2")]).await;
    replica.set_script(Script::Answer);
    for (name, key, priority) in [("one", "k1", "6"), ("two", "k2", "1")] {
        let ask = keyed(TestRequest::get("/safe/x", name), key)
            .with("luglink-tenant", "forged")
            .with("luglink-priority", "0")
            .with("luglink-expected-replica", "forged");
        assert_eq!(send(&fleet, ask).await.status, 200);
        let seen = replica.last().headers;
        assert_eq!(seen["luglink-tenant"], name);
        assert_eq!(seen["luglink-priority"], priority);
        assert_eq!(seen["luglink-expected-replica"], "r0");
        assert!(!seen.contains_key("authorization"));
    }
    let public = keyed(TestRequest::get("/public/x", "a3"), "k1").with("luglink-tenant", "forged");
    assert_eq!(send(&fleet, public).await.status, 200);
    let seen = replica.last().headers;
    assert!(!seen.contains_key("luglink-tenant"));
    assert!(!seen.contains_key("authorization"));
}

#[actix_rt::test]
async fn without_tenants_a_credential_is_passed_on() {
    let (fleet, replica) = fleet(Vec::new()).await;
    replica.set_script(Script::Answer);
    let ask = keyed(TestRequest::get("/safe/x", "a1"), "k1").with("luglink-tenant", "forged");
    assert_eq!(send(&fleet, ask).await.status, 200);
    let seen = replica.last().headers;
    assert_eq!(seen["authorization"], "Bearer k1");
    assert!(!seen.contains_key("luglink-tenant"));
}

#[actix_rt::test]
async fn a_turn_of_another_tenant_is_like_one_that_never_was() {
    let (fleet, replica) = fleet(vec![tenant("one", "k1"), tenant("two", "k2")]).await;
    assert_eq!(send(&fleet, turn("t1", "k1")).await.status, 200);
    let runs = replica.requests();
    let stolen = turn("t2", "k2").with("luglink-previous-turn", "t1");
    let stolen = send(&fleet, stolen).await;
    let invented = turn("t3", "k2").with("luglink-previous-turn", "never");
    let invented = send(&fleet, invented).await;
    assert_eq!((stolen.status, invented.status), (404, 404));
    assert_eq!(stolen.body, invented.body);
    // Nor does it help to spell how the turn is stored.
    for spelt in ["one/t1", "one:t1"] {
        let ask = turn("t4", "k2").with("luglink-previous-turn", spelt);
        assert_eq!(send(&fleet, ask).await.status, 404);
    }
    assert_eq!(replica.requests(), runs);
    let own = turn("t5", "k1").with("luglink-previous-turn", "t1");
    assert_eq!(send(&fleet, own).await.status, 200);
}

#[actix_rt::test]
async fn programs_of_the_same_name_have_budgets_of_their_own() {
    let (fleet, _) = fleet(vec![tenant("one", "k1"), tenant("two", "k2")]).await;
    let ask = |id: &str, key: &str| turn(id, key).with("luglink-token-budget", 60);
    assert_eq!(send(&fleet, ask("t1", "k1")).await.status, 200);
    assert_eq!(send(&fleet, ask("t2", "k1")).await.status, 402);
    assert_eq!(send(&fleet, ask("t3", "k2")).await.status, 200);
}

#[actix_rt::test]
async fn a_key_that_is_taken_away_and_one_that_is_added_hold_with_the_next_version() {
    let (fleet, replica) = fleet(vec![tenant("one", "k1")]).await;
    replica.set_script(Script::Answer);
    let asks = |key: &'static str| keyed(TestRequest::get("/safe/x", "a1"), key);
    assert_eq!(send(&fleet, asks("k1")).await.status, 200);
    let next = with_tenants(2, vec![tenant("one", "k2")]);
    fleet.configure(&next).await;
    wait_until("the new key holds", || async {
        send(&fleet, asks("k2")).await.status == 200
    })
    .await;
    assert_eq!(send(&fleet, asks("k1")).await.status, 401);
}

#[actix_rt::test]
async fn requests_beyond_a_quota_get_429_and_do_not_run() {
    let mut limited = tenant("one", "k1");
    // Two owners, each with three tokens and nearly nothing to come.
    limited.quota = Some(Quota {
        rate_per_s: 0.01,
        burst: 6.0,
    });
    let (fleet, replica) = fleet(vec![limited, tenant("two", "k2")]).await;
    replica.set_script(Script::Answer);
    let mut served = 0;
    let refused = loop {
        let got = send(&fleet, keyed(TestRequest::get("/safe/x", "a1"), "k1")).await;
        match got.status {
            200 => served += 1,
            // The stores have not heard a leader yet, or the buckets are still empty.
            503 => actix_rt::time::sleep(std::time::Duration::from_millis(50)).await,
            _ => break got,
        }
        assert!(served <= 6, "more than the quota");
    };
    assert_eq!(refused.status, 429);
    let retry_delay: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    assert!(retry_delay > 0.0);
    assert_eq!(replica.requests(), served);
    let other = keyed(TestRequest::get("/safe/x", "a2"), "k2");
    assert_eq!(send(&fleet, other).await.status, 200);
}

#[actix_rt::test]
async fn keys_hold_no_longer_than_told_without_a_word_of_the_members() {
    let (mut fleet, replica) = fleet(vec![tenant("one", "k1")]).await;
    replica.set_script(Script::Answer);
    let keyed_ask = || keyed(TestRequest::get("/safe/x", "a1"), "k1");
    assert_eq!(send(&fleet, keyed_ask()).await.status, 200);
    for member in std::mem::take(&mut fleet.members) {
        member.stop().await;
    }
    wait_until("the key is not relied on any more", || async {
        send(&fleet, keyed_ask()).await.status == 503
    })
    .await;
    // Nobody takes a public route away but a configuration.
    let public = TestRequest::get("/public/x", "a2");
    assert_eq!(send(&fleet, public).await.status, 200);
}
