//! What the slopes come to at a given size.

use crate::capacity::Slope;
use serde::Serialize;

/// The size that luglink is designed for; see `CONTRIBUTING.md`.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TargetSize {
    /// Daemons.
    pub daemons: f64,
    /// Replicas.
    pub replicas: f64,
    /// Models.
    pub models: f64,
    /// Calls a second.
    pub calls_per_second: f64,
    /// Generated tokens a second.
    pub tokens_per_second: f64,
    /// Programs under way.
    pub programs: f64,
    /// Tokens of history of a program on average. Nobody has stated it: an assumption.
    pub history_tokens: f64,
    /// Changes a day.
    pub changes_per_day: f64,
    /// Control machines.
    pub control_members: f64,
    /// Copies of each program.
    pub replication: f64,
    /// Program groups.
    pub groups: f64,
}

impl TargetSize {
    /// The size within two years.
    pub const TWO_YEARS: Self = Self {
        daemons: 350.0,
        replicas: 610.0,
        models: 24.0,
        calls_per_second: 6_000.0,
        tokens_per_second: 1_800_000.0,
        programs: 75_000.0,
        history_tokens: 20_000.0,
        changes_per_day: 480.0,
        control_members: 8.0,
        replication: 3.0,
        groups: 128.0,
    };
}

/// Where a figure comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mark {
    /// Measured at the size itself.
    Measured,
    /// From slopes measured at smaller sizes.
    Extrapolated,
    /// Follows from how it is built; nothing was measured.
    Designed,
}

impl Mark {
    /// The mark in a table.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Measured => "measured",
            Self::Extrapolated => "extrapolated",
            Self::Designed => "designed",
        }
    }
}

/// One figure of one role.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// Role.
    pub role: &'static str,
    /// What.
    pub what: String,
    /// Value.
    pub value: f64,
    /// Unit.
    pub unit: &'static str,
    /// What carries it.
    pub mechanism: &'static str,
    /// Where it comes from.
    pub mark: Mark,
}

/// Bytes of a token in the emulated texts.
const BYTES_PER_TOKEN: f64 = 4.0;

/// Seconds between two watches of a daemon when nothing happens.
const WATCH_SECONDS: f64 = 2.5;

/// Seconds between two lease renewals of a daemon.
const RENEW_SECONDS: f64 = 4.0;

/// Bytes of one renewed lease, both ways, with its share of the frame.
const RENEW_BYTES: f64 = 40.0;

const SECONDS_PER_DAY: f64 = 86_400.0;

const MICROS_PER_SECOND: f64 = 1e6;

const MEBIBYTE: f64 = 1_048_576.0;

struct Slopes<'a>(&'a [Slope]);

impl Slopes<'_> {
    fn find(&self, name: &str) -> Option<&Slope> {
        self.0.iter().find(|slope| slope.name == name)
    }

    fn slope(&self, name: &str) -> f64 {
        self.find(name).map_or(0.0, |slope| slope.slope)
    }

    fn base(&self, name: &str) -> f64 {
        self.find(name).map_or(0.0, |slope| slope.base)
    }

    fn at(&self, name: &str, size: f64) -> f64 {
        self.base(name) + self.slope(name) * size
    }

    /// The value at the largest measured size: for quantities that do not grow.
    fn last(&self, name: &str) -> f64 {
        let points = self.find(name).map(|slope| slope.points.as_slice());
        points
            .and_then(<[_]>::last)
            .map_or(0.0, |(_, value)| *value)
    }
}

/// What the slopes come to, role by role.
#[must_use]
pub fn derive(slopes: &[Slope], size: &TargetSize) -> Vec<Figure> {
    let slopes = Slopes(slopes);
    let mut figures = daemon_figures(&slopes, size);
    figures.extend(control_figures(&slopes, size));
    figures.extend(engine_figures(size));
    figures.extend(operator_figures(&slopes, size));
    figures
}

fn figure(
    role: &'static str,
    what: impl Into<String>,
    value: f64,
    unit: &'static str,
    mechanism: &'static str,
    mark: Mark,
) -> Figure {
    Figure {
        role,
        what: what.into(),
        value,
        unit,
        mechanism,
        mark,
    }
}

