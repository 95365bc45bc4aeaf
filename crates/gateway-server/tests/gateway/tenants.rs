//! Tenants: API keys, headers for replicas, isolation of turns and budgets, and quotas.

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

fn keyed(request: TestRequest, key: &str) -> TestRequest {
    request.with("authorization", format!("Bearer {key}"))
}

async fn send(fleet: &Fleet, request: TestRequest) -> TestResponse {
    request.send(fleet.gateway_address).await
}

fn turn(id: &str, key: &str) -> TestRequest {
    let request = TestRequest::post("/kept/x", id, "input ")
        .with("luglink-program", "program")
        .with("luglink-token-usage", "100,50");
    keyed(request, key)
}

#[actix_rt::test]
async fn requests_without_a_known_key_do_not_run() {
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
async fn replicas_get_the_tenant_but_not_the_key() {
    let mut ranked = tenant("one", "k1");
    ranked.priority = Some(6);
    let (fleet, replica) = fleet(vec![ranked, tenant("two", "k2")]).await;
    replica.set_script(Script::Answer);
    for (name, key, priority) in [("one", "k1", "6"), ("two", "k2", "1")] {
        let request = keyed(TestRequest::get("/safe/x", name), key)
            .with("luglink-tenant", "forged")
            .with("luglink-priority", "0")
            .with("luglink-expected-replica", "forged");
        assert_eq!(send(&fleet, request).await.status, 200);
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
async fn without_tenants_the_credential_is_forwarded() {
    let (fleet, replica) = fleet(Vec::new()).await;
    replica.set_script(Script::Answer);
    let request = keyed(TestRequest::get("/safe/x", "a1"), "k1").with("luglink-tenant", "forged");
    assert_eq!(send(&fleet, request).await.status, 200);
    let seen = replica.last().headers;
    assert_eq!(seen["authorization"], "Bearer k1");
    assert!(!seen.contains_key("luglink-tenant"));
}

#[actix_rt::test]
async fn a_turn_of_another_tenant_is_indistinguishable_from_a_missing_one() {
    let (fleet, replica) = fleet(vec![tenant("one", "k1"), tenant("two", "k2")]).await;
    assert_eq!(send(&fleet, turn("t1", "k1")).await.status, 200);
    let runs = replica.requests();
    let stolen = turn("t2", "k2").with("luglink-previous-turn", "t1");
    let stolen = send(&fleet, stolen).await;
    let invented = turn("t3", "k2").with("luglink-previous-turn", "never");
    let invented = send(&fleet, invented).await;
    assert_eq!((stolen.status, invented.status), (404, 404));
    assert_eq!(stolen.body, invented.body);
    // Guessing the internal identifier of the stored turn does not give access either.
    for spelt in ["one/t1", "one:t1"] {
        let request = turn("t4", "k2").with("luglink-previous-turn", spelt);
        assert_eq!(send(&fleet, request).await.status, 404);
    }
    assert_eq!(replica.requests(), runs);
    let own = turn("t5", "k1").with("luglink-previous-turn", "t1");
    assert_eq!(send(&fleet, own).await.status, 200);
}

#[actix_rt::test]
async fn programs_of_the_same_name_have_separate_budgets_per_tenant() {
    let (fleet, _) = fleet(vec![tenant("one", "k1"), tenant("two", "k2")]).await;
    let request = |id: &str, key: &str| turn(id, key).with("luglink-token-budget", 60);
    assert_eq!(send(&fleet, request("t1", "k1")).await.status, 200);
    assert_eq!(send(&fleet, request("t2", "k1")).await.status, 402);
    assert_eq!(send(&fleet, request("t3", "k2")).await.status, 200);
}

#[actix_rt::test]
async fn revoked_and_added_keys_take_effect_with_the_next_version() {
    let (fleet, replica) = fleet(vec![tenant("one", "k1")]).await;
    replica.set_script(Script::Answer);
    let request = |key: &'static str| keyed(TestRequest::get("/safe/x", "a1"), key);
    assert_eq!(send(&fleet, request("k1")).await.status, 200);
    let next = with_tenants(2, vec![tenant("one", "k2")]);
    fleet.configure(&next).await;
    wait_until("the new key is accepted", || async {
        send(&fleet, request("k2")).await.status == 200
    })
    .await;
    assert_eq!(send(&fleet, request("k1")).await.status, 401);
}

#[actix_rt::test]
async fn requests_beyond_a_quota_get_429_and_do_not_run() {
    let mut limited = tenant("one", "k1");
    // Two owners, each with three tokens and almost no refill.
    limited.quota = Some(Quota {
        rate_per_s: 0.01,
        burst: 6.0,
    });
    let (fleet, replica) = fleet(vec![limited, tenant("two", "k2")]).await;
    replica.set_script(Script::Answer);
    let mut served = 0;
    let refused = loop {
        let response = send(&fleet, keyed(TestRequest::get("/safe/x", "a1"), "k1")).await;
        match response.status {
            200 => served += 1,
            // The stores have no contact with a leader yet, or the buckets are still empty.
            503 => actix_rt::time::sleep(std::time::Duration::from_millis(50)).await,
            _ => break response,
        }
        assert!(
            served <= 6,
            "more requests were served than the quota allows"
        );
    };
    assert_eq!(refused.status, 429);
    let retry_delay: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    assert!(retry_delay > 0.0);
    assert_eq!(replica.requests(), served);
    let other = keyed(TestRequest::get("/safe/x", "a2"), "k2");
    assert_eq!(send(&fleet, other).await.status, 200);
}

#[actix_rt::test]
async fn keys_expire_without_contact_to_the_members() {
    let (fleet, replica) = fleet(vec![tenant("one", "k1")]).await;
    replica.set_script(Script::Answer);
    let keyed_request = || keyed(TestRequest::get("/safe/x", "a1"), "k1");
    assert_eq!(send(&fleet, keyed_request()).await.status, 200);
    fleet.storage.stop_members().await;
    wait_until("the key is no longer accepted", || async {
        send(&fleet, keyed_request()).await.status == 503
    })
    .await;
    // Public routes do not depend on keys.
    let public = TestRequest::get("/public/x", "a2");
    assert_eq!(send(&fleet, public).await.status, 200);
}
