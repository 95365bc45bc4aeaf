//! Durability of a store, its behaviour on disk errors, and the hand-over between stores.

use luglink_fleet::{BackendId, StoreCommand, StoreName, StoreRegistry, StoreView};
use luglink_quota::Tolerance;
use luglink_storage::{CrashDamage, MemoryDisk, WalConfig};
use luglink_turns::{
    AbsenceProof, Account, Chain, ChainQuery, ClientView, Output, ProgramName, Refusal,
    Replication, RequestToken, Spend, StoreConfig, StoreNode, StoreRequest, StoreResponse, TurnId,
    TurnRecord,
};
use luglink_types::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const RETENTION_MS: u64 = 60_000;

fn name(text: &str) -> StoreName {
    StoreName(text.to_owned())
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn start(text: &str, disk: MemoryDisk, new_incarnation: u64) -> StoreNode<MemoryDisk> {
    start_with(text, disk, new_incarnation, 1 << 20)
}

fn start_with(
    text: &str,
    disk: MemoryDisk,
    new_incarnation: u64,
    segment_bytes: u64,
) -> StoreNode<MemoryDisk> {
    let config = StoreConfig {
        name: name(text),
        replication: Replication::surviving(1),
        wal: WalConfig { segment_bytes },
        quota_tolerance: Tolerance {
            window: Duration::from_secs(5),
            overage: 0.0,
            slack: 0.0,
        },
    };
    StoreNode::start(config, disk, new_incarnation, at(1)).expect("the store starts")
}

fn record(id: &str, program: &str, ancestors: &[&str]) -> TurnRecord {
    TurnRecord {
        id: TurnId(id.to_owned()),
        program: ProgramName(program.to_owned()),
        ancestors: ancestors
            .iter()
            .map(|id| TurnId((*id).to_owned()))
            .collect(),
        input: format!("input of {id}").into_bytes(),
        output: format!("output of {id}\n").into_bytes(),
        served_by: Some(BackendId("replica".to_owned())),
        retention_ms: RETENTION_MS,
    }
}

/// Epoch of a writer that has the newest view.
const CURRENT_EPOCH: u64 = u64::MAX;

fn keep(record: TurnRecord, tokens: u64) -> StoreRequest {
    keep_at(CURRENT_EPOCH, record, tokens)
}

fn keep_at(epoch: u64, record: TurnRecord, tokens: u64) -> StoreRequest {
    StoreRequest::Keep {
        epoch,
        turn: Box::new(record),
        tokens,
        foreign_ancestors: Vec::new(),
    }
}

fn reserve(program: &str, turn: &str, tokens: u64) -> StoreRequest {
    StoreRequest::Spend {
        epoch: CURRENT_EPOCH,
        program: ProgramName(program.to_owned()),
        turn: TurnId(turn.to_owned()),
        spend: Spend::Reserved(tokens),
        retention_ms: RETENTION_MS,
        chain: None,
        served_by: None,
    }
}

fn send(node: &mut StoreNode<MemoryDisk>, request: StoreRequest, now: Timestamp) -> StoreResponse {
    let token = RequestToken {
        client: 1,
        request: 1,
    };
    node.handle(token, request, now);
    let outputs = node.flush();
    let mut replies = outputs.into_iter().filter_map(|output| match output {
        Output::Reply { response, .. } => Some(*response),
        Output::HandOver { .. } => None,
    });
    replies.next().expect("a reply")
}

fn lookup(node: &mut StoreNode<MemoryDisk>, id: &str, now: Timestamp) -> Chain {
    let query = ChainQuery {
        turn: TurnId(id.to_owned()),
    };
    match send(node, StoreRequest::Lookup(query), now) {
        StoreResponse::Chain(chain) => chain,
        other => panic!("expected a chain, got {other:?}"),
    }
}

fn account(node: &mut StoreNode<MemoryDisk>, program: &str) -> Account {
    let request = StoreRequest::Account(ProgramName(program.to_owned()));
    match send(node, request, at(2)) {
        StoreResponse::Account(account) => account,
        other => panic!("expected an account, got {other:?}"),
    }
}

fn is_found(chain: &Chain) -> bool {
    matches!(chain, Chain::Found { .. })
}

#[test]
fn acknowledged_writes_survive_a_power_failure() {
    let mut node = start("a", MemoryDisk::default(), 7);
    send(&mut node, reserve("p", "t1", 100), at(2));
    send(&mut node, keep(record("t1", "p", &[]), 45), at(2));
    send(&mut node, keep(record("t2", "p", &["t1"]), 9), at(3));
    send(&mut node, reserve("p", "t3", 100), at(3));
    let mut disk = node.into_disk();
    disk.crash(CrashDamage::LoseUnsynced);
    let mut node = start("a", disk, 8);
    assert_eq!(node.incarnation(), 7, "the disk keeps its incarnation");
    assert_eq!(account(&mut node, "p").total(), 45 + 9 + 100);
    match lookup(&mut node, "t2", at(3)) {
        Chain::Found { turn, ancestors } => {
            assert_eq!(*turn, record("t2", "p", &["t1"]));
            assert_eq!(ancestors, vec![record("t1", "p", &[])]);
        }
        Chain::Absent { .. } => panic!("the turn is absent after the restart"),
    }
}

#[test]
fn a_chain_is_kept_as_long_as_its_newest_turn() {
    let mut node = start("a", MemoryDisk::default(), 7);
    send(&mut node, keep(record("t1", "p", &[]), 1), at(2));
    send(&mut node, keep(record("t2", "p", &["t1"]), 1), at(50));
    node.tick(at(100));
    assert!(is_found(&lookup(&mut node, "t1", at(100))));
    node.tick(at(111));
    assert!(!is_found(&lookup(&mut node, "t1", at(111))));
    assert!(!is_found(&lookup(&mut node, "t2", at(111))));
}

#[test]
fn the_response_to_a_turn_names_the_replica_of_the_previous_one() {
    let mut node = start("a", MemoryDisk::default(), 7);
    let replica = BackendId("replica".to_owned());
    let hint = |node: &mut StoreNode<MemoryDisk>, request: StoreRequest| match send(
        node,
        request,
        at(2),
    ) {
        StoreResponse::Spent { served_by, .. } => served_by,
        other => panic!("expected an account, got {other:?}"),
    };
    assert_eq!(hint(&mut node, reserve("p", "t1", 100)), None);
    let settled = StoreRequest::Spend {
        epoch: CURRENT_EPOCH,
        program: ProgramName("p".to_owned()),
        turn: TurnId("t1".to_owned()),
        spend: Spend::Settled(45),
        retention_ms: RETENTION_MS,
        chain: None,
        served_by: Some(replica.clone()),
    };
    hint(&mut node, settled);
    let next = hint(&mut node, reserve("p", "t2", 100));
    assert_eq!(next, Some(replica));
    assert_eq!(hint(&mut node, reserve("q", "t3", 100)), None);
    // The replica is a hint that is lost with the process.
    let mut node = start("a", node.into_disk(), 8);
    assert_eq!(hint(&mut node, reserve("p", "t4", 100)), None);
}

#[test]
fn on_a_full_disk_writes_fail_and_stored_turns_remain() {
    let mut node = start("a", MemoryDisk::default(), 7);
    send(&mut node, keep(record("t1", "p", &[]), 1), at(2));
    node.disk_mut().set_full(true);
    let failed = send(&mut node, keep(record("t2", "p", &["t1"]), 1), at(3));
    assert!(matches!(failed, StoreResponse::Failed { .. }));
    assert!(is_found(&lookup(&mut node, "t1", at(3))), "reads succeed");
    assert!(!is_found(&lookup(&mut node, "t2", at(3))));
    node.disk_mut().set_full(false);
    let accepted = send(&mut node, keep(record("t3", "p", &["t1"]), 1), at(4));
    assert_eq!(accepted, StoreResponse::Done);
    let mut node = start("a", node.into_disk(), 8);
    assert!(is_found(&lookup(&mut node, "t1", at(5))));
    assert!(is_found(&lookup(&mut node, "t3", at(5))));
}

#[test]
fn compaction_removes_old_segments_and_keeps_live_entries() {
    let mut node = start_with("a", MemoryDisk::default(), 7, 2_000);
    send(&mut node, reserve("long", "first", 33), at(2));
    for number in 0..200 {
        let id = format!("t{number}");
        send(&mut node, keep(record(&id, "p", &[]), 1), at(2 + number));
    }
    let disk = node.into_disk();
    let mut node = start_with("a", disk, 8, 2_000);
    assert!(is_found(&lookup(&mut node, "t199", at(201))));
    assert!(is_found(&lookup(&mut node, "t150", at(201))));
    let request = reserve("long", "second", 10);
    let StoreResponse::Spent { account, .. } = send(&mut node, request, at(30)) else {
        panic!("the reservation failed");
    };
    assert!(account.total() >= 10);
}

fn view_of(names: &[(&str, u64)]) -> StoreRegistry {
    let mut registry = StoreRegistry::default();
    for (text, incarnation) in names {
        registry.apply(&join(text, *incarnation, true));
    }
    registry
}

fn join(text: &str, incarnation: u64, founding: bool) -> StoreCommand {
    StoreCommand::Join {
        name: name(text),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "z".to_owned(),
        incarnation,
        founding,
    }
}

/// Stores that exchange hand-over messages until none is left.
struct Stores(BTreeMap<StoreName, StoreNode<MemoryDisk>>);

impl Stores {
    fn start(names: &[(&str, u64)]) -> Self {
        let nodes = names.iter().map(|(text, incarnation)| {
            (name(text), start(text, MemoryDisk::default(), *incarnation))
        });
        Self(nodes.collect())
    }

    fn set_view(&mut self, view: &StoreView, now: Timestamp) {
        for node in self.0.values_mut() {
            node.set_view(view.clone(), now);
        }
        self.settle(now);
    }

    fn settle(&mut self, now: Timestamp) {
        for _ in 0..20 {
            let names: Vec<StoreName> = self.0.keys().cloned().collect();
            for from in names {
                let node = self.0.get_mut(&from).unwrap();
                node.tick(now);
                let outputs = node.flush();
                for output in outputs {
                    let Output::HandOver {
                        to,
                        number,
                        request,
                    } = output
                    else {
                        continue;
                    };
                    let Some(receiver) = self.0.get_mut(&to) else {
                        continue;
                    };
                    assert_eq!(send(receiver, *request, now), StoreResponse::Done);
                    let sender = self.0.get_mut(&from).unwrap();
                    sender.on_hand_over_acknowledged(&to, number, now);
                }
            }
        }
    }

    fn node(&mut self, text: &str) -> &mut StoreNode<MemoryDisk> {
        self.0.get_mut(&name(text)).unwrap()
    }
}

#[test]
fn a_store_with_an_empty_disk_receives_records_from_the_others() {
    let mut registry = view_of(&[("a", 1), ("b", 2), ("c", 3)]);
    let mut stores = Stores::start(&[("a", 1), ("b", 2), ("c", 3)]);
    stores.set_view(registry.view(), at(1));
    // Only a and b have the turn, and b does not have the reservation.
    send(stores.node("a"), keep(record("t1", "p", &[]), 45), at(2));
    send(stores.node("b"), keep(record("t1", "p", &[]), 45), at(2));
    send(stores.node("a"), reserve("p", "t2", 100), at(2));
    send(stores.node("c"), reserve("p", "t2", 100), at(2));
    // c restarts with an empty disk.
    stores
        .0
        .insert(name("c"), start("c", MemoryDisk::default(), 9));
    registry.apply(&join("c", 9, false));
    let epoch = registry.view().epoch;
    stores.set_view(registry.view(), at(3));
    assert!(is_found(&lookup(stores.node("c"), "t1", at(3))));
    assert_eq!(account(stores.node("c"), "p").total(), 145);
    for text in ["a", "b", "c"] {
        assert_eq!(stores.node(text).handed_over_epoch(), epoch, "{text}");
    }
}

#[test]
fn a_retiring_store_hands_over_all_records_first() {
    let names = [("a", 1), ("b", 2), ("c", 3), ("d", 4)];
    let mut registry = view_of(&names);
    let mut stores = Stores::start(&names);
    stores.set_view(registry.view(), at(1));
    let replication = Replication::surviving(1);
    for number in 0..40 {
        let program = format!("p{number}");
        let id = format!("t{number}");
        let owners = replication.owners(registry.view(), &program);
        // Write to a minimal quorum that includes the retiring store if it is an owner.
        let mut holders: Vec<&StoreName> = owners.iter().collect();
        holders.sort_by_key(|owner| **owner != name("a"));
        for holder in &holders[..replication.quorum()] {
            let node = stores.0.get_mut(holder).unwrap();
            send(node, keep(record(&id, &program, &[]), 1), at(2));
        }
    }
    registry.apply(&StoreCommand::Retire {
        name: name("a"),
        minimum: 3,
    });
    stores.set_view(registry.view(), at(3));
    stores.0.remove(&name("a"));
    for number in 0..40 {
        let id = format!("t{number}");
        let holders = ["b", "c", "d"]
            .into_iter()
            .filter(|text| is_found(&lookup(stores.0.get_mut(&name(text)).unwrap(), &id, at(3))));
        let count = holders.count();
        assert!(count >= replication.quorum(), "{id} is on {count} disks");
    }
}

#[test]
fn an_unacknowledged_hand_over_is_sent_again_and_late_acknowledgements_are_ignored() {
    let mut registry = view_of(&[("a", 1), ("b", 2), ("c", 3)]);
    let mut node = start("a", MemoryDisk::default(), 1);
    node.set_view(registry.view().clone(), at(1));
    send(&mut node, keep(record("t1", "p", &[]), 1), at(1));
    registry.apply(&join("b", 9, false));
    node.set_view(registry.view().clone(), at(2));
    let numbers = |outputs: Vec<Output>| -> Vec<u64> {
        let numbers = outputs.into_iter().filter_map(|output| match output {
            Output::HandOver { number, .. } => Some(number),
            Output::Reply { .. } => None,
        });
        numbers.collect()
    };
    let first = numbers(node.flush());
    assert_eq!(first.len(), 1);
    node.tick(at(2).plus(Duration::from_millis(100)));
    assert!(numbers(node.flush()).is_empty(), "not timed out yet");
    node.tick(at(4));
    let second = numbers(node.flush());
    assert_eq!(second.len(), 1);
    node.on_hand_over_acknowledged(&name("b"), first[0], at(4));
    node.flush();
    // The messages with the turns and with the accounts are both unacknowledged.
    node.on_hand_over_acknowledged(&name("b"), second[0], at(4));
    let mut acknowledged = 1;
    while node.handed_over_epoch() < registry.view().epoch {
        let sent = numbers(node.flush());
        if let Some(number) = sent.first() {
            node.on_hand_over_acknowledged(&name("b"), *number, at(4));
            acknowledged += 1;
        }
    }
    assert_eq!(acknowledged, 2, "the late acknowledgement was counted");
}

#[test]
fn acknowledged_turns_are_not_sent_again_if_the_view_changes_during_the_hand_over() {
    let mut registry = view_of(&[("a", 1), ("b", 2), ("c", 3)]);
    let mut node = start("a", MemoryDisk::default(), 1);
    node.set_view(registry.view().clone(), at(1));
    send(&mut node, keep(record("t1", "p", &[]), 1), at(1));
    let sent_to_b = |node: &mut StoreNode<MemoryDisk>| -> Vec<(u64, usize)> {
        let outputs = node.flush().into_iter();
        let messages = outputs.filter_map(|output| match output {
            Output::HandOver {
                to,
                number,
                request,
            } if to == name("b") => match *request {
                StoreRequest::HandOver { turns, .. } => Some((number, turns.len())),
                _ => None,
            },
            _ => None,
        });
        messages.collect()
    };
    registry.apply(&join("b", 9, false));
    node.set_view(registry.view().clone(), at(2));
    let first = sent_to_b(&mut node);
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].1, 1, "the turn is sent first");
    node.on_hand_over_acknowledged(&name("b"), first[0].0, at(2));
    // Another store changes before the hand-over is complete.
    registry.apply(&join("c", 8, false));
    node.set_view(registry.view().clone(), at(3));
    let turns: usize = sent_to_b(&mut node).iter().map(|(_, turns)| turns).sum();
    assert_eq!(turns, 0, "b has the turn on its disk");
    // A replaced disk does not have the acknowledged turns.
    registry.apply(&join("b", 10, false));
    node.set_view(registry.view().clone(), at(4));
    let turns: usize = sent_to_b(&mut node).iter().map(|(_, turns)| turns).sum();
    assert_eq!(turns, 1);
}

