//! Streams that continue at another replica or gateway stay at the software version that began
//! them.

use crate::support::caller::{TestRequest, TestResponse, get};
use crate::support::replica::{Replica, Script, event};
use crate::support::{Fleet, configuration, route, wait_until};
use luglink_edge::{Configuration, RouteKind};

/// Maximum number of requests until one is sent to a given replica.
const MAX_ROUNDS: usize = 40;

/// Number of attempts that resume the same stream. Each would reach another version with a
/// probability of one half or more if versions did not count.
const RESUMING_ATTEMPTS: usize = 12;

fn configuration_with_moves() -> Configuration {
    let mut configuration = configuration(1);
    let mut movable = route("/movable/", RouteKind::Streaming);
    movable.resumable = true;
    movable.gap_aim_ms = Some(300);
    configuration.routes.push(movable);
    configuration
}

async fn fleet(replicas: &[Replica]) -> Fleet {
    let fleet = Fleet::start(replicas.to_vec()).await;
    fleet.configure(&configuration_with_moves()).await;
    fleet
}

fn events(numbers: std::ops::Range<usize>) -> String {
    numbers.map(event).collect()
}

fn has_seen(replica: &Replica, id: &str) -> bool {
    let seen = replica.seen.borrow();
    seen.iter().any(|seen| seen.id() == id)
}

/// Returns a request whose stream may be resumed for a minute, however slow the machine is.
fn beginning(path: &str, id: &str) -> TestRequest {
    TestRequest::post(path, id, "body").with("luglink-deadline-ms", 60_000)
}

/// Sends streams to `path` until one was sent to `replica`. Returns its identifier and response.
async fn stream_at(fleet: &Fleet, path: &str, replica: &Replica) -> (String, TestResponse) {
    for number in 0..MAX_ROUNDS {
        let id = format!("s{number}");
        let response = beginning(path, &id).send(fleet.gateway_address).await;
        if has_seen(replica, &id) {
            return (id, response);
        }
    }
    panic!("no request was sent to {}", replica.id);
}

/// Begins streams until one was sent to `replica`, and disconnects from each after its first
/// events. Returns the identifier of that one.
async fn abandoned_stream_at(fleet: &Fleet, replica: &Replica) -> String {
    for number in 0..MAX_ROUNDS {
        let id = format!("s{number}");
        let request = beginning("/resumable/x", &id);
        request.send_and_disconnect(fleet.gateway_address).await;
        if has_seen(replica, &id) {
            return id;
        }
    }
    panic!("no request was sent to {}", replica.id);
}

fn resuming(first_attempt: &str, id: &str) -> TestRequest {
    TestRequest::post("/resumable/x", id, "body")
        .with("luglink-resumes", first_attempt)
        .with("last-event-id", 1)
}

#[actix_rt::test]
async fn a_stream_of_a_crashed_replica_does_not_continue_at_another_software_version() {
    let crashing = Replica::start_version("r0", "v1", Script::StreamCrashes(2)).await;
    let other = Replica::start_version("r1", "v2", Script::Stream).await;
    let fleet = fleet(&[crashing.clone(), other.clone()]).await;
    let (id, response) = stream_at(&fleet, "/resumable/x", &crashing).await;
    assert!(!has_seen(&other, &id), "{response:?}");
    assert_eq!((response.is_whole, response.body), (false, events(0..2)));
}

#[actix_rt::test]
async fn a_stream_of_a_crashed_replica_continues_at_the_same_software_version() {
    let crashing = Replica::start_version("r0", "v1", Script::StreamCrashes(2)).await;
    let same = Replica::start_version("r1", "v1", Script::Stream).await;
    let mut replicas = vec![crashing.clone(), same.clone()];
    for number in 2..6 {
        let id = format!("r{number}");
        replicas.push(Replica::start_version(&id, "v2", Script::Stream).await);
    }
    let fleet = fleet(&replicas).await;
    let (id, response) = stream_at(&fleet, "/resumable/x", &crashing).await;
    assert!(has_seen(&same, &id), "{response:?}");
    assert_eq!((response.is_whole, response.body), (true, events(0..5)));
}

#[actix_rt::test]
async fn a_stream_continues_at_its_software_version_when_another_replica_took_the_address() {
    let replaced = Replica::start_version("r0", "v1", Script::StreamReplaced(2)).await;
    let same = Replica::start_version("r1", "v1", Script::Stream).await;
    let other = Replica::start_version("r2", "v2", Script::Stream).await;
    let fleet = fleet(&[replaced.clone(), same.clone(), other.clone()]).await;
    let (id, response) = stream_at(&fleet, "/resumable/x", &replaced).await;
    assert!(has_seen(&same, &id) && !has_seen(&other, &id));
    assert_eq!((response.is_whole, response.body), (true, events(0..5)));
}

