//! Control members: what calls, programs and time cost.

use crate::capacity::Slope;
use crate::capacity::cluster::{Cluster, begin, create, finish};
use crate::capacity::memory::{Probe, probe_all};
use std::time::Duration;

/// Programs of one group at which costs are measured.
const PROGRAMS: [u64; 4] = [500, 1_000, 2_000, 4_000];

/// Calls under way at once, which share a sync.
const BATCH: u64 = 50;

/// Tokens of a call's new messages, and of its answer.
const TURN_TOKENS: usize = 300;

/// Tokens of a turn at which the cost for each token is measured.
const TURNS: [usize; 3] = [30, 300, 1_200];

/// Seconds that an idle group is watched.
const IDLE_SECONDS: u64 = 20;

struct Measured {
    leader_micros: f64,
    follower_micros: f64,
    log_bytes: f64,
    idle_micros_per_second: f64,
    snapshot_bytes: f64,
    snapshot_micros: f64,
}

fn create_programs(cluster: &mut Cluster, programs: u64) {
    for first in (0..programs).step_by(BATCH as usize) {
        let last = (first + BATCH).min(programs);
        cluster.commit((first..last).map(create).collect());
    }
}

/// Makes one call of each program.
fn call_programs(cluster: &mut Cluster, programs: u64, turn_tokens: usize) {
    for first in (0..programs).step_by(BATCH as usize) {
        let last = (first + BATCH).min(programs);
        let intents = (first..last).map(|it| begin(it, 0, turn_tokens));
        cluster.commit(intents.collect());
        let outcomes = (first..last).map(|it| finish(it, 0, turn_tokens));
        cluster.commit(outcomes.collect());
    }
}

/// Memory while programs of one turn are held.
pub(crate) fn hold_programs(programs: u64, look: fn() -> u64) -> Option<u64> {
    let mut cluster = Cluster::start()?;
    create_programs(&mut cluster, programs);
    call_programs(&mut cluster, programs, TURN_TOKENS);
    Some(look())
}

fn run(programs: u64, turn_tokens: usize) -> Option<Measured> {
    let mut cluster = Cluster::start()?;
    create_programs(&mut cluster, programs);
    cluster.forget_spent();
    let disk_before = cluster.leader_disk_bytes();
    call_programs(&mut cluster, programs, turn_tokens);
    let (leader, follower) = cluster.spent_by_role();
    let log_bytes = cluster.leader_disk_bytes() - disk_before;
    cluster.forget_spent();
    for _ in 0..IDLE_SECONDS * 50 {
        cluster.tick(20);
    }
    let (idle, _) = cluster.spent_by_role();
    let (snapshot_bytes, snapshot_time) = cluster.snapshot_cost();
    let calls = programs as f64;
    Some(Measured {
        leader_micros: micros(leader) / calls,
        follower_micros: micros(follower) / calls,
        log_bytes: log_bytes as f64 / calls,
        idle_micros_per_second: micros(idle) / IDLE_SECONDS as f64,
        snapshot_bytes: snapshot_bytes as f64,
        snapshot_micros: micros(snapshot_time),
    })
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

pub(crate) fn measure() -> Vec<Slope> {
    let by_programs: Vec<(f64, Measured)> = PROGRAMS
        .iter()
        .filter_map(|programs| Some((*programs as f64, run(*programs, TURN_TOKENS)?)))
        .collect();
    let by_tokens: Vec<(f64, Measured)> = TURNS
        .iter()
        .filter_map(|tokens| Some((*tokens as f64, run(1_000, *tokens)?)))
        .collect();
    let points = |from: &[(f64, Measured)], value: fn(&Measured) -> f64| {
        from.iter().map(|(size, it)| (*size, value(it))).collect()
    };
    vec![
        Slope::fitted(
            "leader_call_micros",
            "leader's processor time for a call (intent and outcome, 50 to a sync)",
            "µs",
            "programs in the group",
            points(&by_programs, |it| it.leader_micros),
        ),
        Slope::fitted(
            "follower_call_micros",
            "follower's processor time for a call",
            "µs",
            "programs in the group",
            points(&by_programs, |it| it.follower_micros),
        ),
        Slope::fitted(
            "leader_token_micros",
            "leader's processor time for a call, by the tokens of a turn's question and answer",
            "µs",
            "tokens each way",
            points(&by_tokens, |it| it.leader_micros),
        ),
        Slope::fitted(
            "log_call_bytes",
            "log bytes for a call, by the tokens of a turn's question and answer",
            "B",
            "tokens each way",
            points(&by_tokens, |it| it.log_bytes),
        ),
        Slope::fitted(
            "idle_second_micros",
            "leader's processor time for a second in which nothing happens",
            "µs",
            "programs in the group",
            points(&by_programs, |it| it.idle_micros_per_second),
        ),
        Slope::fitted(
            "snapshot_bytes",
            "size of a group's snapshot, one turn of 300 tokens each way to a program",
            "B",
            "programs in the group",
            points(&by_programs, |it| it.snapshot_bytes),
        ),
        Slope::fitted(
            "snapshot_micros",
            "time to write a group's state into memory as a snapshot",
            "µs",
            "programs in the group",
            points(&by_programs, |it| it.snapshot_micros),
        ),
        Slope::fitted(
            "members_memory",
            "memory of three members with their logs in memory",
            "B",
            "programs in the group",
            probe_all(Probe::Programs, &PROGRAMS),
        ),
    ]
}
