//! Quota grants of a store before and after a restart.

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

fn request_quota(node: &mut StoreNode<MemoryDisk>, now: Timestamp) -> QuotaResponse {
    let token = RequestToken {
        client: 1,
        request: 1,
    };
    let request = QuotaRequest {
        tenant: TenantName::from("tenant"),
        limit: Limit {
            version: 1,
            rate_per_s: 1.0,
            burst: 1.0,
        },
        purpose: Purpose::Continues,
    };
    node.handle(token, StoreRequest::Quota(request), now);
    let mut replies = node.flush().into_iter().filter_map(|output| match output {
        Output::Reply { response, .. } => Some(*response),
        Output::HandOver { .. } => None,
    });
    match replies.next() {
        Some(StoreResponse::Quota(response)) => response,
        other => panic!("expected a quota response, got {other:?}"),
    }
}

#[test]
fn a_restarted_store_owns_the_quotas_of_the_view_on_its_disk() {
    let mut node = start(MemoryDisk::default(), at(1));
    node.set_view(view(), at(2));
    node.note_leader_contact(at(9));
    assert_eq!(request_quota(&mut node, at(9)), QuotaResponse::Granted);
    // Members do not send the view to a store that already has it.
    let mut node = start(node.into_disk(), at(10));
    assert_eq!(node.epoch(), view().epoch);
    node.note_leader_contact(at(10));
    assert!(matches!(
        request_quota(&mut node, at(10)),
        QuotaResponse::Denied { .. }
    ));
    node.note_leader_contact(at(12));
    assert_eq!(request_quota(&mut node, at(12)), QuotaResponse::Granted);
}