#[actix_rt::test]
async fn a_broken_stream_is_not_resumed_at_its_replica_after_a_restart_at_another_version() {
    let replica = Replica::start_version("r0", "v1", Script::StreamStalled(2)).await;
    replica.started_ms.set(1);
    let fleet = fleet(std::slice::from_ref(&replica)).await;
    let sending = beginning("/resumable/x", "s").send(fleet.gateway_address);
    let restarting = async {
        wait_until("the stream has begun", || async { replica.requests() > 0 }).await;
        *replica.version.borrow_mut() = Some("v2".to_owned());
        replica.started_ms.set(2);
        replica.set_script(Script::Stream);
        let restarts = "luglink_replica_restarts_total 1";
        wait_until("the gateway knows of the restart", || async {
            let metrics = get(fleet.gateway.metrics_address.unwrap(), "/metrics").await;
            metrics.body.contains(restarts)
        })
        .await;
        replica.reset.notify_one();
    };
    let (response, ()) = tokio::join!(sending, restarting);
    assert_eq!((response.is_whole, response.body), (false, events(0..2)));
    assert_eq!(replica.requests(), 1);
}

#[actix_rt::test]
async fn a_stalled_stream_does_not_move_to_another_software_version() {
    let stalled = Replica::start_version("r0", "v1", Script::StreamStalled(2)).await;
    let other = Replica::start_version("r1", "v2", Script::Stream).await;
    let fleet = fleet(&[stalled.clone(), other.clone()]).await;
    let (id, response) = stream_at(&fleet, "/movable/x", &stalled).await;
    assert!(!has_seen(&other, &id), "{response:?}");
    assert_eq!((response.is_whole, response.body), (false, events(0..2)));
}

#[actix_rt::test]
async fn a_stalled_stream_moves_to_the_same_software_version() {
    let stalled = Replica::start_version("r0", "v1", Script::StreamStalled(2)).await;
    let same = Replica::start_version("r1", "v1", Script::Stream).await;
    let mut replicas = vec![stalled.clone(), same.clone()];
    for number in 2..6 {
        let id = format!("r{number}");
        replicas.push(Replica::start_version(&id, "v2", Script::Stream).await);
    }
    let fleet = fleet(&replicas).await;
    let (id, response) = stream_at(&fleet, "/movable/x", &stalled).await;
    assert!(has_seen(&same, &id), "{response:?}");
    assert_eq!((response.is_whole, response.body), (true, events(0..5)));
}

#[actix_rt::test]
async fn a_caller_that_resumes_at_another_gateway_gets_the_same_software_version() {
    let first = Replica::start_version("r0", "v1", Script::StreamStalled(2)).await;
    let same = Replica::start_version("r1", "v1", Script::Stream).await;
    let mut replicas = vec![first.clone(), same.clone()];
    for number in 2..6 {
        let id = format!("r{number}");
        replicas.push(Replica::start_version(&id, "v2", Script::Stream).await);
    }
    let fleet = fleet(&replicas).await;
    let (_second, address) = fleet.start_ready_second_gateway().await;
    let began_as = abandoned_stream_at(&fleet, &first).await;
    first.set_script(Script::Stream);
    for number in 0..RESUMING_ATTEMPTS {
        let id = format!("resuming-{number}");
        let to = [address, fleet.gateway_address][number % 2];
        let response = resuming(&began_as, &id).send(to).await;
        let whole = (response.status, response.is_whole, response.body.as_str());
        assert_eq!(whole, (200, true, events(2..5).as_str()), "{response:?}");
        let others = &replicas[2..];
        assert!(
            !others.iter().any(|other| has_seen(other, &id)),
            "{response:?}"
        );
    }
}

#[actix_rt::test]
async fn a_stream_whose_origin_is_lost_does_not_continue_among_several_versions() {
    let replicas = [
        Replica::start_version("r0", "v1", Script::Stream).await,
        Replica::start_version("r1", "v2", Script::Stream).await,
    ];
    let fleet = fleet(&replicas).await;
    let unnamed = TestRequest::post("/resumable/x", "b", "body").with("last-event-id", 1);
    for request in [resuming("never-seen", "a"), unnamed] {
        let response = request.send(fleet.gateway_address).await;
        assert_eq!(
            (response.status, response.header("retry-after")),
            (503, None)
        );
    }
    assert_eq!(replicas.iter().map(Replica::requests).sum::<usize>(), 0);
}

#[actix_rt::test]
async fn a_stream_whose_origin_is_lost_continues_in_a_fleet_without_versions() {
    let replica = Replica::start("r0", Script::Stream).await;
    let fleet = fleet(&[replica]).await;
    let unnamed = TestRequest::post("/resumable/x", "b", "body").with("last-event-id", 1);
    for request in [resuming("never-seen", "a"), unnamed] {
        let response = request.send(fleet.gateway_address).await;
        let whole = (response.status, response.is_whole, response.body);
        assert_eq!(whole, (200, true, events(2..5)));
    }
}