#[test]
fn a_write_under_an_older_view_is_forwarded_to_current_owners() {
    let mut registry = view_of(&[("a", 1), ("b", 2), ("c", 3)]);
    let mut stores = Stores::start(&[("a", 1), ("b", 2), ("c", 3), ("d", 4)]);
    stores.set_view(registry.view(), at(1));
    registry.apply(&join("d", 4, false));
    stores.set_view(registry.view(), at(2));
    // Find a program that d owns now. A gateway with the older view writes to a and b only.
    let replication = Replication::surviving(1);
    let program = (0..)
        .map(|number| format!("p{number}"))
        .find(|program| {
            let owners = replication.owners(registry.view(), program);
            owners.contains(&name("d")) && owners.contains(&name("a"))
        })
        .unwrap();
    let old_epoch = registry.view().epoch - 1;
    let written = keep_at(old_epoch, record("t1", &program, &[]), 1);
    send(stores.node("a"), written, at(3));
    // `send` dropped the forwarded message, so it has to be sent again.
    stores.settle(at(5));
    assert!(is_found(&lookup(stores.node("d"), "t1", at(5))));
}

#[test]
fn a_turn_is_absent_only_if_no_authoritative_disk_can_have_it() {
    let replication = Replication::surviving(1);
    let registry = view_of(&[("a", 1), ("b", 2), ("c", 3)]);
    let view = registry.view();
    let absent = |incarnation| Chain::Absent { incarnation };
    let mut absence = AbsenceProof::default();
    absence.record(view, &name("a"), &absent(1));
    assert!(!absence.is_certain(view, replication), "one may have it");
    absence.record(view, &name("b"), &absent(77));
    assert!(
        !absence.is_certain(view, replication),
        "a replaced disk is not authoritative"
    );
    absence.record(view, &name("b"), &absent(2));
    assert!(absence.is_certain(view, replication));
    let empty_view = StoreView::default();
    assert!(!AbsenceProof::default().is_certain(&empty_view, replication));
}

