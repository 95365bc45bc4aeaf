//! What a store keeps of recent streams: origins and outputs.

use crate::origins::OriginTable;
use crate::output_table::OutputTable;
use crate::parts::{OriginRecord, OriginRequest, OriginResponse, OutputResponse};
use luglink_types::Timestamp;
use std::time::Duration;

/// Maximum number of streams whose origins are kept.
const MAX_ORIGINS: usize = 1 << 16;

/// Maximum size of the outputs of streams that are kept, in bytes.
const MAX_OUTPUT_BYTES: usize = 32 << 20;

/// Records of streams at a store. They are not written to disk.
#[derive(Debug)]
pub(crate) struct StreamRecords {
    origins: OriginTable,
    outputs: OutputTable,
}

impl StreamRecords {
    pub(crate) fn new() -> Self {
        Self {
            origins: OriginTable::new(MAX_ORIGINS),
            outputs: OutputTable::new(MAX_OUTPUT_BYTES),
        }
    }

    /// Handles a request. One about the output gets a second response.
    pub(crate) fn handle(
        &mut self,
        request: &OriginRequest,
        now: Timestamp,
    ) -> (OriginResponse, Option<OutputResponse>) {
        match request {
            OriginRequest::Record(record) => {
                self.record_origin(record, now);
                (OriginResponse { origin: None }, None)
            }
            OriginRequest::RecordOutput(record, update) => {
                let retention = self.record_origin(record, now);
                let kept_events = self.outputs.add(&record.stream, update, retention, now);
                let output = OutputResponse {
                    kept_events,
                    known: None,
                };
                (OriginResponse { origin: None }, Some(output))
            }
            OriginRequest::Find(stream) => {
                let origin = self.origins.find(stream, now).cloned();
                (OriginResponse { origin }, None)
            }
            OriginRequest::FindOutput(stream, query) => {
                let origin = self.origins.find(stream, now).cloned();
                let output = OutputResponse {
                    kept_events: 0,
                    known: self.outputs.find(stream, query, now),
                };
                (OriginResponse { origin }, Some(output))
            }
        }
    }

    /// Keeps an origin and returns the time for which the stream's records are kept.
    fn record_origin(&mut self, record: &OriginRecord, now: Timestamp) -> Duration {
        let retention = Duration::from_millis(record.retention_ms);
        self.origins
            .record(&record.stream, &record.origin, retention, now);
        retention
    }

    /// Drops the records that have expired.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.origins.expire(now);
        self.outputs.expire(now);
    }

    /// Returns the number of origins.
    pub(crate) fn origin_count(&self) -> usize {
        self.origins.len()
    }

    /// Returns the approximate size of all outputs in bytes.
    pub(crate) fn output_bytes(&self) -> usize {
        self.outputs.bytes()
    }
}
