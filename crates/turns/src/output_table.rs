//! Outputs of recent streams, so that any gateway can complete a turn whose stream another one began.
//!
//! Like origins, they are kept in memory only.

use crate::fingerprint::RequestFingerprint;
use crate::origins::{MAX_RETENTION, MAX_STREAM_ID_BYTES};
use crate::record::TurnId;
use crate::stream_output::StreamOutput;
use luglink_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Maximum size of the output of one run that is kept. The rest of a longer one is missing.
const MAX_RUN_BYTES: usize = 1 << 20;

/// Maximum number of runs of a stream whose outputs are kept.
const MAX_RUNS: usize = 8;

/// Size of an entry without its events, in bytes.
const ENTRY_BYTES: usize = 256;

/// Events of one run of a stream that are added to those before them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutputUpdate {
    /// Identifies the run: one attempt of a caller at one gateway.
    pub run: u64,
    /// The request, the same for all its attempts.
    pub request: RequestFingerprint,
    /// Number of events of the answer before these, including those of earlier attempts.
    pub position: u64,
    /// The events.
    pub events: StreamOutput,
}

/// Query for the output of a stream up to an event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutputQuery {
    /// The request, the same for all its attempts.
    pub request: RequestFingerprint,
    /// Identifier of the last event that the caller has.
    pub last_event_id: String,
}

/// Output of a stream from its first event on, as far as it is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownOutput {
    /// The events.
    pub events: StreamOutput,
    /// True if the event of the query is the last one. Otherwise none of them is that event.
    pub is_complete: bool,
}

impl KnownOutput {
    /// Returns true if this output serves a query better than `other`.
    #[must_use]
    pub fn is_better_than(&self, other: Option<&Self>) -> bool {
        other.is_none_or(|other| {
            let rank = |known: &Self| (known.is_complete, known.events.len());
            rank(self) > rank(other)
        })
    }
}

#[derive(Clone, Debug)]
struct RunOutput {
    run: u64,
    request: RequestFingerprint,
    events: StreamOutput,
}

#[derive(Clone, Debug)]
struct KeptStream {
    expires_at: Timestamp,
    bytes: usize,
    /// Runs in the order in which they began.
    runs: Vec<RunOutput>,
}

impl KeptStream {
    fn size(&self) -> usize {
        let runs = self.runs.iter();
        ENTRY_BYTES + runs.map(|run| run.events.size()).sum::<usize>()
    }
}

/// Outputs of streams by the identifier of the request that began the stream.
#[derive(Clone, Debug)]
pub struct OutputTable {
    max_bytes: usize,
    bytes: usize,
    streams: HashMap<TurnId, KeptStream>,
    /// The same streams by the time at which their outputs expire.
    expiries: BTreeSet<(Timestamp, TurnId)>,
}

impl OutputTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            bytes: 0,
            streams: HashMap::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// Adds events to the output of a run and returns the number of its events that are kept. Events
    /// after a gap are not added. If the table is full, the outputs that expire first are dropped.
    pub fn add(
        &mut self,
        stream: &TurnId,
        update: &OutputUpdate,
        retention: Duration,
        now: Timestamp,
    ) -> u64 {
        self.expire(now);
        if !update.events.is_valid() || stream.0.len() > MAX_STREAM_ID_BYTES {
            return 0;
        }
        let expires_at = now.plus(retention.min(MAX_RETENTION));
        let kept = self.streams.entry(stream.clone()).or_insert_with(|| {
            self.expiries.insert((expires_at, stream.clone()));
            KeptStream {
                expires_at,
                bytes: 0,
                runs: Vec::new(),
            }
        });
        let count = add_to_run(&mut kept.runs, update);
        let bytes = kept.size();
        self.bytes = self.bytes - kept.bytes + bytes;
        kept.bytes = bytes;
        self.drop_excess();
        match self.streams.contains_key(stream) {
            true => count as u64,
            false => 0,
        }
    }

    fn drop_excess(&mut self) {
        while self.bytes > self.max_bytes {
            let Some((_, dropped)) = self.expiries.pop_first() else {
                return;
            };
            self.forget(&dropped);
        }
    }

    fn forget(&mut self, stream: &TurnId) {
        if let Some(dropped) = self.streams.remove(stream) {
            self.bytes -= dropped.bytes;
        }
    }

    /// Returns the output that serves a query best: that of the latest run which has the event, or else
    /// the longest one.
    #[must_use]
    pub fn find(
        &self,
        stream: &TurnId,
        query: &OutputQuery,
        now: Timestamp,
    ) -> Option<KnownOutput> {
        let kept = self.streams.get(stream);
        let kept = kept.filter(|kept| kept.expires_at > now)?;
        let runs = kept.runs.iter().rev();
        let mut runs = runs.filter(|run| run.request == query.request);
        let complete = runs
            .clone()
            .find_map(|run| run.events.up_to(&query.last_event_id));
        if let Some(events) = complete {
            return Some(KnownOutput {
                events,
                is_complete: true,
            });
        }
        let first = runs.next()?;
        let longest = runs.fold(first, |longest, run| {
            match run.events.len() > longest.events.len() {
                true => run,
                false => longest,
            }
        });
        Some(KnownOutput {
            events: longest.events.clone(),
            is_complete: false,
        })
    }

    /// Approximate size of all outputs in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Drops the outputs that have expired.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some((expires_at, _)) = self.expiries.first()
            && *expires_at <= now
            && let Some((_, expired)) = self.expiries.pop_first()
        {
            self.forget(&expired);
        }
    }
}

/// Adds the events of an update that its run lacks. Returns the number of events that the run has then.
fn add_to_run(runs: &mut Vec<RunOutput>, update: &OutputUpdate) -> usize {
    let known = runs.iter().position(|run| run.run == update.run);
    let known = known.unwrap_or_else(|| {
        if runs.len() >= MAX_RUNS {
            runs.remove(0);
        }
        runs.push(RunOutput {
            run: update.run,
            request: update.request,
            events: StreamOutput::default(),
        });
        runs.len() - 1
    });
    let events = &mut runs[known].events;
    let position = usize::try_from(update.position).unwrap_or(usize::MAX);
    if let Some(repeated) = events.len().checked_sub(position)
        && repeated < update.events.len()
    {
        let added = update.events.batch(repeated, usize::MAX >> 1);
        if events.size() + added.size() <= MAX_RUN_BYTES {
            events.extend(&added);
        }
    }
    events.len()
}