/// Guards against a 404 from a gateway that knows fewer stores than hold a copy, because the deployment is
/// being founded.
#[test]
fn no_turn_is_absent_while_fewer_stores_than_copies_are_known() {
    let replication = Replication::surviving(1);
    let founding = [("a", 1), ("b", 2), ("c", 3)];
    for known in 0..founding.len() {
        let registry = view_of(&founding[..known]);
        let mut absence = AbsenceProof::default();
        for (text, incarnation) in &founding[..known] {
            let absent = Chain::Absent {
                incarnation: *incarnation,
            };
            absence.record(registry.view(), &name(text), &absent);
        }
        assert!(!absence.is_certain(registry.view(), replication), "{known}");
    }
}

/// Requests that were handled but not written when a view arrived belong to the view before it.
#[test]
fn requests_handled_before_a_view_are_part_of_its_hand_over() {
    let mut registry = view_of(&[("a", 1), ("b", 2), ("c", 3)]);
    let mut node = start("a", MemoryDisk::default(), 1);
    node.set_view(registry.view().clone(), at(1));
    let token = RequestToken {
        client: 1,
        request: 1,
    };
    node.handle(token, keep(record("t1", "p", &[]), 1), at(1));
    registry.apply(&join("b", 9, false));
    node.set_view(registry.view().clone(), at(2));
    let handed_over = node.flush().into_iter().any(|output| match output {
        Output::HandOver { request, .. } => match *request {
            StoreRequest::HandOver { turns, .. } => !turns.is_empty(),
            _ => false,
        },
        Output::Reply { .. } => false,
    });
    assert!(handed_over, "the turn is not handed over");
}

