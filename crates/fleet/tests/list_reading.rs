//! Who reads the platform's list, against a platform that answers so many calls a second.

use luglink_fleet::{ListReadLimits, ListReadSchedule, ListReader};
use luglink_types::Timestamp;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(50);

/// Calls that one reader gets done in a step: it asks for a page after the other.
const CALLS_A_STEP: u32 = 10;

const RATES: ListReadLimits = ListReadLimits {
    calls_per_s: 390.0,
    min_interval: Duration::from_millis(150),
    stale_after: Duration::from_millis(2_500),
};

/// A process that reads when it is due.
struct Process {
    reader: ListReader,
    reading: ListReadSchedule,
    /// When the platform showed its list.
    seen: Option<Timestamp>,
    /// When its reading began, and the pages that it still needs.
    under_way: Option<(Timestamp, u32)>,
}

/// Processes before a platform that refuses what is beyond its rate.
struct Model {
    now: Timestamp,
    processes: Vec<Process>,
    pages: u32,
    /// Calls that the platform may still answer.
    credit: f64,
    draws: u64,
    calls: u32,
    readings: u32,
}

impl Model {
    fn new(count: u32, replicas: usize, reader: ListReader, seen: Option<Timestamp>) -> Self {
        let process = || {
            let mut reading = ListReadSchedule::new(RATES);
            reading.expect_replicas(replicas);
            Process {
                reader,
                reading,
                seen,
                under_way: None,
            }
        };
        Self {
            now: Timestamp::from_millis(1_000_000),
            processes: (0..count).map(|_| process()).collect(),
            pages: u32::try_from(replicas / 200 + 1).unwrap(),
            credit: RATES.calls_per_s,
            draws: 0,
            calls: 0,
            readings: 0,
        }
    }

    fn draw(&mut self) -> u64 {
        self.draws += 1;
        xxhash_rust::xxh3::xxh3_64(&self.draws.to_le_bytes())
    }

    fn step(&mut self) {
        self.now = self.now.plus(STEP);
        let refill = RATES.calls_per_s * STEP.as_secs_f64();
        self.credit = (self.credit + refill).min(RATES.calls_per_s);
        for number in 0..self.processes.len() {
            let draw = self.draw();
            let now = self.now;
            let process = &mut self.processes[number];
            let age = process.seen.map(|seen| now.since(seen));
            if process.under_way.is_none() && process.reading.is_due(process.reader, age, now, draw)
            {
                process.under_way = Some((now, self.pages));
            }
            self.call(number, draw);
        }
    }

    fn call(&mut self, number: usize, draw: u64) {
        let process = &mut self.processes[number];
        let Some((began, left)) = process.under_way else {
            return;
        };
        let calls = left.min(CALLS_A_STEP);
        for _ in 0..calls {
            self.calls += 1;
            if self.credit < 1.0 {
                process.reading.failed(true, began, draw);
                process.under_way = None;
                return;
            }
            self.credit -= 1.0;
        }
        process.under_way = Some((began, left - calls));
        if left == calls {
            process.reading.succeeded(self.pages, began, draw);
            process.seen = Some(began);
            process.under_way = None;
            self.readings += 1;
        }
    }

    /// Calls a second in the next seconds.
    fn calls_per_s(&mut self, seconds: u32) -> f64 {
        self.calls = 0;
        for _ in 0..seconds * 20 {
            self.step();
        }
        f64::from(self.calls) / f64::from(seconds)
    }
}

/// The whole fleet, and twice that.
const FLEETS: [(u32, usize); 2] = [(900, 9_999), (1_800, 20_000)];

/// What broke first at this size: each gateway counted one gateway, and asked a platform that
/// refused again after 60 ms for ever, ten thousand times a second.
#[test]
fn those_that_no_member_has_told_anything_ask_the_platform_nothing() {
    for (gateways, replicas) in FLEETS {
        let seen = Some(Timestamp::from_millis(1_000_000));
        let has_list_only = [ListReader::Gateway(0), ListReader::Member(0)].map(|it| (it, seen));
        // After a start all wait for their first list, and do not know how long it is.
        let is_told_only = [ListReader::Gateway(gateways), ListReader::Member(66)];
        let is_told_only = is_told_only.map(|reader| (reader, None));
        for (reader, seen) in has_list_only.into_iter().chain(is_told_only) {
            let mut model = Model::new(gateways, replicas, reader, seen);
            assert_eq!(model.calls_per_s(60), 0.0);
        }
    }
}

#[test]
fn gateways_that_lose_all_members_stay_within_their_share_however_many_they_are() {
    for (gateways, replicas) in FLEETS {
        let reader = ListReader::Gateway(gateways);
        let seen = Some(Timestamp::from_millis(1_000_000));
        let mut model = Model::new(gateways, replicas, reader, seen);
        for _ in 0..10 {
            let calls = model.calls_per_s(30);
            assert!(calls < RATES.calls_per_s * 0.5, "{gateways}: {calls}");
        }
        assert!(model.readings > 100, "the rest of the rate is not wasted");
        // Members are back: their word is younger than what counts as old.
        for process in &mut model.processes {
            process.seen = Some(Timestamp::MAX);
            process.under_way = None;
        }
        assert_eq!(model.calls_per_s(10), 0.0);
    }
}

/// They count a tenth of the gateways that there are, as after a split: what is asked then is far
/// beyond the rate, and must fall by itself.
#[test]
fn refusals_make_readers_ask_less_until_the_platform_keeps_up() {
    for (gateways, replicas) in FLEETS {
        let reader = ListReader::Gateway(gateways / 50);
        let seen = Some(Timestamp::from_millis(1_000_000));
        let mut model = Model::new(gateways, replicas, reader, seen);
        model.calls_per_s(120);
        let calls = model.calls_per_s(60);
        assert!(calls < RATES.calls_per_s * 2.0, "{gateways}: {calls}");
        assert!(model.readings > 0);
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
            assert!(calls < RATES.calls_per_s * 0.45, "{members}: {calls}");
        }
        assert!(model.readings >= 50, "{}", model.readings);
    }
}

/// A longer list must not make the word of a leaving replica later than the bound allows, and a
/// leader must leave most of the platform's calls to others.
#[test]
fn the_leader_reads_so_often_that_the_list_is_never_old() {
    for replicas in [20, 200, 9_999, 20_000] {
        let mut model = Model::new(1, replicas, ListReader::Leader, None);
        let calls = model.calls_per_s(60);
        assert!(calls < RATES.calls_per_s * 0.25, "{replicas}: {calls}");
        let mut oldest = Duration::ZERO;
        for _ in 0..400 {
            model.step();
            let seen = model.processes[0].seen.unwrap();
            oldest = oldest.max(model.now.since(seen));
        }
        assert!(oldest < RATES.stale_after, "{replicas}: {oldest:?}");
    }
}

/// A leader that was none before reads at once: what it was told last may be old.
#[test]
fn a_new_leader_reads_at_once() {
    let mut reading = ListReadSchedule::new(RATES);
    let now = Timestamp::from_millis(1_000_000);
    let young = Some(Duration::from_millis(10));
    assert!(!reading.is_due(ListReader::Member(5), young, now, 1));
    assert!(reading.is_due(ListReader::Leader, young, now, 1));
}
