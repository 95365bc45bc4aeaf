//! A value for each response.

use super::{
    PROGRAM, backend, change, document, labelled, list, load, membership, message, spec, stamp,
    store_commands, tenant, usage,
};
use luglink_control::{GroupStatus, MemberStatus, Response};
use luglink_fleet::{
    BackendList, BackendReport, BackendUpdate, MemberList, MemberLocation, ObserverUpdate,
    RetireResponse, RetireState, StoreRegistry,
};
use luglink_program::{
    Begun, EndReason, Owned, ProgramStatus, ProgramView, Reply, StartWindow, StoredAnswer,
};
use luglink_resources::{CatchUp, ChangeResponse, Delta, Resource, Violation};
use luglink_types::{
    AttemptNumber, Charge, DaemonId, EngineId, Epoch, GroupId, MemberId, Refusal, RefusalCode,
    Revision, Sequence, Timestamp,
};
use std::sync::Arc;
use std::time::Duration;

fn update(update: BackendUpdate) -> Response {
    let mut registry = StoreRegistry::default();
    for (_, command) in store_commands() {
        registry.apply(&command);
    }
    Response::ObserverUpdate(Box::new(ObserverUpdate {
        fresh: true,
        document: Some(document()),
        stores: Some(registry.view().clone()),
        backends: Some(BackendReport {
            fingerprint: 300,
            age: Duration::from_millis(20),
            update,
        }),
        gateways: 68,
        zone_load: Some(load()),
        members: Some(MemberList {
            stamp: stamp(),
            leader: Some([10, 0, 0, 3].into()),
            locations: vec![MemberLocation {
                ip: [10, 0, 0, 3].into(),
                zone: "z".to_owned(),
            }],
        }),
    }))
}

fn updates() -> Vec<BackendUpdate> {
    let older = BackendList::new(vec![backend(1), backend(3)]);
    let patch = list().patch_for(&older.digest()).expect("a digest");
    vec![
        BackendUpdate::None,
        BackendUpdate::Changes(Arc::new(older.changes_to(&list()))),
        BackendUpdate::Patch(patch),
        BackendUpdate::Whole(Arc::new(list())),
        BackendUpdate::Unknown,
    ]
}

fn window() -> StartWindow {
    StartWindow {
        not_before: Timestamp::from_millis(5),
        start_by: Timestamp::from_millis(1_505),
    }
}

fn replies() -> Vec<Reply> {
    let owned = Owned {
        program: PROGRAM,
        epoch: Epoch(2),
        next_sequence: Sequence(4),
        spec: spec(),
        history: vec![message()],
        engines: vec![EngineId(8)],
        created_at_micros: 300,
    };
    let begun = Begun {
        sequence: Sequence(4),
        attempt: AttemptNumber(1),
        history: Some(vec![message()]),
        window: window(),
    };
    let answer = StoredAnswer {
        sequence: Sequence(4),
        text: "answer".to_owned(),
        usage: usage(),
        attempts: 2,
    };
    let refusal = Refusal::uncertain(RefusalCode::OutcomeUnknown, "lost")
        .retry_after(Duration::from_millis(100));
    vec![
        Reply::Owned(Box::new(owned)),
        Reply::Begun(begun),
        Reply::AlreadyAnswered(answer),
        Reply::Finished {
            next_sequence: Sequence(5),
        },
        Reply::Done,
        Reply::Refused(refusal),
    ]
}

fn view() -> ProgramView {
    ProgramView {
        program: PROGRAM,
        spec: spec(),
        status: ProgramStatus::Ended {
            reason: EndReason::Finished,
            at: Timestamp::from_millis(9),
        },
        owner: DaemonId(1),
        epoch: Epoch(2),
        next_sequence: Sequence(4),
        spent: Charge {
            calls: 1,
            tokens: 320,
            cost_micros: 0,
            retries: 0,
        },
        reserved: Charge::default(),
        history: vec![message()],
        uncertain_calls: vec![Sequence(3)],
    }
}

fn status() -> MemberStatus {
    MemberStatus {
        member: MemberId(1),
        incarnation: 300,
        revision: Revision(5),
        programs: 6,
        pending_releases: 7,
        groups: vec![GroupStatus {
            group: GroupId(1),
            term: 2,
            leader: Some(MemberId(1)),
            commit: 300,
            log_entries: 8,
            membership: membership(),
        }],
    }
}

fn change_answers() -> Vec<ChangeResponse> {
    let violation = Violation {
        field: "f".to_owned(),
        value: "v".to_owned(),
        rule: "r".to_owned(),
    };
    vec![
        ChangeResponse::Accepted {
            revision: Revision(300),
        },
        ChangeResponse::Stale {
            expected: Revision(1),
            current: Revision(2),
        },
        ChangeResponse::Invalid {
            violations: vec![violation],
        },
        ChangeResponse::ChangeIdReused,
    ]
}

fn catch_ups() -> Vec<CatchUp> {
    vec![
        CatchUp::Current,
        CatchUp::Deltas(vec![Delta {
            revision: Revision(2),
            operations: change(1).operations,
        }]),
        CatchUp::Snapshot {
            revision: Revision(2),
            resources: vec![Resource::Tenant(tenant(1))],
        },
    ]
}

pub fn responses() -> Vec<(String, Response)> {
    let retirements = [
        RetireResponse::State(RetireState::Running),
        RetireResponse::State(RetireState::Completed),
        RetireResponse::Unknown,
        RetireResponse::TooFew,
    ];
    let mut all: Vec<Response> = replies().into_iter().map(Response::Program).collect();
    all.push(Response::View(Some(Box::new(view()))));
    all.extend(catch_ups().into_iter().map(Response::Configuration));
    all.extend(change_answers().into_iter().map(Response::Change));
    all.push(Response::Status(status()));
    all.push(Response::Done);
    all.push(Response::Document(Some(document())));
    all.push(Response::DocumentHeld { version: 300 });
    all.extend(updates().into_iter().map(update));
    all.extend(retirements.map(Response::Retirement));
    all.push(Response::NotLeader {
        group: GroupId(1),
        leader: Some(MemberId(2)),
    });
    all.push(Response::Unavailable {
        reason: "disk".to_owned(),
    });
    labelled(all, response_label)
}

fn response_label(response: &Response) -> &'static str {
    match response {
        Response::Program(reply) => match reply {
            Reply::Owned(_) => "owned",
            Reply::Begun(_) => "begun",
            Reply::AlreadyAnswered(_) => "already-answered",
            Reply::Finished { .. } => "finished",
            Reply::Done => "program-done",
            Reply::Refused(_) => "refused",
        },
        Response::View(_) => "view",
        Response::Configuration(catch_up) => match catch_up {
            CatchUp::Current => "current",
            CatchUp::Deltas(_) => "deltas",
            CatchUp::Snapshot { .. } => "snapshot",
        },
        Response::Change(answer) => match answer {
            ChangeResponse::Accepted { .. } => "accepted",
            ChangeResponse::Stale { .. } => "stale",
            ChangeResponse::Invalid { .. } => "invalid",
            ChangeResponse::ChangeIdReused => "change-id-reused",
        },
        Response::Status(_) => "status",
        Response::Done => "done",
        Response::Document(_) => "document",
        Response::DocumentHeld { .. } => "document-held",
        Response::ObserverUpdate(_) => "news",
        Response::Retirement(_) => "retirement",
        Response::NotLeader { .. } => "not-leader",
        Response::Unavailable { .. } => "unavailable",
    }
}