/// A store that reported a completion and forgot it in a crash would accept requests again under the
/// view before.
#[test]
fn a_hand_over_is_reported_as_complete_only_once_that_is_on_disk() {
    let registry = view_of(&[("a", 1), ("b", 2), ("c", 3)]);
    let mut node = start("a", MemoryDisk::default(), 1);
    node.disk_mut().set_full(true);
    node.set_view(registry.view().clone(), at(1));
    node.flush();
    assert_eq!(node.handed_over_epoch(), 0);
    node.disk_mut().set_full(false);
    node.flush();
    assert_eq!(node.handed_over_epoch(), registry.view().epoch);
    let node = start("a", node.into_disk(), 2);
    assert_eq!(node.handed_over_epoch(), registry.view().epoch);
}

/// A client whose view names another disk of this store or of another owner, or other owners, must not
/// count the response.
#[test]
fn requests_under_a_view_with_another_disk_or_other_owners_are_refused() {
    let mut registry = view_of(&[("a", 1), ("b", 2), ("c", 3)]);
    let mut node = start("a", MemoryDisk::default(), 1);
    node.set_view(registry.view().clone(), at(1));
    let token = RequestToken {
        client: 1,
        request: 1,
    };
    let refusal = |node: &mut StoreNode<MemoryDisk>, epoch, incarnation| {
        let client_view = ClientView { epoch, incarnation };
        node.handle_under(Some(client_view), token, reserve("p", "t", 1), at(2))
    };
    let epoch = registry.view().epoch;
    assert_eq!(refusal(&mut node, epoch, 1), None);
    assert_eq!(refusal(&mut node, epoch, 7), Some(Refusal::UnexpectedDisk));
    // The disk of another owner has been lost, and with it what it acknowledged under this view.
    registry.apply(&join("b", 9, false));
    node.set_view(registry.view().clone(), at(3));
    assert_eq!(refusal(&mut node, epoch, 1), Some(Refusal::OutdatedView));
    let epoch = registry.view().epoch;
    assert_eq!(refusal(&mut node, epoch, 1), None);
    registry.apply(&join("d", 4, false));
    registry.apply(&StoreCommand::Lose { name: name("b") });
    node.set_view(registry.view().clone(), at(4));
    assert_eq!(refusal(&mut node, epoch, 1), Some(Refusal::OutdatedView));
    assert_eq!(refusal(&mut node, registry.view().epoch, 1), None);
}