#[actix_rt::test]
async fn a_stream_whose_version_is_gone_is_refused_at_once() {
    let first = Replica::start_version("r0", "v1", Script::StreamStalled(2)).await;
    let other = Replica::start_version("r1", "v2", Script::Stream).await;
    let fleet = fleet(&[first.clone(), other.clone()]).await;
    let began_as = abandoned_stream_at(&fleet, &first).await;
    *first.version.borrow_mut() = Some("v2".to_owned());
    first.started_ms.set(1);
    first.set_script(Script::Stream);
    wait_until("the gateway knows of the restart", || async {
        let response = resuming(&began_as, "early")
            .send(fleet.gateway_address)
            .await;
        response.status == 503
    })
    .await;
    let response = resuming(&began_as, "late")
        .send(fleet.gateway_address)
        .await;
    assert_eq!(
        (response.status, response.header("retry-after")),
        (503, None)
    );
    assert!(!has_seen(&other, "early") && !has_seen(&other, "late"));
    assert!(!has_seen(&first, "late"));
}

#[actix_rt::test]
async fn a_moved_stream_that_the_caller_resumes_stays_at_its_software_version() {
    let stalled = Replica::start_version("r0", "v1", Script::StreamStalled(2)).await;
    let same = Replica::start_version("r1", "v1", Script::Stream).await;
    let other = Replica::start_version("r2", "v2", Script::Stream).await;
    let fleet = fleet(&[stalled.clone(), same.clone(), other.clone()]).await;
    let (_second, address) = fleet.start_ready_second_gateway().await;
    let (began_as, response) = stream_at(&fleet, "/movable/x", &stalled).await;
    assert!(response.is_whole, "{response:?}");
    stalled.set_script(Script::Stream);
    for number in 0..RESUMING_ATTEMPTS {
        let id = format!("resuming-{number}");
        let response = resuming(&began_as, &id).send(address).await;
        assert_eq!((response.status, response.is_whole), (200, true));
        assert!(!has_seen(&other, &id), "{response:?}");
    }
}

#[actix_rt::test]
async fn a_gateway_that_has_just_started_continues_unnamed_streams_of_the_only_version() {
    let replica = Replica::start_version("r0", "v1", Script::Stream).await;
    let fleet = fleet(&[replica]).await;
    let unnamed = TestRequest::post("/resumable/x", "a", "body").with("last-event-id", 1);
    let response = unnamed.send(fleet.gateway_address).await;
    assert_eq!((response.status, response.body), (200, events(2..5)));
    let named = resuming("never-seen", "b")
        .send(fleet.gateway_address)
        .await;
    assert_eq!(named.status, 503);
}

/// The list brings a new replica before its version: for that moment the service must not count as
/// one with several versions.
#[actix_rt::test]
async fn a_new_replica_of_the_only_version_does_not_stop_streams_whose_origin_is_lost() {
    let replica = Replica::start_version("r0", "v1", Script::Stream).await;
    let fleet = fleet(&[replica]).await;
    let resume = |id: &'static str| resuming("never-seen", id).send(fleet.gateway_address);
    wait_until(
        "the only version has been listed for long enough",
        || async { resume("early").await.status == 200 },
    )
    .await;
    let added = Replica::start_version("r1", "v1", Script::Stream).await;
    fleet.replicas.borrow_mut().push(added.clone());
    wait_until("the new replica gets requests", || async {
        let request = TestRequest::post("/resumable/x", "other", "body");
        request.send(fleet.gateway_address).await;
        added.requests() > 0
    })
    .await;
    assert_eq!(resume("late").await.status, 200);
}

#[actix_rt::test]
async fn a_caller_resumes_its_stream_when_all_replicas_of_its_version_begin_to_drain() {
    let first = Replica::start_version("r0", "v1", Script::StreamStalled(2)).await;
    let other = Replica::start_version("r1", "v2", Script::Stream).await;
    let fleet = fleet(&[first.clone(), other.clone()]).await;
    let began_as = abandoned_stream_at(&fleet, &first).await;
    first.set_script(Script::Stream);
    first.is_draining.set(true);
    wait_until("the gateway knows that the replica drains", || async {
        let before = first.requests();
        let requests = (0..4).map(|number| {
            let id = format!("new-{number}");
            TestRequest::post("/resumable/x", &id, "body").send(fleet.gateway_address)
        });
        futures_util::future::join_all(requests).await;
        first.requests() == before
    })
    .await;
    let response = resuming(&began_as, "late")
        .send(fleet.gateway_address)
        .await;
    assert_eq!((response.status, response.body), (200, events(2..5)));
    assert!(has_seen(&first, "late") && !has_seen(&other, "late"));
}

/// The list shows the version of an earlier process of the replica.
#[actix_rt::test]
async fn a_stream_is_not_taken_up_at_a_replica_that_is_back_with_another_version() {
    let replica = Replica::start_version("r0", "v1", Script::StreamStalled(2)).await;
    replica.started_ms.set(1);
    replica.running.set(Some(0));
    let fleet = fleet(std::slice::from_ref(&replica)).await;
    let (_second, second) = fleet.start_ready_second_gateway().await;
    let first_attempt = abandoned_stream_at(&fleet, &replica).await;
    *fleet.replicas.borrow_mut() = vec![replica.with_old_entry(1)];
    replica.started_ms.set(2);
    replica.set_script(Script::Stream);
    let before = replica.requests();
    let response = resuming(&first_attempt, "resumed").send(second).await;
    assert_eq!(
        (response.status, replica.requests()),
        (503, before),
        "{response:?}"
    );
}
