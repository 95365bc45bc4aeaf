//! Admission of new programs while the engines are overloaded.

use crate::support::caller::{TestRequest, TestResponse};
use crate::support::replica::{Replica, Script};
use crate::support::{Fleet, configuration, wait_until};
use futures_util::future::join_all;
use luglink_scheduling::Features;
use luglink_types::{FeatureMode, FeatureModes};
use std::net::SocketAddr;

/// Rounds of turns that time out, and turns in each round.
const ROUNDS: usize = 8;
const TURNS: usize = 6;

/// Programs that arrive afterwards: too many for all of them to be admitted by chance.
const NEW_PROGRAMS: usize = 60;

fn turn(program: &str, id: &str) -> TestRequest {
    TestRequest::post("/kept/x", id, "input")
        .with("luglink-program", program)
        .with("luglink-token-budget", 100_000)
        .with("luglink-token-usage", "100,50")
}

/// Sends turns that time out. `usage` holds the prompt tokens and the maximum number of generated
/// tokens of each turn.
async fn send_turns_that_time_out(to: SocketAddr, usage: &str) {
    for round in 0..ROUNDS {
        let turns = (0..TURNS).map(|number| {
            let name = format!("late-{round}-{number}");
            let request = turn("late", &name).with("luglink-token-usage", usage);
            request.with("luglink-deadline-ms", 300).send(to)
        });
        join_all(turns).await;
    }
}

#[actix_rt::test]
async fn new_programs_are_refused_at_once_and_running_ones_continue() {
    let replica = Replica::start("r0", Script::Stream).await;
    let fleet = Fleet::start(vec![replica.clone()]).await;
    fleet.configure(&configuration(1)).await;
    let gateway = fleet.gateway_address;
    assert_eq!(turn("begun", "begun-1").send(gateway).await.status, 200);

    *replica.script.borrow_mut() = Script::Mute;
    send_turns_that_time_out(gateway, "100,50").await;
    *replica.script.borrow_mut() = Script::Stream;

    let mut refused: Vec<(String, TestResponse)> = Vec::new();
    for number in 0..NEW_PROGRAMS {
        let name = format!("new-{number}");
        let response = turn(&name, &name).send(gateway).await;
        if response.status == 503 {
            refused.push((name, response));
        }
    }
    assert!(!refused.is_empty(), "all new programs were admitted");
    assert!(refused.len() < NEW_PROGRAMS, "no new program was admitted");
    for (name, response) in &refused {
        assert!(response.header("retry-after").is_some(), "{response:?}");
        let ran = replica.seen.borrow().iter().any(|seen| seen.id() == name);
        assert!(!ran, "{name} was refused but has run");
    }
    // Further turns and sub-agents of a running program are not subject to admission.
    let next = turn("begun", "begun-2").with("luglink-previous-turn", "begun-1");
    assert_eq!(next.send(gateway).await.status, 200);
    assert_eq!(turn("begun", "begun-sub").send(gateway).await.status, 200);
}

/// Features that admit programs by working set. One replica has memory for 1,000 tokens.
fn working_set_features() -> Features {
    let switches = FeatureModes {
        working_set: FeatureMode::On,
        fair_shares: FeatureMode::On,
        ..FeatureModes::default()
    };
    Features::new(switches, false)
}

fn large_turn(program: &str, id: &str) -> TestRequest {
    turn(program, id).with("luglink-token-usage", "600,50")
}

/// Usage of a turn that needs almost no memory, so that only lateness could cause a refusal.
const SMALL_USAGE: &str = "1,50";

/// A turn with that usage, of a program of its own.
fn small_turn(program: &str) -> TestRequest {
    turn(program, program).with("luglink-token-usage", SMALL_USAGE)
}

#[actix_rt::test]
async fn no_program_starts_beyond_the_memory_and_running_ones_continue() {
    let replica = Replica::start("r0", Script::StreamEndless).await;
    let fleet = Fleet::start_with_features(vec![replica.clone()], working_set_features()).await;
    fleet.configure(&configuration(1)).await;
    let gateway = fleet.gateway_address;
    let first = large_turn("begun", "begun-1").with("luglink-deadline-ms", 1_500);
    let running = actix_rt::spawn(first.send(gateway));
    wait_until("the first turn is running", || async {
        replica.requests() == 1
    })
    .await;

    let refused = large_turn("new", "new-1").send(gateway).await;
    assert_eq!(refused.status, 503);
    let retry_delay: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    // One third of the three seconds that the caller has left.
    assert!(retry_delay > 0.0 && retry_delay <= 1.0, "{retry_delay}");
    assert_eq!(
        replica.requests(),
        1,
        "a refused program was sent to a replica"
    );

    // A sub-agent of the running program is not subject to admission, and a small program fits.
    replica.set_script(Script::Stream);
    let sub = large_turn("begun", "begun-2").send(gateway).await;
    assert_eq!(sub.status, 200);
    assert_eq!(turn("small", "small-1").send(gateway).await.status, 200);
    running.await.unwrap();

    // After the running program has ended, the refused one is admitted.
    wait_until("the refused program is admitted", || async {
        large_turn("new", "new-1").send(gateway).await.status == 200
    })
    .await;
}

#[actix_rt::test]
async fn late_first_events_do_not_matter_where_admission_is_by_working_set() {
    let replica = Replica::start("r0", Script::Mute).await;
    let fleet = Fleet::start_with_features(vec![replica.clone()], working_set_features()).await;
    fleet.configure(&configuration(1)).await;
    send_turns_that_time_out(fleet.gateway_address, SMALL_USAGE).await;
    replica.set_script(Script::Stream);
    // The turns that timed out have ended; no program is running.
    wait_until("a new program is admitted", || async {
        let response = small_turn("after").send(fleet.gateway_address).await;
        response.status == 200
    })
    .await;
    for number in 0..NEW_PROGRAMS {
        let name = format!("new-{number}");
        let response = small_turn(&name).send(fleet.gateway_address).await;
        assert_eq!(response.status, 200, "{name}: {response:?}");
    }
}