/// After a restart, a store must still refuse the views before the one for which it has reported its
/// hand-over, also if the journal was compacted during the next hand-over.
#[test]
fn compaction_keeps_the_view_of_the_last_completed_hand_over() {
    let mut registry = view_of(&[("a", 1), ("b", 2), ("c", 3)]);
    let mut node = start_with("a", MemoryDisk::default(), 1, 2_000);
    node.set_view(registry.view().clone(), at(1));
    node.flush();
    let completed = registry.view().epoch;
    assert_eq!(node.handed_over_epoch(), completed);
    send(&mut node, keep(record("t", "p", &[]), 1), at(1));
    registry.apply(&join("b", 9, false));
    node.set_view(registry.view().clone(), at(2));
    for number in 0..200 {
        let id = format!("t{number}");
        send(&mut node, keep(record(&id, "p", &[]), 1), at(2));
    }
    let node = start_with("a", node.into_disk(), 2, 2_000);
    assert_eq!(node.handed_over_epoch(), completed);
}

/// The absence of a turn must not be reported to a client that may not know all stores.
#[test]
fn an_absence_is_not_reported_under_a_view_with_other_stores() {
    let mut registry = view_of(&[("a", 1), ("b", 2), ("c", 3)]);
    let mut node = start("a", MemoryDisk::default(), 1);
    node.set_view(registry.view().clone(), at(1));
    send(&mut node, keep(record("t1", "p", &[]), 1), at(1));
    let client_view = ClientView {
        epoch: registry.view().epoch,
        incarnation: 1,
    };
    let token = RequestToken {
        client: 1,
        request: 1,
    };
    registry.apply(&join("d", 4, false));
    node.set_view(registry.view().clone(), at(2));
    let refusal = |node: &mut StoreNode<MemoryDisk>, id: &str| {
        let query = ChainQuery {
            turn: TurnId(id.to_owned()),
        };
        node.handle_under(Some(client_view), token, StoreRequest::Lookup(query), at(2))
    };
    assert_eq!(refusal(&mut node, "other"), Some(Refusal::OutdatedView));
    assert_eq!(refusal(&mut node, "t1"), None);
}
