//! Messages and journals of an earlier build are read, and it reads today's.

#[path = "../../wire/tests/support/golden.rs"]
mod golden;

use golden::{Golden, to_hex};
use luglink_fleet::{BackendId, StoreCommand, StoreName, StoreRegistry, StoreView};
use luglink_quota::{Limit, Purpose, QuotaRequest, QuotaResponse, Tolerance};
use luglink_storage::{Disk, FileDisk, MemoryDisk, Wal, WalConfig};
use luglink_turns::{
    Account, Chain, ChainQuery, Output, ProgramName, Replication, RequestToken, Spend, StoreConfig,
    StoreNode, StoreRequest, StoreResponse, TurnId, TurnRecord,
};
use luglink_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

const JOURNAL: &str = "wal-0000000000000000.log";
const IDENTITY: &str = "store-identity";

fn turn(id: &str) -> TurnId {
    TurnId(id.to_owned())
}

fn program() -> ProgramName {
    ProgramName("p".to_owned())
}

fn record(id: &str, ancestors: &[&str]) -> TurnRecord {
    TurnRecord {
        id: turn(id),
        program: program(),
        ancestors: ancestors.iter().map(|id| turn(id)).collect(),
        input: b"in".to_vec(),
        output: b"out".to_vec(),
        served_by: Some(BackendId("r1".to_owned())),
        retention_ms: 60_000,
    }
}

fn account() -> Account {
    let mut account = Account::default();
    account.note(&turn("a"), Spend::Reserved(300));
    account.note(&turn("b"), Spend::Settled(5));
    account
}

fn request_label(request: &StoreRequest) -> &'static str {
    match request {
        StoreRequest::Spend { .. } => "request-spend",
        StoreRequest::Account(_) => "request-account",
        StoreRequest::Keep { .. } => "request-keep",
        StoreRequest::Lookup(_) => "request-lookup",
        StoreRequest::HandOver { .. } => "request-hand-over",
        StoreRequest::Quota(_) => "request-quota",
    }
}

fn requests() -> Vec<StoreRequest> {
    vec![
        StoreRequest::Spend {
            epoch: 4,
            program: program(),
            turn: turn("t"),
            spend: Spend::Reserved(300),
            retention_ms: 60_000,
            chain: Some(ChainQuery { turn: turn("s") }),
            served_by: Some(BackendId("r1".to_owned())),
        },
        StoreRequest::Account(program()),
        StoreRequest::Keep {
            epoch: 4,
            turn: Box::new(record("t", &["s"])),
            tokens: 45,
            foreign_ancestors: vec![record("s", &[])],
        },
        StoreRequest::Lookup(ChainQuery { turn: turn("t") }),
        StoreRequest::HandOver {
            turns: vec![record("t", &[])],
            accounts: vec![(program(), account(), 60_000)],
        },
        StoreRequest::Quota(QuotaRequest {
            tenant: "tenant".into(),
            limit: Limit {
                version: 3,
                rate_per_s: 2.5,
                burst: 8.0,
            },
            purpose: Purpose::Continues,
        }),
    ]
}

fn response_label(response: &StoreResponse) -> &'static str {
    match response {
        StoreResponse::Spent { .. } => "response-spent",
        StoreResponse::Account(_) => "response-account",
        StoreResponse::Done => "response-done",
        StoreResponse::Chain(Chain::Found { .. }) => "response-chain-found",
        StoreResponse::Chain(Chain::Absent { .. }) => "response-chain-absent",
        StoreResponse::Failed { .. } => "response-failed",
        StoreResponse::Quota(QuotaResponse::Granted) => "response-quota-granted",
        StoreResponse::Quota(QuotaResponse::Denied { .. }) => "response-quota-denied",
        StoreResponse::Quota(QuotaResponse::NotOwner) => "response-quota-not-owner",
    }
}

fn responses() -> Vec<StoreResponse> {
    let found = Chain::Found {
        turn: Box::new(record("t", &["s"])),
        ancestors: vec![record("s", &[])],
    };
    let reason = "disk".to_owned();
    vec![
        StoreResponse::Spent {
            account: account(),
            chain: Some(Chain::Absent { incarnation: 9 }),
            served_by: None,
        },
        StoreResponse::Account(account()),
        StoreResponse::Done,
        StoreResponse::Chain(found),
        StoreResponse::Chain(Chain::Absent { incarnation: 9 }),
        StoreResponse::Failed { reason },
        StoreResponse::Quota(QuotaResponse::Granted),
        StoreResponse::Quota(QuotaResponse::Denied {
            retry_delay_ms: 300,
        }),
        StoreResponse::Quota(QuotaResponse::NotOwner),
    ]
}

#[test]
fn messages_keep_their_layout() {
    let golden = Golden::new(include_str!("golden/messages.txt"));
    for request in requests() {
        golden.check(request_label(&request), &request);
    }
    for response in responses() {
        golden.check(response_label(&response), &response);
    }
    golden.check("purpose-begins", &Purpose::Begins);
    golden.check("spend-settled", &Spend::Settled(5));
    golden.finish();
}

/// An entry of the journal, as it is on disk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Entry {
    Turn(TurnRecord),
    Spend {
        program: ProgramName,
        turn: TurnId,
        spend: Spend,
        retention_ms: u64,
    },
    HandedOver(StoreView),
}

