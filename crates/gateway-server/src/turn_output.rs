//! Output of a turn so far. Where callers may resume its stream, the turn stores get a copy as it grows,
//! from which any gateway can complete the turn.

use crate::gateway::Gateway;
use crate::store_link::StoreLink;
use luglink_turns::{OriginRecord, OriginRequest, OutputUpdate, RequestFingerprint, StreamOutput};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Maximum size of the text in one message to a store. A single event may be larger.
const MAX_BATCH_BYTES: usize = 64 << 10;

/// Delay before a store that did not answer gets the events again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Number of responses of a store without a further event after which it gets no more events of a
/// stream. It has no memory left for them.
const MAX_STALLED_RESPONSES: u32 = 3;

/// Events of a turn, including those of earlier attempts that it resumes.
#[derive(Debug, Default)]
pub(crate) struct TurnOutput {
    events: Rc<RefCell<StreamOutput>>,
    /// Wakes the tasks that copy the events; `None` if there are none.
    recorded: Option<watch::Sender<usize>>,
}

/// Stream whose output is copied to the stores.
#[derive(Clone, Debug)]
pub(crate) struct RecordedRun {
    /// Identifies the run among those of the request.
    pub(crate) run: u64,
    pub(crate) request: RequestFingerprint,
}

impl TurnOutput {
    /// Creates the output of a turn that goes on after `events`.
    pub(crate) fn after(events: StreamOutput) -> Self {
        Self {
            events: Rc::new(RefCell::new(events)),
            recorded: None,
        }
    }

    /// Adds an event.
    pub(crate) fn push(&self, id: Option<&str>, data: Option<&[u8]>) {
        let mut events = self.events.borrow_mut();
        events.push(id, data);
        if let Some(recorded) = &self.recorded {
            recorded.send_replace(events.len());
        }
    }

    /// Approximate size in bytes.
    pub(crate) fn size(&self) -> usize {
        self.events.borrow().size()
    }

    /// Returns the text of all events, as later prompts contain it.
    pub(crate) fn take_text(&mut self) -> Vec<u8> {
        match Rc::get_mut(&mut self.events) {
            Some(events) => std::mem::take(events.get_mut()).into_text(),
            // Some store does not have all of it yet.
            None => self.events.borrow().text().to_vec(),
        }
    }

    /// Copies the output to the stores that own the records, from now on as it grows. Nothing waits for
    /// the copies: whoever resumes the stream has the replica repeat the events that are missing.
    pub(crate) fn record(
        &mut self,
        gateway: &Gateway,
        run: &RecordedRun,
        records: &[OriginRecord],
    ) {
        let (recorded, length) = watch::channel(self.events.borrow().len());
        for record in records {
            for link in gateway.turns.links_to(&record.stream.0) {
                let copy = OutputCopy {
                    link,
                    epoch: gateway.turns.epoch(),
                    record: record.clone(),
                    run: run.clone(),
                    events: Rc::clone(&self.events),
                };
                actix_rt::spawn(copy.follow(length.clone()));
            }
        }
        self.recorded = Some(recorded);
    }
}

/// Copy of the output of a run at one store.
struct OutputCopy {
    link: Rc<StoreLink>,
    epoch: u64,
    record: OriginRecord,
    run: RecordedRun,
    events: Rc<RefCell<StreamOutput>>,
}

impl OutputCopy {
    /// Sends the events that the store lacks until there are no more.
    async fn follow(self, mut length: watch::Receiver<usize>) {
        let mut kept = 0;
        let mut stalled = 0;
        loop {
            let known = *length.borrow_and_update();
            if kept >= known {
                if length.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let Some(answer) = self.send_from(kept).await else {
                if length.has_changed().is_err() {
                    return;
                }
                actix_rt::time::sleep(RETRY_DELAY).await;
                continue;
            };
            let Some(now_kept) = answer else { return };
            stalled += u32::from(now_kept <= kept);
            if stalled >= MAX_STALLED_RESPONSES {
                return;
            }
            kept = now_kept;
        }
    }

    /// Sends events from a position on. Returns the number of events that the store keeps; no number
    /// inside if it is of a build that keeps no outputs; `None` if it does not answer in time.
    async fn send_from(&self, position: usize) -> Option<Option<usize>> {
        let events = self.events.borrow().batch(position, MAX_BATCH_BYTES);
        let update = OutputUpdate {
            run: self.run.run,
            request: self.run.request,
            position: position as u64,
            events,
        };
        let request = OriginRequest::RecordOutput(self.record.clone(), update);
        let link = Rc::clone(&self.link);
        let kept = link
            .record_output(self.epoch, &self.record, request)
            .await?;
        Some(kept.map(|kept| usize::try_from(kept).unwrap_or(usize::MAX)))
    }
}
