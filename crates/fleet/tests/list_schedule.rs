//! Schedules of the readers of the platform's list, against a platform with a rate limit.

use luglink_fleet::{ListReadLimits, ListReadSchedule, ListReader};
use luglink_types::Timestamp;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(50);

/// Number of calls that one reader makes in a step: it requests the pages one after the other.
const CALLS_PER_STEP: u32 = 10;

const LIMITS: ListReadLimits = ListReadLimits {
    calls_per_s: 390.0,
    min_interval: Duration::from_millis(150),
    stale_after: Duration::from_millis(2_500),
};

/// A process that reads the list when its schedule says so.
struct Process {
    reader: ListReader,
    schedule: ListReadSchedule,
    /// Time at which its list was read from the platform.
    seen: Option<Timestamp>,
    /// Start time of its current read, and the number of pages left.
    in_progress: Option<(Timestamp, u32)>,
}

/// Processes and a platform that rejects calls beyond its rate limit.
struct Model {
    now: Timestamp,
    processes: Vec<Process>,
    pages: u32,
    /// Number of calls that the platform accepts now.
    credit: f64,
    draws: u64,
    calls: u32,
    completed_reads: u32,
}

impl Model {
    fn new(count: u32, replicas: usize, reader: ListReader, seen: Option<Timestamp>) -> Self {
        let process = || {
            let mut schedule = ListReadSchedule::new(LIMITS);
            schedule.expect_replicas(replicas);
            Process {
                reader,
                schedule,
                seen,
                in_progress: None,
            }
        };
        Self {
            now: Timestamp::from_millis(1_000_000),
            processes: (0..count).map(|_| process()).collect(),
            pages: u32::try_from(replicas / 200 + 1).unwrap(),
            credit: LIMITS.calls_per_s,
            draws: 0,
            calls: 0,
            completed_reads: 0,
        }
    }

    fn draw(&mut self) -> u64 {
        self.draws += 1;
        xxhash_rust::xxh3::xxh3_64(&self.draws.to_le_bytes())
    }

    fn step(&mut self) {
        self.now = self.now.plus(STEP);
        let refill = LIMITS.calls_per_s * STEP.as_secs_f64();
        self.credit = (self.credit + refill).min(LIMITS.calls_per_s);
        for number in 0..self.processes.len() {
            let draw = self.draw();
            let now = self.now;
            let process = &mut self.processes[number];
            let age = process.seen.map(|seen| now.since(seen));
            if process.in_progress.is_none()
                && process.schedule.is_due(process.reader, age, now, draw)
            {
                process.in_progress = Some((now, self.pages));
            }
            self.call(number, draw);
        }
    }

    fn call(&mut self, number: usize, draw: u64) {
        let process = &mut self.processes[number];
        let Some((began, left)) = process.in_progress else {
            return;
        };
        let calls = left.min(CALLS_PER_STEP);
        for _ in 0..calls {
            self.calls += 1;
            if self.credit < 1.0 {
                process.schedule.failed(true, began, draw);
                process.in_progress = None;
                return;
            }
            self.credit -= 1.0;
        }
        process.in_progress = Some((began, left - calls));
        if left == calls {
            process.schedule.succeeded(self.pages, began, draw);
            process.seen = Some(began);
            process.in_progress = None;
            self.completed_reads += 1;
        }
    }

    /// Runs the model for some seconds and returns the call rate.
    fn calls_per_s(&mut self, seconds: u32) -> f64 {
        self.calls = 0;
        for _ in 0..seconds * 20 {
            self.step();
        }
        f64::from(self.calls) / f64::from(seconds)
    }
}

/// Numbers of gateways and replicas in the target fleet, and in one twice as large.
const FLEETS: [(u32, usize); 2] = [(900, 9_999), (1_800, 20_000)];