fn view() -> StoreView {
    let mut registry = StoreRegistry::default();
    for number in 1..=3_u8 {
        registry.apply(&StoreCommand::Join {
            name: StoreName(format!("s{number}")),
            address: ([10, 0, 0, number], 80).into(),
            zone: "z".to_owned(),
            incarnation: u64::from(number),
            founding: true,
        });
    }
    registry.view().clone()
}

fn entries() -> Vec<Entry> {
    let spend = Entry::Spend {
        program: program(),
        turn: turn("u"),
        spend: Spend::Reserved(300),
        retention_ms: 60_000,
    };
    vec![
        Entry::Turn(record("t", &[])),
        spend,
        Entry::HandedOver(view()),
    ]
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn config() -> StoreConfig {
    StoreConfig {
        name: StoreName("s1".to_owned()),
        replication: Replication::surviving(1),
        wal: WalConfig::default(),
        quota_tolerance: Tolerance {
            window: Duration::from_secs(5),
            overage: 0.0,
            slack: 0.0,
        },
    }
}

fn start(disk: MemoryDisk) -> StoreNode<MemoryDisk> {
    StoreNode::start(config(), disk, 7, at(1)).expect("the store starts")
}

fn ask(node: &mut StoreNode<MemoryDisk>, request: StoreRequest) -> StoreResponse {
    let (client, request_number) = (1, 1);
    let token = RequestToken {
        client,
        request: request_number,
    };
    node.handle(token, request, at(2));
    let outputs = node.flush().into_iter();
    let mut replies = outputs.filter_map(|output| match output {
        Output::Reply { response, .. } => Some(*response),
        Output::HandOver { .. } => None,
    });
    replies.next().expect("an answer")
}

#[test]
fn the_journal_of_an_earlier_build_is_read() {
    let golden = Golden::new(include_str!("golden/journal.txt"));
    let mut disk = MemoryDisk::new();
    disk.replace(IDENTITY, golden.bytes("identity")).unwrap();
    disk.replace(JOURNAL, golden.bytes("log")).unwrap();
    golden.finish();
    let mut node = start(disk);
    assert_eq!(node.incarnation(), 5);
    assert_eq!(node.handed_over_epoch(), view().epoch);
    let account = ask(&mut node, StoreRequest::Account(program()));
    let StoreResponse::Account(account) = account else {
        panic!("expected an account, got {account:?}");
    };
    assert_eq!(account.spend_of(&turn("u")), Some(Spend::Reserved(300)));
    let wish = ChainQuery { turn: turn("t") };
    let chain = ask(&mut node, StoreRequest::Lookup(wish));
    let StoreResponse::Chain(Chain::Found { turn: found, .. }) = chain else {
        panic!("expected the turn, got {chain:?}");
    };
    assert_eq!(*found, record("t", &[]));
}

#[test]
fn the_journal_keeps_its_layout() {
    let golden = Golden::new(include_str!("golden/journal.txt"));
    let written = batch(&postcard::to_stdvec(&entries()).unwrap());
    assert_eq!(to_hex(&written), to_hex(golden.bytes("log")));
}

/// A log of one batch.
fn batch(payload: &[u8]) -> Vec<u8> {
    let mut disk = MemoryDisk::new();
    let (mut wal, _) = Wal::open(&mut disk, WalConfig::default()).unwrap();
    wal.append(&mut disk, payload).unwrap();
    disk.read(JOURNAL).unwrap()
}

#[test]
fn an_earlier_build_reads_what_this_one_writes_into_its_journal() {
    let mut node = start(MemoryDisk::new());
    let keep = requests().into_iter().filter(|request| {
        matches!(
            request,
            StoreRequest::Keep { .. } | StoreRequest::Spend { .. }
        )
    });
    for request in keep {
        ask(&mut node, request);
    }
    let mut disk = node.into_disk();
    let identity: u64 = postcard::from_bytes(&disk.read(IDENTITY).unwrap()).unwrap();
    assert_eq!(identity, 7);
    let (_, recovered) = Wal::open(&mut disk, WalConfig::default()).unwrap();
    let mut found = Vec::new();
    for batch in recovered.batches {
        let entries: Vec<Entry> = postcard::from_bytes(&batch.payload).unwrap();
        found.extend(entries);
    }
    assert!(found.contains(&Entry::Turn(record("t", &["s"]))));
    assert!(found.contains(&Entry::Turn(record("s", &[]))));
    let reserved = |entry: &Entry| matches!(entry, Entry::Spend { spend, .. } if *spend == Spend::Reserved(300));
    assert!(found.iter().any(reserved));
}

#[test]
fn a_journal_with_an_entry_of_a_newer_build_is_refused_and_stays_as_it_is() {
    let mut payload = postcard::to_stdvec(&entries()).unwrap();
    // One more entry, of a kind that is not known.
    payload[0] += 1;
    payload.push(3);
    let folder = tempfile::tempdir().unwrap();
    let mut disk = FileDisk::open(folder.path()).unwrap();
    disk.replace(JOURNAL, &batch(&payload)).unwrap();
    let before = disk.read(JOURNAL).unwrap();
    let error = StoreNode::start(config(), disk, 7, at(1)).expect_err("refused");
    assert!(error.to_string().contains("journal"), "{error}");
    let disk = FileDisk::open(folder.path()).unwrap();
    assert_eq!(disk.read(JOURNAL).unwrap(), before);
}