fn daemon_figures(slopes: &Slopes<'_>, size: &TargetSize) -> Vec<Figure> {
    let role = "daemon (one of 350)";
    let calls = size.calls_per_second / size.daemons;
    let programs = size.programs / size.daemons;
    let pool = size.replicas / size.models;
    let call = slopes.last("daemon_call_micros") + slopes.at("routing_micros", pool);
    let changes = size.changes_per_day / SECONDS_PER_DAY;
    let watch = slopes.last("watch_bytes") / WATCH_SECONDS;
    let renew = RENEW_BYTES * calls / RENEW_SECONDS;
    let change_bytes = changes * slopes.at("configuration_bytes", pool);
    let change_micros = changes * slopes.at("configuration_micros", pool);
    let watch_micros = slopes.last("routing_micros") / WATCH_SECONDS;
    let history = programs * size.history_tokens * BYTES_PER_TOKEN;
    vec![
        figure(
            role,
            "calls",
            calls,
            "1/s",
            "one daemon beside each caller",
            Mark::Designed,
        ),
        figure(
            role,
            "processor: all logic of its calls, parts of answers included",
            calls * call / MICROS_PER_SECOND * 100.0,
            "% of a core",
            "pure logic, one event at a time",
            Mark::Extrapolated,
        ),
        figure(
            role,
            "processor: configuration, watches and leases",
            (change_micros + watch_micros) / MICROS_PER_SECOND * 100.0,
            "% of a core",
            "long polls, deltas",
            Mark::Extrapolated,
        ),
        figure(
            role,
            "bytes: configuration, watches and leases",
            watch + renew + change_bytes,
            "B/s",
            "long polls, deltas",
            Mark::Extrapolated,
        ),
        figure(
            role,
            "bytes: intents and outcomes, with the calls' own words",
            calls * slopes.last("daemon_call_bytes"),
            "B/s",
            "two commands a call",
            Mark::Extrapolated,
        ),
        figure(
            role,
            "memory: routers and configuration",
            slopes.at("daemon_replica_memory", size.replicas).max(0.0) / MEBIBYTE,
            "MiB",
            "subset of 64 replicas a pool",
            Mark::Extrapolated,
        ),
        figure(
            role,
            "memory: histories it serves, if all are kept",
            history / MEBIBYTE,
            "MiB",
            "history_cache_bytes bounds idle ones",
            Mark::Extrapolated,
        ),
    ]
}

fn control_figures(slopes: &Slopes<'_>, size: &TargetSize) -> Vec<Figure> {
    let role = "control member (one of 8)";
    let led = size.calls_per_second / size.control_members;
    let followed = led * (size.replication - 1.0);
    let output = size.tokens_per_second / size.calls_per_second;
    let leader = slopes.at("leader_token_micros", output);
    let ratio = slopes.last("follower_call_micros") / slopes.last("leader_call_micros").max(1e-9);
    let micros = led * leader + followed * leader * ratio;
    let copies = size.programs * size.replication / size.control_members;
    let per_group = size.programs / size.groups;
    let history = size.history_tokens * BYTES_PER_TOKEN;
    let idle_groups = size.groups / size.control_members;
    let idle = slopes.at("idle_second_micros", per_group) * idle_groups;
    let log = (led + followed) * slopes.at("log_call_bytes", output);
    vec![
        figure(
            role,
            "calls led",
            led,
            "1/s",
            "groups spread over members",
            Mark::Designed,
        ),
        figure(
            role,
            "processor: leading and following calls",
            micros / MICROS_PER_SECOND * 100.0,
            "% of a core",
            "state machine, group commit",
            Mark::Extrapolated,
        ),
        figure(
            role,
            "processor: heartbeats and housekeeping",
            idle / MICROS_PER_SECOND * 100.0,
            "% of a core",
            "one timer a group",
            Mark::Extrapolated,
        ),
        figure(
            role,
            "log written",
            log / MEBIBYTE,
            "MiB/s",
            "one log for all groups of a member",
            Mark::Extrapolated,
        ),
        figure(
            role,
            "memory: histories of programs under way",
            copies * history / MEBIBYTE,
            "MiB",
            "each program on three members",
            Mark::Extrapolated,
        ),
        figure(
            role,
            "state of one group, written whole as a snapshot",
            per_group * history / MEBIBYTE,
            "MiB",
            "128 groups",
            Mark::Extrapolated,
        ),
        figure(
            role,
            "daemons that watch it",
            size.daemons / size.control_members,
            "",
            "every member serves watches",
            Mark::Designed,
        ),
    ]
}

fn engine_figures(size: &TargetSize) -> Vec<Figure> {
    let role = "engine (one of 610)";
    let pool = size.replicas / size.models;
    let readers = size.daemons * (64.0 / pool).min(1.0);
    vec![
        figure(
            role,
            "daemons that read its events",
            readers,
            "",
            "subsets of 64 replicas a pool",
            Mark::Designed,
        ),
        figure(
            role,
            "calls",
            size.calls_per_second / size.replicas,
            "1/s",
            "router",
            Mark::Designed,
        ),
    ]
}

fn operator_figures(slopes: &Slopes<'_>, size: &TargetSize) -> Vec<Figure> {
    let pool = size.replicas / size.models;
    let change = slopes.at("configuration_bytes", pool);
    vec![
        figure(
            "operator client",
            "bytes of a change of one pool",
            change,
            "B",
            "gRPC, one revision order",
            Mark::Extrapolated,
        ),
        figure(
            "operator client",
            "bytes that one such change takes to all daemons",
            change * size.daemons / 1_024.0,
            "KiB",
            "deltas by long poll",
            Mark::Extrapolated,
        ),
    ]
}
