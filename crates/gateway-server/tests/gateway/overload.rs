//! New programs before engines that have too much to do.

use crate::support::caller::{Ask, Got};
use crate::support::replica::{Replica, Script};
use crate::support::{Fleet, configuration};
use futures_util::future::join_all;
use std::net::SocketAddr;

/// Rounds of turns that wait in vain, and turns in each.
const ROUNDS: usize = 8;
const TURNS: usize = 6;

/// Programs that come afterwards; far more than could all be let in by chance.
const NEW_PROGRAMS: usize = 60;

fn turn(program: &str, id: &str) -> Ask {
    Ask::post("/kept/x", id, "input")
        .with("luglink-program", program)
        .with("luglink-token-budget", 100_000)
        .with("luglink-token-usage", "100,50")
}

async fn wait_in_vain(to: SocketAddr) {
    for round in 0..ROUNDS {
        let turns = (0..TURNS).map(|number| {
            let name = format!("late-{round}-{number}");
            let ask = turn("late", &name).with("luglink-deadline-ms", 300);
            ask.send(to)
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
    wait_in_vain(gateway).await;
    *replica.script.borrow_mut() = Script::Stream;

    let mut refused: Vec<(String, Got)> = Vec::new();
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
