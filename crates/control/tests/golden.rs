//! Compatibility of messages and data folders with an earlier build, in both directions.

#[path = "../../wire/tests/support/golden.rs"]
mod golden;
#[path = "golden/values.rs"]
mod values;

use golden::{Golden, to_hex};
use luglink_control::{
    ControlConfig, ControlNode, Identity, Input, Output, Request, RequestToken, Response,
};
use luglink_fleet::{StoreCommand, VersionedDocument};
use luglink_program::Command;
use luglink_raft::{Entry, HardState, LogIndex, Payload, Snapshot};
use luglink_resources::{Change, ChangeResponse};
use luglink_storage::{Disk, MemoryDisk, Wal, WalConfig};
use luglink_types::{GroupId, MemberId, Revision, Timestamp};
use serde::{Deserialize, Serialize};
use std::time::Duration;

const MEMBER: MemberId = MemberId(1);
const LOG: &str = "wal-0000000000000000.log";

#[test]
fn messages_keep_their_layout() {
    let golden = Golden::new(include_str!("golden/messages.txt"));
    for (label, request) in values::requests() {
        golden.check(&format!("request-{label}"), &request);
    }
    for (label, response) in values::responses() {
        golden.check(&format!("response-{label}"), &response);
    }
    for (label, envelope) in values::envelopes() {
        golden.check(&format!("peer-{label}"), &envelope);
    }
    for (label, command) in values::commands() {
        golden.check(&format!("command-{label}"), &command);
    }
    golden.finish();
}

/// Record of the log, as the earlier build defines it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Record {
    HardState { group: GroupId, state: HardState },
    Entries { group: GroupId, entries: Vec<Entry> },
    Snapshot { group: GroupId, index: LogIndex },
    Reset { group: GroupId, index: LogIndex },
}

/// Command in an entry of a group, as the earlier build defines it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum LoggedCommand {
    Program(Command),
    Change(Change),
    Document(VersionedDocument),
    Store(StoreCommand),
}

struct Member {
    node: ControlNode<MemoryDisk>,
    now: Timestamp,
    requests: u64,
}

impl Member {
    fn start(disk: MemoryDisk) -> Self {
        let mut config = ControlConfig::new(MEMBER, vec![MEMBER]);
        config.program_groups = 1;
        config.bootstrap = true;
        config.snapshot_entries = 4;
        let mut now = Timestamp::from_millis(1_000);
        let mut node = ControlNode::start(config, disk, 7, now).expect("the member starts");
        for _ in 0..40 {
            now = now.plus(Duration::from_millis(100));
            node.tick(now).unwrap();
            node.flush().unwrap();
        }
        Self {
            node,
            now,
            requests: 0,
        }
    }

    fn ask(&mut self, request: Request) -> Response {
        self.requests += 1;
        let token = RequestToken {
            client: 1,
            request: self.requests,
        };
        let request = Box::new(request);
        let input = Input::Request { token, request };
        self.node.handle(input, self.now).unwrap();
        let outputs = self.node.flush().unwrap().into_iter();
        let mut replies = outputs.filter_map(|output| match output {
            Output::Reply { response, .. } => Some(*response),
            _ => None,
        });
        replies.next().expect("a single member answers at once")
    }

    /// Executes the requests whose results the golden data folder contains.
    fn fill(&mut self) {
        self.ask(Request::PutDocument(values::document()));
        for number in 0..5 {
            let answer = self.ask(Request::Change(values::change(number)));
            let revision = Revision(number + 1);
            assert_eq!(
                answer,
                Response::Change(ChangeResponse::Accepted { revision })
            );
        }
        self.ask(Request::Program(Command::Create(values::create())));
    }

    fn has_everything(&mut self) {
        let document = self.ask(Request::ReadDocument);
        assert_eq!(document, Response::Document(Some(values::document())));
        assert_eq!(self.node.revision(), Revision(5));
        let view = self.ask(Request::View(values::create().program));
        let Response::View(Some(view)) = view else {
            panic!("expected the program, got {view:?}");
        };
        assert_eq!(view.spec, values::create().spec);
    }
}

fn golden_folder() -> MemoryDisk {
    let golden = Golden::new(include_str!("golden/folder.txt"));
    let mut disk = MemoryDisk::new();
    for file in golden.labels() {
        disk.replace(&file, golden.bytes(&file)).unwrap();
    }
    disk
}

