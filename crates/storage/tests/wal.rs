//! Tests of the write-ahead log: it keeps synced batches, truncates torn ones and rejects damaged
//! files.

use luglink_storage::{CrashDamage, Disk, FileDisk, MemoryDisk, StorageError, Wal, WalConfig};
use proptest::prelude::*;

const SMALL_SEGMENTS: WalConfig = WalConfig { segment_bytes: 200 };

fn append_all(disk: &mut MemoryDisk, batches: &[Vec<u8>]) {
    let (mut wal, _) = Wal::open(disk, SMALL_SEGMENTS).expect("open");
    for batch in batches {
        if wal.segment_is_full() {
            wal.start_segment();
        }
        wal.append(disk, batch).expect("append");
    }
}

fn payloads(disk: &mut MemoryDisk) -> Vec<Vec<u8>> {
    let (_, recovered) = Wal::open(disk, SMALL_SEGMENTS).expect("open");
    let batches = recovered.batches.into_iter();
    batches.map(|batch| batch.payload).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn synced_batches_survive_and_a_torn_batch_is_truncated(
        batches in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..80), 1..20),
        torn in prop::collection::vec(any::<u8>(), 1..80),
        kept_per_mille in 0_u16..1_000,
    ) {
        let mut disk = MemoryDisk::new();
        append_all(&mut disk, &batches);
        let last = disk.list().expect("list").pop().expect("a segment");
        // Append an unsynced frame, which the crash then tears.
        let mut other = MemoryDisk::new();
        append_all(&mut other, std::slice::from_ref(&torn));
        let frame = other.read("wal-0000000000000000.log").expect("read");
        disk.append(&last, &frame).expect("append");
        disk.crash(CrashDamage::TearUnsynced { kept_per_mille });
        prop_assert_eq!(payloads(&mut disk), batches.clone());
        // The truncation is durable, and new batches follow the intact ones.
        append_all(&mut disk, std::slice::from_ref(&torn));
        let mut expected = batches;
        expected.push(torn);
        prop_assert_eq!(payloads(&mut disk), expected);
    }

    #[test]
    fn a_flipped_bit_is_always_detected(
        batches in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..40), 2..10),
        position in any::<prop::sample::Index>(),
    ) {
        let mut disk = MemoryDisk::new();
        append_all(&mut disk, &batches);
        let first = "wal-0000000000000000.log";
        let length = disk.read(first).expect("read").len();
        disk.flip_bit(first, position.index(length));
        match Wal::open(&mut disk, SMALL_SEGMENTS) {
            Err(StorageError::Corrupt { .. } | StorageError::Gap { .. }) => {}
            Err(other) => prop_assert!(false, "unexpected error {other}"),
            // Damage in the last batch is indistinguishable from a torn tail, so that batch is
            // lost.
            Ok((_, recovered)) => prop_assert_eq!(recovered.batches.len(), batches.len() - 1),
        }
    }
}

#[test]
fn damage_before_the_last_batch_is_rejected_with_file_and_offset() {
    let mut disk = MemoryDisk::new();
    append_all(&mut disk, &[vec![1; 30], vec![2; 30]]);
    disk.flip_bit("wal-0000000000000000.log", 25);
    let error = Wal::open(&mut disk, SMALL_SEGMENTS).expect_err("damaged");
    let text = error.to_string();
    assert!(text.contains("wal-0000000000000000.log"), "{text}");
    assert!(text.contains("byte 0"), "{text}");
}

#[test]
fn a_missing_segment_is_rejected() {
    let mut disk = MemoryDisk::new();
    let batches: Vec<Vec<u8>> = (0..30).map(|byte| vec![byte; 50]).collect();
    append_all(&mut disk, &batches);
    disk.remove("wal-0000000000000001.log").expect("remove");
    let error = Wal::open(&mut disk, SMALL_SEGMENTS).expect_err("gap");
    assert!(matches!(error, StorageError::Gap { .. }), "{error}");
}

#[test]
fn a_full_disk_is_an_error_and_not_an_acknowledgement() {
    let mut disk = MemoryDisk::new();
    let (mut wal, _) = Wal::open(&mut disk, SMALL_SEGMENTS).expect("open");
    disk.set_full(true);
    assert!(wal.append(&mut disk, b"lost").is_err());
    disk.set_full(false);
    assert!(payloads(&mut disk).is_empty());
}

