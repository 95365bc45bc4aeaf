//! Runs under way at gateways, as one store knows them.
//!
//! A store tells nobody of these runs while their gateways are heard of. If a gateway is lost, its
//! runs are in doubt.

use crate::crash_parts::RunUpdate;
use crate::crash_reports::{RunId, RunReport};
use crate::fingerprint::RequestFingerprint;
use luglink_types::Timestamp;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Time without an update after which a gateway with runs under way counts as lost. Gateways send
/// updates several times as often.
pub const SESSION_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum number of runs of one gateway. Further ones are not kept.
const MAX_SESSION_RUNS: usize = 1 << 12;

/// Runs of one process of a gateway.
#[derive(Clone, Debug)]
struct Session {
    runs: HashMap<RunId, RunReport>,
    last_update: Timestamp,
}

/// Runs under way by the process of the gateway that serves them.
#[derive(Clone, Debug, Default)]
pub struct RunsUnderWay {
    sessions: HashMap<u64, Session>,
    /// Sessions of the runs of each request.
    by_request: BTreeMap<(RequestFingerprint, RunId), u64>,
}

impl RunsUnderWay {
    /// Applies an update. Returns true if its session was not known.
    pub fn update(&mut self, update: &RunUpdate, now: Timestamp) -> bool {
        let is_new = !self.sessions.contains_key(&update.session);
        let session = self.sessions.entry(update.session).or_insert(Session {
            runs: HashMap::new(),
            last_update: now,
        });
        session.last_update = now;
        for run in &update.begun {
            if session.runs.len() < MAX_SESSION_RUNS {
                session.runs.insert(run.run, run.clone());
                let key = (run.request, run.run);
                self.by_request.insert(key, update.session);
            }
        }
        for run in &update.ended {
            if let Some(ended) = session.runs.remove(run) {
                self.by_request.remove(&(ended.request, ended.run));
            }
        }
        is_new
    }

    /// Returns the runs of a request.
    pub fn of(&self, request: RequestFingerprint) -> impl Iterator<Item = &RunReport> {
        let range = (request, RunId(0))..=(request, RunId(u64::MAX));
        let runs = self.by_request.range(range);
        runs.filter_map(|((_, run), session)| self.sessions.get(session)?.runs.get(run))
    }

    /// Removes a session. Returns its runs.
    pub fn end_session(&mut self, session: u64) -> Vec<RunReport> {
        let Some(session) = self.sessions.remove(&session) else {
            return Vec::new();
        };
        let runs: Vec<RunReport> = session.runs.into_values().collect();
        for run in &runs {
            self.by_request.remove(&(run.request, run.run));
        }
        runs
    }

    /// Removes the sessions of gateways that count as lost. Returns their runs.
    pub fn take_silent(&mut self, now: Timestamp) -> Vec<RunReport> {
        let sessions = self.sessions.iter();
        let silent =
            sessions.filter(|(_, session)| now.since(session.last_update) >= SESSION_TIMEOUT);
        let silent: Vec<u64> = silent.map(|(session, _)| *session).collect();
        let ended = silent.into_iter().map(|session| self.end_session(session));
        ended.flatten().collect()
    }

    /// Returns all runs as updates.
    pub fn as_updates(&self) -> impl Iterator<Item = RunUpdate> {
        let sessions = self.sessions.iter();
        sessions.map(|(session, runs)| RunUpdate {
            session: *session,
            begun: runs.runs.values().cloned().collect(),
            ended: Vec::new(),
        })
    }

    /// Number of runs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Returns true if no run is under way.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }
}