fn records(disk: &mut MemoryDisk) -> Vec<Record> {
    let (_, recovered) = Wal::open(disk, WalConfig::default()).unwrap();
    let batches = recovered.batches.into_iter();
    let read = |payload: &[u8]| postcard::from_bytes::<Vec<Record>>(payload).unwrap();
    batches.flat_map(|batch| read(&batch.payload)).collect()
}

fn snapshot_files(disk: &MemoryDisk) -> Vec<String> {
    let mut files = disk.list().unwrap();
    files.retain(|file| file.starts_with("snapshot-"));
    files
}

#[test]
fn reads_the_data_folder_of_an_earlier_build() {
    let disk = golden_folder();
    assert!(!snapshot_files(&disk).is_empty());
    Member::start(disk).has_everything();
}

/// A received snapshot of an earlier build replaces the log before it.
#[test]
fn reads_a_reset_record_of_an_earlier_build() {
    let mut disk = golden_folder();
    let index = records(&mut disk)
        .iter()
        .rev()
        .find_map(|record| match record {
            Record::Snapshot { group, index } if *group == GroupId(0) => Some(*index),
            _ => None,
        });
    let index = index.expect("a snapshot of the configuration");
    let group = GroupId(0);
    let reset = postcard::to_stdvec(&vec![Record::Reset { group, index }]).unwrap();
    let (mut wal, _) = Wal::open(&mut disk, WalConfig::default()).unwrap();
    wal.append(&mut disk, &reset).unwrap();
    let mut member = Member::start(disk);
    let document = member.ask(Request::ReadDocument);
    assert_eq!(document, Response::Document(Some(values::document())));
}

/// The types above are those of the earlier build. They must decode each record, command and
/// snapshot that this build writes, and encode them to the same bytes.
#[test]
fn an_earlier_build_reads_the_data_folder_of_this_build() {
    let mut member = Member::start(MemoryDisk::new());
    member.fill();
    let mut disk = member.node.into_disk();
    let identity = disk.read("identity").unwrap();
    let read: Identity = postcard::from_bytes(&identity).unwrap();
    assert_eq!(read.peer.member, MEMBER);
    let mut commands = Vec::new();
    for record in records(&mut disk) {
        let Record::Entries { entries, .. } = record else {
            continue;
        };
        for entry in entries {
            if let Payload::Command(bytes) = entry.payload {
                let command: LoggedCommand = postcard::from_bytes(&bytes).unwrap();
                let again = postcard::to_stdvec(&command).unwrap();
                assert!(bytes.starts_with(&again), "{}", to_hex(&bytes));
                commands.push(command);
            }
        }
    }
    assert!(commands.contains(&LoggedCommand::Document(values::document())));
    assert!(commands.contains(&LoggedCommand::Change(values::change(0))));
    let create = Command::Create(values::create());
    assert!(commands.contains(&LoggedCommand::Program(create)));
    let files = snapshot_files(&disk);
    assert!(!files.is_empty());
    for file in files {
        let bytes = disk.read(&file).unwrap();
        let snapshot: Snapshot = postcard::from_bytes(&bytes).unwrap();
        assert!(bytes.starts_with(&postcard::to_stdvec(&snapshot).unwrap()));
    }
}

#[test]
fn logged_commands_keep_their_layout() {
    let golden = Golden::new(include_str!("golden/logged.txt"));
    golden.check("program", &LoggedCommand::Program(Command::Expire));
    golden.check("change", &LoggedCommand::Change(values::change(0)));
    golden.check("document", &LoggedCommand::Document(values::document()));
    for (label, command) in values::store_commands() {
        golden.check(&format!("store-{label}"), &LoggedCommand::Store(command));
    }
    golden.finish();
}

#[test]
fn a_record_of_a_newer_build_is_refused_and_the_log_is_unchanged() {
    let mut disk = golden_folder();
    let (mut wal, _) = Wal::open(&mut disk, WalConfig::default()).unwrap();
    // One record of an unknown kind.
    wal.append(&mut disk, &[1, 4]).unwrap();
    let before = disk.read(LOG).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let mut file_disk = luglink_storage::FileDisk::open(folder.path()).unwrap();
    for file in disk.list().unwrap() {
        file_disk
            .replace(&file, &disk.read(&file).unwrap())
            .unwrap();
    }
    let config = ControlConfig::new(MEMBER, vec![MEMBER]);
    let error = ControlNode::start(config, file_disk, 7, Timestamp::from_millis(1_000));
    let error = error.expect_err("refused");
    assert!(error.to_string().contains("log record"), "{error}");
    let file_disk = luglink_storage::FileDisk::open(folder.path()).unwrap();
    assert_eq!(file_disk.read(LOG).unwrap(), before);
}