#[test]
fn the_log_persists_in_a_folder() {
    let folder = tempfile::tempdir().expect("folder");
    let mut disk = FileDisk::open(folder.path()).expect("open");
    let (mut wal, _) = Wal::open(&mut disk, SMALL_SEGMENTS).expect("open");
    wal.append(&mut disk, b"first").expect("append");
    wal.start_segment();
    wal.append(&mut disk, b"second").expect("append");
    wal.remove_segments_before(&mut disk, 1).expect("remove");
    let mut disk = FileDisk::open(folder.path()).expect("open again");
    let (_, recovered) = Wal::open(&mut disk, SMALL_SEGMENTS).expect("recover");
    let found: Vec<&[u8]> = recovered
        .batches
        .iter()
        .map(|batch| &*batch.payload)
        .collect();
    assert_eq!(found, [b"second"]);
}

#[test]
fn a_nested_folder_is_created_with_its_missing_parents() {
    let folder = tempfile::tempdir().expect("folder");
    let nested = folder.path().join("machine").join("member");
    let mut disk = FileDisk::open(&nested).expect("open");
    let (mut wal, _) = Wal::open(&mut disk, SMALL_SEGMENTS).expect("open");
    wal.append(&mut disk, b"first").expect("append");
    let beside = FileDisk::open(folder.path().join("machine").join("store")).expect("beside");
    assert!(beside.list().expect("list").is_empty());
    let mut disk = FileDisk::open(&nested).expect("open again");
    let (_, recovered) = Wal::open(&mut disk, SMALL_SEGMENTS).expect("recover");
    assert_eq!(recovered.batches.len(), 1);
}

#[test]
fn a_data_folder_that_is_a_file_is_rejected_by_name() {
    let file = tempfile::NamedTempFile::new().expect("file");
    let error = FileDisk::open(file.path()).expect_err("not a folder");
    assert!(error.to_string().contains("data folder"), "{error}");
}

/// Returns a frame with a valid checksum whose payload has the version after the current one.
fn frame_with_newer_version(batches: usize) -> Vec<u8> {
    let mut disk = MemoryDisk::new();
    append_all(&mut disk, &vec![b"newer".to_vec(); batches + 1]);
    let log = disk.read("wal-0000000000000000.log").expect("read");
    let length = log.len() / (batches + 1);
    let mut frame = log[log.len() - length..].to_vec();
    assert_eq!(&frame[..4], b"LLW1");
    frame[3] = b'2';
    frame
}

#[test]
fn a_batch_of_a_newer_layout_is_rejected_and_not_truncated() {
    let file = "wal-0000000000000000.log";
    for batches in 0..3 {
        let mut disk = MemoryDisk::new();
        append_all(&mut disk, &vec![b"known".to_vec(); batches]);
        disk.append(file, &frame_with_newer_version(batches))
            .expect("append");
        disk.sync(file).expect("sync");
        let before = disk.read(file).expect("read");
        let error = Wal::open(&mut disk, SMALL_SEGMENTS).expect_err("a newer layout");
        assert!(error.to_string().contains("does not know"), "{error}");
        assert_eq!(disk.read(file).expect("read"), before);
    }
}

#[test]
fn a_torn_batch_of_a_newer_layout_is_truncated() {
    let file = "wal-0000000000000000.log";
    let mut disk = MemoryDisk::new();
    append_all(&mut disk, &[b"known".to_vec()]);
    let frame = frame_with_newer_version(1);
    disk.append(file, &frame[..frame.len() - 1])
        .expect("append");
    assert_eq!(payloads(&mut disk), [b"known".to_vec()]);
}

/// Guards against an open that keeps all segments in memory, and against a replay that differs from it.
#[test]
fn replay_visits_the_batches_of_all_segments_in_order() {
    let mut disk = MemoryDisk::default();
    let (mut wal, _) = Wal::open(&mut disk, SMALL_SEGMENTS).expect("open");
    for number in 0..40_u8 {
        wal.append(&mut disk, &[number; 20]).expect("append");
        if wal.segment_is_full() {
            wal.start_segment();
        }
    }
    let (_, recovered) = Wal::open(&mut disk, SMALL_SEGMENTS).expect("open");
    let mut visited = Vec::new();
    let (wal, torn_bytes) = Wal::replay(&mut disk, SMALL_SEGMENTS, |segment, payload| {
        visited.push((segment, payload.to_vec()));
    })
    .expect("replay");
    let batches = recovered.batches.into_iter();
    let opened: Vec<(u64, Vec<u8>)> = batches
        .map(|batch| (batch.segment, batch.payload))
        .collect();
    assert_eq!(visited, opened);
    assert_eq!((visited.len(), torn_bytes), (40, 0));
    assert!(wal.current_segment() > 2, "there are several segments");
}
