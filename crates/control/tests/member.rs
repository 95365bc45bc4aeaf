//! Durability of a member: crashes, failing disks, and data folders that are refused.

use luglink_control::{
    ControlConfig, ControlError, ControlNode, Input, Output, Request, RequestToken, Response,
};
use luglink_program::{Claim, Command, CreateProgram, ProgramSpec, Reply};
use luglink_resources::{
    Change, ChangeResponse, Operation, Resource, RevisionPrecondition, Tenant,
};
use luglink_storage::{CrashDamage, Disk, MemoryDisk};
use luglink_types::{
    Budget, ChangeId, DaemonId, GroupId, MemberId, Priority, ProgramId, Revision, Timestamp,
};
use std::time::Duration;

const MEMBER: MemberId = MemberId(1);

fn config() -> ControlConfig {
    let mut config = ControlConfig::new(MEMBER, vec![MEMBER]);
    config.program_groups = 2;
    config.bootstrap = true;
    config.snapshot_entries = 10;
    config
}

struct Member {
    node: ControlNode<MemoryDisk>,
    now: Timestamp,
    requests: u64,
}

impl Member {
    fn start(disk: MemoryDisk) -> Self {
        let now = Timestamp::from_millis(1_000);
        let node = ControlNode::start(config(), disk, 7, now).expect("the member starts");
        let mut member = Self {
            node,
            now,
            requests: 0,
        };
        member.elect();
        member
    }

    fn elect(&mut self) {
        for _ in 0..40 {
            self.now = self.now.plus(Duration::from_millis(100));
            self.node.tick(self.now).unwrap();
            self.node.flush().unwrap();
        }
        assert!(self.node.leads(GroupId(0)) && self.node.leads(GroupId(1)));
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
        let outputs = self.node.flush().unwrap();
        let mut replies = outputs.into_iter().filter_map(|output| match output {
            Output::Reply {
                token: own,
                response,
                ..
            } if own == token => Some(*response),
            _ => None,
        });
        replies.next().expect("a single member answers at once")
    }

    fn change(&mut self, number: u64) -> ChangeResponse {
        let change = Change {
            change_id: ChangeId(format!("c{number}")),
            operator: "o".to_owned(),
            expected: RevisionPrecondition::Exactly(Revision(number)),
            operations: vec![Operation::Set(Resource::Tenant(Tenant {
                name: format!("t{number}").as_str().into(),
                weight: 1,
                max_concurrent_calls: 0,
                tokens_per_second: 0,
            }))],
        };
        match self.ask(Request::Change(change)) {
            Response::Change(answer) => answer,
            other => panic!("expected an answer, got {other:?}"),
        }
    }

    fn create(&mut self, number: u64) {
        let create = CreateProgram {
            program: program(number),
            spec: ProgramSpec {
                tenant: "t".into(),
                class: "c".into(),
                model: "m".into(),
                adapter: None,
                priority: Priority::Normal,
                zone: "z".into(),
                parent: None,
                budget: Budget::default(),
                idle_timeout_ms: 1_000_000,
            },
            owner: DaemonId(1),
            claim: Claim(number),
        };
        let answer = self.ask(Request::Program(Command::Create(create)));
        assert!(matches!(answer, Response::Program(Reply::Owned(_))));
    }

    fn knows(&mut self, number: u64) -> bool {
        matches!(
            self.ask(Request::View(program(number))),
            Response::View(Some(_))
        )
    }
}

fn program(number: u64) -> ProgramId {
    ProgramId {
        family: number,
        member: number,
    }
}

#[test]
fn acknowledged_requests_survive_snapshots_and_a_crash() {
    let mut member = Member::start(MemoryDisk::new());
    for number in 0..60 {
        member.create(number);
        let accepted = ChangeResponse::Accepted {
            revision: Revision(number + 1),
        };
        assert_eq!(member.change(number), accepted);
    }
    let mut disk = member.node.into_disk();
    let snapshots = disk.list().unwrap();
    assert!(snapshots.iter().any(|file| file.starts_with("snapshot-")));
    disk.crash(CrashDamage::LoseUnsynced);
    let mut member = Member::start(disk);
    assert_eq!(member.node.revision(), Revision(60));
    for number in 0..60 {
        assert!(member.knows(number), "program {number} is lost");
    }
}

#[test]
fn a_failed_sync_stops_the_member_and_acknowledged_requests_survive() {
    let mut member = Member::start(MemoryDisk::new());
    member.create(1);
    member.node.disk_mut().set_sync_fails(true);
    let token = RequestToken {
        client: 1,
        request: 99,
    };
    let request = Box::new(Request::Program(Command::Expire));
    member
        .node
        .handle(Input::Request { token, request }, member.now)
        .unwrap();
    let change = Change {
        change_id: ChangeId("late".to_owned()),
        operator: "o".to_owned(),
        expected: RevisionPrecondition::Current,
        operations: Vec::new(),
    };
    let request = Box::new(Request::Change(change));
    let _ = member
        .node
        .handle(Input::Request { token, request }, member.now);
    assert!(matches!(
        member.node.flush(),
        Err(ControlError::Storage { .. })
    ));
    for kept_per_mille in [0, 300, 700, 1_000] {
        let mut disk = clone_of(&mut member.node);
        disk.crash(CrashDamage::TearUnsynced { kept_per_mille });
        let mut again = Member::start(disk);
        assert!(again.knows(1));
    }
}

fn clone_of(node: &mut ControlNode<MemoryDisk>) -> MemoryDisk {
    node.disk_mut().clone()
}

#[test]
fn a_corrupt_record_before_the_end_of_the_log_is_refused() {
    let mut member = Member::start(MemoryDisk::new());
    for number in 0..4 {
        member.create(number);
    }
    let mut disk = member.node.into_disk();
    let log = disk
        .list()
        .unwrap()
        .into_iter()
        .find(|file| file.starts_with("wal-"))
        .unwrap();
    disk.flip_bit(&log, 40);
    let refused = ControlNode::start(config(), disk, 8, Timestamp::ZERO);
    let message = refused.err().map(|error| error.to_string()).unwrap();
    assert!(message.contains(&log), "{message}");
}

#[test]
fn a_data_folder_of_another_member_is_refused() {
    let member = Member::start(MemoryDisk::new());
    let disk = member.node.into_disk();
    let mut other = config();
    other.member = MemberId(2);
    other.members = vec![MEMBER, MemberId(2)];
    let refused = ControlNode::start(other, disk, 8, Timestamp::ZERO);
    assert!(matches!(
        refused,
        Err(ControlError::WrongMember {
            expected: 2,
            found: 1
        })
    ));
}

#[test]
fn a_full_disk_is_refused_at_the_start() {
    let mut disk = MemoryDisk::new();
    disk.set_full(true);
    let refused = ControlNode::start(config(), disk, 8, Timestamp::ZERO);
    let message = refused.err().map(|error| error.to_string()).unwrap();
    assert!(message.contains("no space left"), "{message}");
}

/// A member that has not been added to a running cluster must not elect itself.
#[test]
fn an_empty_disk_does_not_bootstrap_a_second_cluster() {
    let mut joining = config();
    joining.bootstrap = false;
    let mut node = ControlNode::start(joining, MemoryDisk::new(), 9, Timestamp::ZERO).unwrap();
    for millis in 0..100 {
        node.tick(Timestamp::from_millis(millis * 100)).unwrap();
        node.flush().unwrap();
    }
    assert!(!node.leads(GroupId(0)));
    assert!(node.peer().incarnation > 1);
}
