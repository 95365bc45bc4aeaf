//! What a store acknowledges: a turn only together with all that it continues.

use luglink_fleet::{StoreCommand, StoreName, StoreRegistry, owners};
use luglink_quota::Tolerance;
use luglink_storage::{MemoryDisk, WalConfig};
use luglink_turns::{
    Account, Chain, ChainQuery, ClientView, KeepCheck, KeepReport, Output, ProgramName, Refusal,
    Replication, RequestToken, Spend, StoreConfig, StoreNode, StoreRequest, StoreResponse, TurnId,
    TurnRecord, turn_batches,
};
use luglink_types::Timestamp;
use std::time::Duration;

const RETENTION_MS: u64 = 60_000;

const TOKEN: RequestToken = RequestToken {
    client: 1,
    request: 1,
};

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn id(text: &str) -> TurnId {
    TurnId(text.to_owned())
}

fn start(name: &str) -> StoreNode<MemoryDisk> {
    let config = StoreConfig {
        name: StoreName(name.to_owned()),
        replication: Replication::surviving(1),
        wal: WalConfig {
            segment_bytes: 1 << 20,
        },
        quota_tolerance: Tolerance {
            window: Duration::from_secs(5),
            overage: 0.0,
            slack: 0.0,
        },
    };
    StoreNode::start(config, MemoryDisk::default(), 1, at(1)).expect("the store starts")
}

fn record(turn: &str, program: &str, ancestors: &[&str]) -> TurnRecord {
    TurnRecord {
        id: id(turn),
        program: ProgramName(program.to_owned()),
        ancestors: ancestors.iter().map(|turn| id(turn)).collect(),
        input: b"in".to_vec(),
        output: b"out\n".to_vec(),
        served_by: None,
        retention_ms: RETENTION_MS,
    }
}

fn keep_request(record: TurnRecord) -> StoreRequest {
    StoreRequest::Keep {
        epoch: 0,
        turn: Box::new(record),
        tokens: 10,
        foreign_ancestors: Vec::new(),
    }
}

/// Account of a program with these settled turns.
fn account(turns: &[&str]) -> Account {
    let mut account = Account::default();
    for turn in turns {
        account.record(&id(turn), Spend::Settled(10));
    }
    account
}

fn send(
    node: &mut StoreNode<MemoryDisk>,
    known: &Account,
    request: StoreRequest,
    now: Timestamp,
) -> (StoreResponse, KeepReport) {
    let check = KeepCheck {
        account_digest: known.digest(),
    };
    let view = ClientView {
        epoch: 0,
        incarnation: 1,
    };
    let refusal = node.handle_checked(Some(view), Some(check), TOKEN, request, now);
    assert_eq!(refusal, None);
    let mut replies = node.flush().into_iter().filter_map(|output| match output {
        Output::Reply {
            response, report, ..
        } => Some((*response, report.map(|report| *report).unwrap_or_default())),
        Output::HandOver { .. } => None,
    });
    replies.next().expect("a reply")
}

fn is_whole(node: &mut StoreNode<MemoryDisk>, turn: &str, now: Timestamp) -> bool {
    let query = ChainQuery { turn: id(turn) };
    let (response, _) = send(node, &Account::default(), StoreRequest::Lookup(query), now);
    match response {
        StoreResponse::Chain(Chain::Found { turn, ancestors }) => {
            ancestors.len() == turn.ancestors.len()
        }
        _ => false,
    }
}

/// Guards against turns that are acknowledged by a store that cannot return what they continue.
#[test]
fn a_store_names_the_ancestors_that_it_lacks_and_acknowledges_a_turn_after_them() {
    let mut node = start("a");
    let chain = [record("t1", "p", &[]), record("t2", "p", &["t1"])];
    let third = record("t3", "p", &["t1", "t2"]);
    let known = account(&["t3"]);
    let (response, report) = send(&mut node, &known, keep_request(third.clone()), at(2));
    assert!(
        matches!(response, StoreResponse::Failed { .. }),
        "{response:?}"
    );
    assert_eq!(report.missing, [id("t1"), id("t2")]);
    assert_eq!(node.counts(), (0, 0), "nothing is stored");
    for batch in turn_batches(chain) {
        let (response, _) = send(&mut node, &known, batch, at(2));
        assert_eq!(response, StoreResponse::Done);
    }
    let (response, report) = send(&mut node, &known, keep_request(third), at(2));
    assert_eq!(
        (response, report),
        (StoreResponse::Done, KeepReport::default())
    );
    assert!(is_whole(&mut node, "t3", at(2)));
}

