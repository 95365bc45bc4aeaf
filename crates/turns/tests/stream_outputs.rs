//! Outputs of streams: their table, and messages about them between builds.

use luglink_fleet::{BackendId, Incarnation, StreamOrigin};
use luglink_turns::{
    Chain, KnownOutput, OriginRecord, OriginRequest, OriginResponse, OutputQuery, OutputResponse,
    OutputTable, OutputUpdate, RequestFingerprint, StoreResponse, StreamOutput, TurnId,
    is_later_event,
};
use luglink_types::Timestamp;
use luglink_wire::{Parts, decode_with_parts, encode_body};
use proptest::prelude::*;
use std::time::Duration;

const RETENTION: Duration = Duration::from_secs(6);

const REQUEST: RequestFingerprint = RequestFingerprint(1, 2);

fn stream(number: usize) -> TurnId {
    TurnId(format!("s{number}"))
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + seconds * 1_000)
}

fn output(numbers: std::ops::Range<usize>) -> StreamOutput {
    let mut output = StreamOutput::default();
    for number in numbers {
        output.push(
            Some(&number.to_string()),
            Some(format!("w{number}").as_bytes()),
        );
    }
    output
}

fn update(run: u64, numbers: std::ops::Range<usize>) -> OutputUpdate {
    OutputUpdate {
        run,
        request: REQUEST,
        position: numbers.start as u64,
        events: output(numbers),
    }
}

fn query(last_event: usize) -> OutputQuery {
    OutputQuery {
        request: REQUEST,
        last_event_id: last_event.to_string(),
    }
}

fn known(numbers: std::ops::Range<usize>, is_complete: bool) -> Option<KnownOutput> {
    Some(KnownOutput {
        events: output(numbers),
        is_complete,
    })
}

struct Table(OutputTable);

impl Table {
    fn new() -> Self {
        Self(OutputTable::new(1 << 20))
    }

    fn add(&mut self, update: &OutputUpdate) -> u64 {
        self.0.add(&stream(1), update, RETENTION, at(0))
    }

    fn find(&self, last_event: usize) -> Option<KnownOutput> {
        self.0.find(&stream(1), &query(last_event), at(1))
    }
}

#[test]
fn the_output_of_a_stream_is_found_up_to_the_event_of_the_query() {
    let mut table = Table::new();
    assert_eq!(table.add(&update(1, 0..2)), 2);
    assert_eq!(table.add(&update(1, 2..5)), 5);
    assert_eq!(table.find(3), known(0..4, true));
    assert_eq!(table.find(4), known(0..5, true));
    assert_eq!(table.find(5), known(0..5, false));
}

#[test]
fn events_after_a_gap_are_not_kept_and_repeated_ones_are_kept_once() {
    let mut table = Table::new();
    assert_eq!(table.add(&update(1, 0..2)), 2);
    assert_eq!(table.add(&update(1, 3..4)), 2);
    assert_eq!(table.add(&update(1, 1..4)), 4);
    assert_eq!(table.add(&update(1, 0..3)), 4);
    assert_eq!(table.find(3), known(0..4, true));
}

#[test]
fn the_latest_run_that_has_the_event_counts() {
    let mut table = Table::new();
    table.add(&update(1, 0..4));
    let mut resumed = update(2, 0..2);
    resumed.events.push(Some("2"), Some(b"other"));
    table.add(&resumed);
    assert_eq!(table.find(2).unwrap().events, resumed.events);
    assert_eq!(table.find(3), known(0..4, true));
    assert_eq!(table.find(9), known(0..4, false));
}

#[test]
fn the_output_of_another_request_is_not_found() {
    let mut table = Table::new();
    table.add(&update(1, 0..4));
    let other = OutputQuery {
        request: RequestFingerprint(1, 3),
        ..query(2)
    };
    assert_eq!(table.0.find(&stream(1), &other, at(1)), None);
    assert_eq!(table.0.find(&stream(2), &query(2), at(1)), None);
}

#[test]
fn outputs_expire_and_a_full_table_drops_those_that_expire_first() {
    let mut table = OutputTable::new(4_096);
    let long = StreamOutput::default();
    let mut long = OutputUpdate {
        run: 1,
        request: REQUEST,
        position: 0,
        events: long,
    };
    long.events.push(Some("0"), Some(&[b'w'; 1_500]));
    for number in 0..3 {
        let retention = RETENTION + Duration::from_secs(number as u64);
        assert_eq!(table.add(&stream(number), &long, retention, at(0)), 1);
        assert!(table.bytes() <= 4_096);
    }
    let found = |number, now| table.find(&stream(number), &query(0), now).is_some();
    assert_eq!(
        [0, 1, 2].map(|number| found(number, at(1))),
        [false, true, true]
    );
    assert_eq!(
        [0, 1, 2].map(|number| found(number, at(7))),
        [false, false, true]
    );
    table.expire(at(60));
    assert_eq!(table.bytes(), 0);
}

#[test]
fn a_run_that_is_too_long_is_kept_in_part() {
    let mut table = OutputTable::new(64 << 20);
    let mut kept = 0;
    for number in 0..40 {
        let mut events = StreamOutput::default();
        events.push(Some(&number.to_string()), Some(&[b'w'; 64 << 10]));
        let update = OutputUpdate {
            run: 1,
            request: REQUEST,
            position: kept,
            events,
        };
        kept = table.add(&stream(1), &update, RETENTION, at(0));
    }
    assert!((8..40).contains(&kept), "{kept}");
    let known = table.find(&stream(1), &query(39), at(0)).unwrap();
    assert_eq!(
        (known.events.len() as u64, known.is_complete),
        (kept, false)
    );
}

