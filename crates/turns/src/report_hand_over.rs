//! Transfer of crash reports to stores that own them and may not have them yet.

use crate::crash_parts::CountedReport;
use luglink_fleet::StoreName;
use luglink_types::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Maximum number of reports in one message.
const MAX_BATCH_REPORTS: usize = 256;

/// Time after which an unacknowledged message is sent again. The receiver acknowledges it once the
/// gateways with a lease have the reports.
const RESEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Crash reports that the server process sends to another store. If that store acknowledges them,
/// the server process calls [`StoreNode::on_reports_acknowledged`].
///
/// [`StoreNode::on_reports_acknowledged`]: crate::StoreNode::on_reports_acknowledged
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportBatch {
    /// The receiving store.
    pub to: StoreName,
    /// Identifies the message in its acknowledgement.
    pub number: u64,
    /// The reports.
    pub reports: Vec<CountedReport>,
}

/// Reports to be sent to one store.
#[derive(Debug, Default)]
struct Queue {
    reports: VecDeque<CountedReport>,
    /// Number, size and send time of the message whose acknowledgement is outstanding.
    sent: Option<(u64, usize, Timestamp)>,
}

/// Reports to be sent to other stores after changes of the view.
#[derive(Debug, Default)]
pub(crate) struct ReportHandOver {
    queues: BTreeMap<StoreName, Queue>,
    last_number: u64,
}

impl ReportHandOver {
    /// Drops what is left to be sent, because the view has changed.
    pub(crate) fn clear(&mut self) {
        self.queues.clear();
    }

    pub(crate) fn add(&mut self, to: StoreName, report: CountedReport) {
        self.queues.entry(to).or_default().reports.push_back(report);
    }

    /// Returns true if all reports are acknowledged.
    pub(crate) fn is_complete(&self) -> bool {
        self.queues.is_empty()
    }

    /// Returns the messages to send now.
    pub(crate) fn due(&mut self, now: Timestamp) -> Vec<ReportBatch> {
        let mut due = Vec::new();
        for (to, queue) in &mut self.queues {
            let sent_at = queue.sent.map(|(_, _, sent_at)| sent_at);
            if sent_at.is_some_and(|sent_at| now.since(sent_at) < RESEND_TIMEOUT) {
                continue;
            }
            self.last_number += 1;
            let reports = queue.reports.iter().take(MAX_BATCH_REPORTS);
            let reports: Vec<CountedReport> = reports.cloned().collect();
            queue.sent = Some((self.last_number, reports.len(), now));
            due.push(ReportBatch {
                to: to.clone(),
                number: self.last_number,
                reports,
            });
        }
        due
    }

    /// Handles the acknowledgement of a message. Late acknowledgements of earlier sends are ignored.
    pub(crate) fn on_acknowledged(&mut self, by: &StoreName, number: u64) {
        let Some(queue) = self.queues.get_mut(by) else {
            return;
        };
        let Some((_, count, _)) = queue.sent.filter(|(sent, _, _)| *sent == number) else {
            return;
        };
        queue.sent = None;
        queue.reports.drain(..count);
        if queue.reports.is_empty() {
            self.queues.remove(by);
        }
    }
}