/// Guards against a chain of which a part expires before the turn that continues it.
#[test]
fn ancestors_live_as_long_as_the_turn_that_continues_them() {
    let mut node = start("a");
    send(
        &mut node,
        &account(&["t1"]),
        keep_request(record("t1", "p", &[])),
        at(1),
    );
    let second = keep_request(record("t2", "p", &["t1"]));
    send(&mut node, &account(&["t1", "t2"]), second.clone(), at(60));
    node.tick(at(119));
    assert!(is_whole(&mut node, "t2", at(119)));
    // A write that is repeated restarts the retention, too.
    send(&mut node, &account(&["t1", "t2"]), second, at(119));
    node.tick(at(178));
    assert!(is_whole(&mut node, "t2", at(178)));
}

/// Guards against spends that no store but one knows, although several acknowledged later ones.
#[test]
fn a_store_reports_an_account_that_is_not_the_one_of_the_writer() {
    let mut node = start("a");
    let keep = |turn: &str| keep_request(record(turn, "p", &[]));
    let (_, report) = send(&mut node, &account(&["t1"]), keep("t1"), at(1));
    assert_eq!(report.account, None);
    let (_, report) = send(&mut node, &account(&["t0", "t1", "t2"]), keep("t2"), at(1));
    assert_eq!(report.account, Some(account(&["t1", "t2"])));
    let (_, report) = send(&mut node, &account(&["t3"]), keep("t3"), at(1));
    assert_eq!(report.account, Some(account(&["t1", "t2", "t3"])));
}

/// Guards against records that complete a store under a view in which another disk or other stores
/// were meant.
#[test]
fn records_that_complete_a_store_are_refused_by_another_disk() {
    let mut node = start("a");
    let view = ClientView {
        epoch: 0,
        incarnation: 2,
    };
    for request in turn_batches([record("t1", "p", &[])]) {
        let refusal = node.handle_checked(Some(view), None, TOKEN, request, at(1));
        assert_eq!(refusal, Some(Refusal::UnexpectedDisk));
    }
}

fn join(name: &str, incarnation: u64, founding: bool) -> StoreCommand {
    StoreCommand::Join {
        name: StoreName(name.to_owned()),
        address: ([127, 0, 0, 1], u16::try_from(incarnation).unwrap()).into(),
        zone: "z".to_owned(),
        incarnation,
        founding,
    }
}

/// Guards against a hand-over that leaves out turns of other programs, which only the owners of the
/// program that continues them keep.
#[test]
fn a_new_owner_of_a_program_gets_the_turns_of_other_programs_in_its_chains() {
    let mut registry = StoreRegistry::default();
    for (name, incarnation) in [("a", 1), ("b", 2), ("c", 3)] {
        registry.apply(&join(name, incarnation, true));
    }
    let mut later = registry.clone();
    later.apply(&join("d", 4, false));
    let is_new_owner =
        |program: &&String| owners(later.view(), program, 3).contains(&StoreName("d".to_owned()));
    let programs: Vec<String> = (0..100).map(|number| format!("p{number}")).collect();
    let (moved, unmoved): (Vec<&String>, Vec<&String>) = programs.iter().partition(is_new_owner);
    let mut node = start("a");
    node.set_view(registry.view().clone(), at(1));
    let parents = [
        record("t1", unmoved[0], &[]),
        record("t2", unmoved[0], &["t1"]),
    ];
    let children = [
        record("t3", moved[0], &["t1", "t2"]),
        record("t4", moved[0], &["t1", "t2", "t3"]),
    ];
    for turn in parents.into_iter().chain(children) {
        node.handle(TOKEN, keep_request(turn), at(1));
    }
    node.flush();
    node.set_view(later.view().clone(), at(2));
    let transferred = node.flush().into_iter().find_map(|output| match output {
        Output::HandOver { to, request, .. } if to.0 == "d" => match *request {
            StoreRequest::HandOver { turns, .. } => Some(turns),
            _ => None,
        },
        _ => None,
    });
    let transferred = transferred.expect("turns are handed over");
    let mut transferred: Vec<TurnId> = transferred.into_iter().map(|turn| turn.id).collect();
    transferred.sort();
    assert_eq!(transferred, ["t1", "t2", "t3", "t4"].map(id));
}