#[test]
fn damaged_positions_are_refused() {
    let mut bytes = luglink_wire::encode_body(&update(1, 0..2)).unwrap();
    let last = bytes.len() - 1;
    bytes[last] = 100;
    let damaged: OutputUpdate = luglink_wire::decode_body(&bytes).unwrap();
    let mut table = Table::new();
    assert_eq!(table.add(&damaged), 0);
    assert_eq!(table.find(1), None);
}

#[test]
fn overlong_identifiers_are_not_kept() {
    let long = "1".repeat(129);
    let mut events = StreamOutput::default();
    events.push(Some("0"), Some(b"w0"));
    events.push(Some(&long), Some(b"w1"));
    assert_eq!((events.len(), events.last_id()), (2, Some("0")));
    assert_eq!(events.up_to(&long), None);
    let mut table = OutputTable::new(1 << 20);
    let stream = TurnId(long);
    assert_eq!(table.add(&stream, &update(1, 0..2), RETENTION, at(0)), 0);
    assert_eq!(table.bytes(), 0);
}

#[test]
fn events_are_compared_as_numbers_only() {
    assert!(is_later_event("10", "9"));
    assert!(!is_later_event("9", "10") && !is_later_event("9", "9"));
    assert!(!is_later_event("b", "a") && !is_later_event("2", "a"));
}

fn record() -> OriginRecord {
    OriginRecord {
        stream: stream(1),
        origin: StreamOrigin {
            service: "s".to_owned(),
            replica: BackendId("i-1".to_owned()),
            incarnation: Incarnation(5),
            version: None,
        },
        retention_ms: 6_000,
    }
}

#[test]
fn requests_about_outputs_round_trip_and_older_stores_read_them_as_those_about_origins() {
    let recording = OriginRequest::RecordOutput(record(), update(1, 2..4));
    let finding = OriginRequest::FindOutput(stream(1), query(3));
    for (request, older) in [
        (recording, OriginRequest::Record(record())),
        (finding, OriginRequest::Find(stream(1))),
    ] {
        let parts = request.encode().unwrap();
        let older = older.encode().unwrap();
        assert_eq!(OriginRequest::decode(&parts).unwrap(), Some(request));
        let number = |number| luglink_wire::PartNumber(number);
        for origin_part in [number(1), number(2)] {
            let origin = |parts: &Parts| parts.get::<OriginRecord>(origin_part).ok();
            assert_eq!(origin(&parts), origin(&older));
        }
    }
}

/// Guards against an origin of an older build that is read as an output without events.
#[test]
fn an_older_response_about_an_origin_has_no_output() {
    let response = OriginResponse {
        origin: Some(record().origin),
    };
    let mut parts = response.encode().unwrap();
    assert_eq!(OutputResponse::decode(&parts).unwrap(), None);
    let output = OutputResponse {
        kept_events: 2,
        known: known(0..2, true),
    };
    output.put(&mut parts).unwrap();
    assert_eq!(OutputResponse::decode(&parts).unwrap(), Some(output));
    assert_eq!(OriginResponse::decode(&parts).unwrap(), Some(response));
    let absent = StoreResponse::Chain(Chain::Absent { incarnation: 7 });
    let (_, parts) = decode_with_parts::<StoreResponse>(&encode_body(&absent).unwrap()).unwrap();
    assert_eq!(OutputResponse::decode(&parts).unwrap(), None);
}

proptest! {
    /// However the updates of a run are cut, repeated and lost, the table has a beginning of the stream.
    #[test]
    fn a_table_has_the_beginning_of_a_stream(
        updates in proptest::collection::vec((0..12_usize, 0..6_usize, 1..3_u64), 1..40),
    ) {
        let mut table = Table::new();
        for (start, length, run) in updates {
            table.add(&update(run, start..start + length));
            for last in 0..18 {
                if let Some(found) = table.find(last) {
                    let expected = match found.is_complete {
                        true => last + 1,
                        false => found.events.len(),
                    };
                    prop_assert_eq!(&found.events, &output(0..expected));
                    prop_assert!(found.is_complete || expected <= last);
                }
            }
        }
    }

    #[test]
    fn batches_add_up_to_the_output(
        lengths in proptest::collection::vec(0..40_usize, 0..20),
        max_bytes in 1..100_usize,
    ) {
        let mut whole = StreamOutput::default();
        for (number, length) in lengths.iter().enumerate() {
            let id = number.to_string();
            whole.push((number % 3 > 0).then_some(id.as_str()), Some(&vec![b'w'; *length]));
        }
        let mut joined = StreamOutput::default();
        while joined.len() < whole.len() {
            let batch = whole.batch(joined.len(), max_bytes);
            prop_assert!(!batch.is_empty());
            prop_assert!(batch.len() == 1 || batch.text().len() <= max_bytes);
            joined.extend(&batch);
        }
        prop_assert_eq!(&joined, &whole);
        prop_assert!(whole.batch(whole.len(), max_bytes).is_empty());
    }
}
