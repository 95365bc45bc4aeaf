//! Commits a second against what the disk itself can sync, in the same run.

use crate::capacity::Slope;
use crate::capacity::cluster::{begin, create, finish};
use luglink_control::{ControlConfig, ControlNode, Input, Request, RequestToken};
use luglink_storage::{Disk, FileDisk};
use luglink_types::{MemberId, Timestamp};
use std::time::{Duration, Instant};

/// Time for which each rate is measured.
const SPAN: Duration = Duration::from_millis(600);

/// Calls under way at once.
const BATCHES: [u64; 4] = [1, 8, 32, 128];

const TURN_TOKENS: usize = 300;

/// Bytes of a raw write: what one small commit writes.
const RAW_BYTES: usize = 1_024;

fn raw_syncs_per_second(folder: &std::path::Path) -> Option<f64> {
    let mut disk = FileDisk::open(folder.join("raw")).ok()?;
    let block = vec![7; RAW_BYTES];
    let begun = Instant::now();
    let mut syncs = 0_u32;
    while begun.elapsed() < SPAN {
        disk.append("file", &block).ok()?;
        disk.sync("file").ok()?;
        syncs += 1;
    }
    Some(f64::from(syncs) / begun.elapsed().as_secs_f64())
}

/// Calls a second of one member that is its own majority, `batch` of them under way at once.
fn calls_per_second(folder: &std::path::Path, batch: u64) -> Option<f64> {
    let disk = FileDisk::open(folder.join(format!("member-{batch}"))).ok()?;
    let mut config = ControlConfig::new(MemberId(1), vec![MemberId(1)]);
    config.program_groups = 1;
    config.bootstrap = true;
    let mut now = Timestamp::from_millis(1_000_000);
    let mut node = ControlNode::start(config, disk, 3, now).ok()?;
    for _ in 0..100 {
        now = now.plus(Duration::from_millis(50));
        node.tick(now).ok()?;
        node.flush().ok()?;
    }
    let mut requests = 0;
    let mut commit = |node: &mut ControlNode<FileDisk>, commands: Vec<_>| -> Option<()> {
        for command in commands {
            requests += 1;
            let token = RequestToken {
                client: 1,
                request: requests,
            };
            let request = Box::new(Request::Program(command));
            node.handle(Input::Request { token, request }, now).ok()?;
        }
        node.flush().ok()?;
        Some(())
    };
    commit(&mut node, (0..batch).map(create).collect())?;
    let begun = Instant::now();
    let mut turn = 0;
    while begun.elapsed() < SPAN {
        let intents = (0..batch).map(|it| begin(it, turn, TURN_TOKENS));
        commit(&mut node, intents.collect())?;
        let outcomes = (0..batch).map(|it| finish(it, turn, TURN_TOKENS));
        commit(&mut node, outcomes.collect())?;
        turn += 1;
    }
    Some((turn * batch) as f64 / begun.elapsed().as_secs_f64())
}

pub(crate) fn measure() -> Vec<Slope> {
    let Ok(folder) = tempfile::tempdir() else {
        return Vec::new();
    };
    let Some(raw) = raw_syncs_per_second(folder.path()) else {
        return Vec::new();
    };
    let points: Vec<(f64, f64)> = BATCHES
        .iter()
        .filter_map(|batch| {
            Some((
                *batch as f64,
                calls_per_second(folder.path(), *batch)? / raw,
            ))
        })
        .collect();
    vec![
        Slope::fitted(
            "raw_syncs",
            "syncs a second of this machine's disk, 1 KiB each",
            "1/s",
            "(one size)",
            vec![(1.0, raw)],
        ),
        Slope::fitted(
            "calls_per_sync",
            "calls a second of one member, as a multiple of the disk's syncs a second in the same run",
            "×",
            "calls under way at once",
            points,
        ),
    ]
}
