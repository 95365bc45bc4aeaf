//! A store gives out quotas, also after a restart.

use luglink_fleet::{StoreCommand, StoreName, StoreRegistry, StoreView};
use luglink_quota::{Limit, Purpose, QuotaRequest, QuotaResponse, Tolerance};
use luglink_storage::{MemoryDisk, WalConfig};
use luglink_turns::{
    Output, Replication, RequestToken, StoreConfig, StoreNode, StoreRequest, StoreResponse,
};
use luglink_types::{TenantName, Timestamp};
use std::time::Duration;

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn name() -> StoreName {
    StoreName("store".to_owned())
}

fn start(disk: MemoryDisk, now: Timestamp) -> StoreNode<MemoryDisk> {
    let config = StoreConfig {
        name: name(),
        replication: Replication::surviving(0),
        wal: WalConfig {
            segment_bytes: 1 << 20,
        },
        quota_tolerance: Tolerance {
            window: Duration::from_secs(5),
            overage: 0.0,
            slack: 0.0,
        },
    };
    StoreNode::start(config, disk, 7, now).expect("the store starts")
}

fn view() -> StoreView {
    let mut registry = StoreRegistry::default();
    registry.apply(&StoreCommand::Join {
        name: name(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "zone".to_owned(),
        incarnation: 7,
        founding: true,
    });
    registry.view().clone()
}

fn ask(node: &mut StoreNode<MemoryDisk>, now: Timestamp) -> QuotaResponse {
    let token = RequestToken {
        client: 1,
        request: 1,
    };
    let ask = QuotaRequest {
        tenant: TenantName::from("tenant"),
        limit: Limit {
            version: 1,
            rate_per_s: 1.0,
            burst: 1.0,
        },
        purpose: Purpose::Continues,
    };
    node.handle(token, StoreRequest::Quota(ask), now);
    let mut replies = node.flush().into_iter().filter_map(|output| match output {
        Output::Reply { response, .. } => Some(*response),
        Output::HandOver { .. } => None,
    });
    match replies.next() {
        Some(StoreResponse::Quota(answer)) => answer,
        other => panic!("expected a quota's answer, got {other:?}"),
    }
}

#[test]
fn a_store_that_starts_again_owns_what_its_disk_says_that_it_owned() {
    let mut node = start(MemoryDisk::default(), at(1));
    node.set_view(view(), at(2));
    node.note_leader_contact(at(9));
    assert_eq!(ask(&mut node, at(9)), QuotaResponse::Granted);
    // The members tell a store its view only when it lacks it.
    let mut node = start(node.into_disk(), at(10));
    assert_eq!(node.epoch(), view().epoch);
    node.note_leader_contact(at(10));
    assert!(matches!(
        ask(&mut node, at(10)),
        QuotaResponse::Denied { .. }
    ));
    node.note_leader_contact(at(12));
    assert_eq!(ask(&mut node, at(12)), QuotaResponse::Granted);
}
