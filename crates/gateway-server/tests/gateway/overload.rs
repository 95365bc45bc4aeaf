//! New programs before engines that have too much to do.

use crate::support::caller::{TestRequest, TestResponse};
use crate::support::replica::{Replica, Script};
use crate::support::{Fleet, configuration, wait_until};
use futures_util::future::join_all;
use luglink_scheduling::Features;
use luglink_types::{FeatureMode, FeatureModes};
use std::net::SocketAddr;

/// Rounds of turns that wait in vain, and turns in each.
const ROUNDS: usize = 8;
const TURNS: usize = 6;

/// Programs that come afterwards; far more than could all be let in by chance.
const NEW_PROGRAMS: usize = 60;

fn turn(program: &str, id: &str) -> TestRequest {
    TestRequest::post("/kept/x", id, "input")
        .with("luglink-program", program)
        .with("luglink-token-budget", 100_000)
        .with("luglink-token-usage", "100,50")
}

/// `usage`: tokens of each turn's prompt, and the most that it may generate.
async fn wait_in_vain(to: SocketAddr, usage: &str) {
    for round in 0..ROUNDS {
        let turns = (0..TURNS).map(|number| {
            let name = format!("late-{round}-{number}");
            let ask = turn("late", &name).with("luglink-token-usage", usage);
            ask.with("luglink-deadline-ms", 300).send(to)
        });
        join_all(turns).await;
    }
}

#[actix_rt::test]
async fn new_programs_are_refused_at_once_and_those_that_have_begun_go_on() {
    let replica = Replica::start("r0", Script::Stream).await;
    let fleet = Fleet::start(vec![replica.clone()]).await;
    fleet.configure(&configuration(1)).await;
    let gateway = fleet.gateway_address;
    assert_eq!(turn("begun", "begun-1").send(gateway).await.status, 200);

    *replica.script.borrow_mut() = Script::Mute;
    wait_in_vain(gateway, "100,50").await;
    *replica.script.borrow_mut() = Script::Stream;

    let mut refused: Vec<(String, TestResponse)> = Vec::new();
    for number in 0..NEW_PROGRAMS {
        let name = format!("new-{number}");
        let got = turn(&name, &name).send(gateway).await;
        if got.status == 503 {
            refused.push((name, got));
        }
    }
    assert!(!refused.is_empty(), "everyone was let in");
    assert!(refused.len() < NEW_PROGRAMS, "nobody was let in");
    for (name, got) in &refused {
        assert!(got.header("retry-after").is_some(), "{got:?}");
        let ran = replica.seen.borrow().iter().any(|seen| seen.id() == name);
        assert!(!ran, "{name} was refused and has run");
    }
    // Neither the next turn of a program that has begun nor its sub-agents wait for anything.
    let next = turn("begun", "begun-2").with("luglink-previous-turn", "begun-1");
    assert_eq!(next.send(gateway).await.status, 200);
    assert_eq!(turn("begun", "begun-sub").send(gateway).await.status, 200);
}

/// Programs are let in by the memory that those under way need; one replica has 1,000 tokens.
fn by_working_set() -> Features {
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

/// Usage of a turn that needs next to no memory, so that only lateness could refuse it.
const SMALL: &str = "1,50";

/// Such a turn of a program of its own.
fn small_turn(program: &str) -> TestRequest {
    turn(program, program).with("luglink-token-usage", SMALL)
}

#[actix_rt::test]
async fn no_program_begins_beyond_the_memory_and_those_under_way_go_on() {
    let replica = Replica::start("r0", Script::StreamEndless).await;
    let fleet = Fleet::start_with_features(vec![replica.clone()], by_working_set()).await;
    fleet.configure(&configuration(1)).await;
    let gateway = fleet.gateway_address;
    let first = large_turn("begun", "begun-1").with("luglink-deadline-ms", 1_500);
    let under_way = actix_rt::spawn(first.send(gateway));
    wait_until("the first turn runs", || async { replica.requests() == 1 }).await;

    let refused = large_turn("new", "new-1").send(gateway).await;
    assert_eq!(refused.status, 503);
    let retry_delay: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    // A third of the three seconds that the caller has.
    assert!(retry_delay > 0.0 && retry_delay <= 1.0, "{retry_delay}");
    assert_eq!(replica.requests(), 1, "a refused program has run");

    // A sub-agent of the program under way needs no leave, and small ones find room.
    replica.set_script(Script::Stream);
    let sub = large_turn("begun", "begun-2").send(gateway).await;
    assert_eq!(sub.status, 200);
    assert_eq!(turn("small", "small-1").send(gateway).await.status, 200);
    under_way.await.unwrap();

    // Once it has ended there is room for the one that was refused.
    wait_until("there is room again", || async {
        large_turn("new", "new-1").send(gateway).await.status == 200
    })
    .await;
}

#[actix_rt::test]
async fn lateness_refuses_nobody_where_the_working_set_decides() {
    let replica = Replica::start("r0", Script::Mute).await;
    let fleet = Fleet::start_with_features(vec![replica.clone()], by_working_set()).await;
    fleet.configure(&configuration(1)).await;
    wait_in_vain(fleet.gateway_address, SMALL).await;
    replica.set_script(Script::Stream);
    // Those that waited in vain have ended; nothing is under way.
    wait_until("there is room again", || async {
        let got = small_turn("after").send(fleet.gateway_address).await;
        got.status == 200
    })
    .await;
    for number in 0..NEW_PROGRAMS {
        let name = format!("new-{number}");
        let got = small_turn(&name).send(fleet.gateway_address).await;
        assert_eq!(got.status, 200, "{name}: {got:?}");
    }
}