/// Guards against overloading the platform at a start: if each gateway assumes that it is the only
/// one and retries a rejected call every 60 ms, the fleet makes ten thousand calls a second.
#[test]
fn processes_without_a_list_or_without_the_fleet_size_do_not_call_the_platform() {
    for (gateways, replicas) in FLEETS {
        let seen = Some(Timestamp::from_millis(1_000_000));
        let with_list_only = [ListReader::Gateway(0), ListReader::Member(0)].map(|it| (it, seen));
        // After a start all processes wait for their first list and do not know its length.
        let with_size_only = [ListReader::Gateway(gateways), ListReader::Member(66)];
        let with_size_only = with_size_only.map(|reader| (reader, None));
        for (reader, seen) in with_list_only.into_iter().chain(with_size_only) {
            let mut model = Model::new(gateways, replicas, reader, seen);
            assert_eq!(model.calls_per_s(60), 0.0);
        }
    }
}

#[test]
fn gateways_that_lose_all_members_stay_within_their_share_in_any_fleet_size() {
    for (gateways, replicas) in FLEETS {
        let reader = ListReader::Gateway(gateways);
        let seen = Some(Timestamp::from_millis(1_000_000));
        let mut model = Model::new(gateways, replicas, reader, seen);
        for _ in 0..10 {
            let calls = model.calls_per_s(30);
            assert!(calls < LIMITS.calls_per_s * 0.5, "{gateways}: {calls}");
        }
        assert!(model.completed_reads > 100, "too few reads complete");
        // Members are back and send lists that are not stale.
        for process in &mut model.processes {
            process.seen = Some(Timestamp::MAX);
            process.in_progress = None;
        }
        assert_eq!(model.calls_per_s(10), 0.0);
    }
}

/// After a partition, gateways may know a number of gateways that is far too low. Their calls then
/// exceed the platform's rate limit, and backoff must reduce them.
#[test]
fn rejected_readers_back_off_until_the_platform_keeps_up() {
    for (gateways, replicas) in FLEETS {
        let reader = ListReader::Gateway(gateways / 50);
        let seen = Some(Timestamp::from_millis(1_000_000));
        let mut model = Model::new(gateways, replicas, reader, seen);
        model.calls_per_s(120);
        let calls = model.calls_per_s(60);
        assert!(calls < LIMITS.calls_per_s * 2.0, "{gateways}: {calls}");
        assert!(model.completed_reads > 0);
    }
}

#[test]
fn members_without_a_leader_stay_within_their_share() {
    for (members, replicas) in [(66, 9_999), (132, 20_000)] {
        let seen = Some(Timestamp::from_millis(1_000_000));
        let reader = ListReader::Member(members);
        let mut model = Model::new(members, replicas, reader, seen);
        for _ in 0..5 {
            let calls = model.calls_per_s(30);
            assert!(calls < LIMITS.calls_per_s * 0.45, "{members}: {calls}");
        }
        assert!(model.completed_reads >= 50, "{}", model.completed_reads);
    }
}

/// With a long list, draining replicas must still become known in time, and the leader must leave
/// most of the platform's rate limit to others.
#[test]
fn the_leader_reads_often_enough_that_the_list_is_never_stale() {
    for replicas in [20, 200, 9_999, 20_000] {
        let mut model = Model::new(1, replicas, ListReader::Leader, None);
        let calls = model.calls_per_s(60);
        assert!(calls < LIMITS.calls_per_s * 0.25, "{replicas}: {calls}");
        let mut oldest = Duration::ZERO;
        for _ in 0..400 {
            model.step();
            let seen = model.processes[0].seen.unwrap();
            oldest = oldest.max(model.now.since(seen));
        }
        assert!(oldest < LIMITS.stale_after, "{replicas}: {oldest:?}");
    }
}

/// The list that a new leader received last may be old.
#[test]
fn a_new_leader_reads_immediately() {
    let mut schedule = ListReadSchedule::new(LIMITS);
    let now = Timestamp::from_millis(1_000_000);
    let young = Some(Duration::from_millis(10));
    assert!(!schedule.is_due(ListReader::Member(5), young, now, 1));
    assert!(schedule.is_due(ListReader::Leader, young, now, 1));
}
