//! A value for each message. The labels come from exhaustive matches, so that a new variant does not
//! compile without a label.

mod responses;

use luglink_control::Request;
use luglink_fleet::{
    Backend, BackendId, BackendList, GatewayLoad, GatewayPresence, KnownList, KnownVersions,
    MemberPresence, MembersStamp, ObserverRequest, Presence, RelayedPresence, Role, ServiceLoad,
    StoreCommand, StoreName, StorePresence, VersionedDocument,
};
use luglink_program::{
    BeginCall, Claim, Command, ConfirmRelease, CreateProgram, EndProgram, EndReason, FinishCall,
    ProgramSpec, RenewLease, RetryCall, TakeOver,
};
use luglink_raft::{
    Entry, Envelope, Membership, MembershipChange, Message, Payload, Peer, ReadId, Snapshot,
};
use luglink_resources::{
    Change, Operation, Resource, ResourceKey, ResourceKind, RevisionPrecondition, Tenant,
};
use luglink_types::{
    AttemptNumber, Budget, ChatMessage, DaemonId, EngineId, Epoch, GroupId, MemberId, OutcomeClass,
    Priority, ProgramId, Revision, Sequence, Timestamp, TokenUsage,
};
use std::time::Duration;

pub use responses::responses;

pub const PROGRAM: ProgramId = ProgramId {
    family: 0x0102_0304_0506_0708,
    member: 300,
};

pub fn document() -> VersionedDocument {
    VersionedDocument {
        version: 7,
        content: b"{}".to_vec(),
    }
}

pub fn tenant(number: u64) -> Tenant {
    Tenant {
        name: format!("t{number}").as_str().into(),
        weight: 2,
        max_concurrent_calls: 3,
        tokens_per_second: 400,
    }
}

pub fn change(number: u64) -> Change {
    Change {
        change_id: format!("c{number}").as_str().into(),
        operator: "o".to_owned(),
        expected: RevisionPrecondition::Exactly(Revision(number)),
        operations: vec![Operation::Set(Resource::Tenant(tenant(number)))],
    }
}

pub fn spec() -> ProgramSpec {
    ProgramSpec {
        tenant: "t".into(),
        class: "c".into(),
        model: "m".into(),
        adapter: Some("a".to_owned()),
        priority: Priority::Interactive,
        zone: "z".into(),
        parent: None,
        budget: Budget {
            tokens: 900,
            ..Budget::default()
        },
        idle_timeout_ms: 1_000_000,
    }
}

pub fn create() -> CreateProgram {
    CreateProgram {
        program: PROGRAM,
        spec: spec(),
        owner: DaemonId(1),
        claim: Claim(2),
    }
}

pub fn message() -> ChatMessage {
    ChatMessage {
        role: luglink_types::Role::User,
        content: "hello".to_owned(),
    }
}

fn begin() -> BeginCall {
    BeginCall {
        program: PROGRAM,
        epoch: Epoch(2),
        intent: 3,
        sequence: Some(Sequence(4)),
        key: Some("k".into()),
        messages: vec![message()],
        input_tokens: 5,
        max_output_tokens: 600,
        requested_output_tokens: None,
        cost_per_token_micros: 7,
        repeatable: true,
        ceiling: Budget::default(),
        engine: EngineId(8),
    }
}

pub fn commands() -> Vec<(&'static str, Command)> {
    let retry = RetryCall {
        program: PROGRAM,
        epoch: Epoch(2),
        sequence: Sequence(4),
        failed: AttemptNumber(1),
        class: OutcomeClass::EngineRetryable,
        ceiling: Budget::default(),
        engine: EngineId(9),
    };
    let finish = FinishCall {
        program: PROGRAM,
        epoch: Epoch(2),
        sequence: Sequence(4),
        attempt: AttemptNumber(2),
        class: OutcomeClass::Completed,
        answer: "answer".to_owned(),
        usage: usage(),
    };
    let all = [
        Command::Create(create()),
        Command::TakeOver(TakeOver {
            program: PROGRAM,
            daemon: DaemonId(3),
            claim: Claim(4),
        }),
        Command::Begin(begin()),
        Command::Retry(retry),
        Command::Finish(finish),
        Command::Renew(RenewLease {
            programs: vec![(PROGRAM, Epoch(2))],
        }),
        Command::End(EndProgram {
            program: PROGRAM,
            reason: EndReason::ParentEnded,
        }),
        Command::ConfirmRelease(ConfirmRelease {
            program: PROGRAM,
            engine: EngineId(9),
        }),
        Command::Expire,
    ];
    all.map(|command| (command_label(&command), command)).into()
}

fn command_label(command: &Command) -> &'static str {
    match command {
        Command::Create(_) => "create",
        Command::TakeOver(_) => "take-over",
        Command::Begin(_) => "begin",
        Command::Retry(_) => "retry",
        Command::Finish(_) => "finish",
        Command::Renew(_) => "renew",
        Command::End(_) => "end",
        Command::ConfirmRelease(_) => "confirm-release",
        Command::Expire => "expire",
    }
}

pub fn usage() -> TokenUsage {
    TokenUsage {
        prompt_tokens: 300,
        completion_tokens: 20,
        cached_tokens: 1,
    }
}

pub fn load() -> GatewayLoad {
    GatewayLoad {
        requests_per_minute: 300,
        services: vec![ServiceLoad {
            service: "s".to_owned(),
            in_flight_hundredths: 250,
        }],
    }
}

fn presence(role: Role) -> Presence {
    Presence {
        name: "n".to_owned(),
        zone: "z".to_owned(),
        role,
    }
}

fn gateway() -> Role {
    Role::Gateway(GatewayPresence {
        address: ([10, 0, 0, 1], 80).into(),
        ready: true,
        load: load(),
    })
}

fn store() -> Role {
    Role::Store(StorePresence {
        address: ([10, 0, 0, 2], 80).into(),
        incarnation: 300,
        founding: true,
        handed_over_epoch: 4,
    })
}

pub fn backend(number: u32) -> Backend {
    Backend {
        id: BackendId(format!("r{number}")),
        service: "s".to_owned(),
        address: ([10, 0, 1, 1], 80).into(),
        zone: "z".to_owned(),
        slots: 12,
        draining: number == 2,
        incarnation: luglink_fleet::Incarnation::UNKNOWN,
        version: None,
    }
}

pub fn list() -> BackendList {
    BackendList::new(vec![backend(1), backend(2)])
}

pub fn stamp() -> MembersStamp {
    MembersStamp {
        term: 2,
        knows_leader: true,
        membership: 300,
        stores: 4,
    }
}

fn observer_request(role: Role) -> Request {
    let known = KnownList {
        fingerprint: 300,
        age: Some(Duration::from_millis(1_500)),
        digest: Some(list().digest()),
    };
    Request::Observe(Box::new(ObserverRequest {
        presence: presence(role),
        known: KnownVersions {
            document_version: 7,
            is_current: true,
            store_epoch: 4,
            backends: Some(known),
            members: stamp(),
        },
        wants_document_at_once: true,
        is_counted_here: false,
    }))
}

pub fn peer(number: u32) -> Peer {
    Peer {
        member: MemberId(number),
        incarnation: 300,
    }
}

fn membership_change(change: MembershipChange) -> Request {
    Request::ChangeMembership {
        group: GroupId(1),
        change,
    }
}

fn changes() -> Vec<Request> {
    let resource = ResourceKey {
        kind: ResourceKind::Service,
        name: "s".to_owned(),
    };
    let delete = Change {
        expected: RevisionPrecondition::Current,
        operations: vec![Operation::Delete(resource)],
        ..change(2)
    };
    vec![Request::Change(change(1)), Request::Change(delete)]
}

pub fn requests() -> Vec<(String, Request)> {
    let known = Revision(300);
    let mut all = vec![
        Request::Program(Command::Expire),
        Request::View(PROGRAM),
        Request::WatchConfiguration { known, hold: true },
        Request::ReadConfiguration { known },
        Request::Status,
        membership_change(MembershipChange::AddLearner(peer(1))),
        membership_change(MembershipChange::AddLearners([peer(1), peer(2)].into())),
        membership_change(MembershipChange::Promote(peer(1))),
        membership_change(MembershipChange::Remove(peer(1))),
        Request::TransferLeadership,
        Request::PutDocument(document()),
        Request::ReadDocument,
        observer_request(gateway()),
        observer_request(store()),
        observer_request(Role::Member(MemberPresence { gateways: 68 })),
        Request::RelayGatewayPresences(vec![RelayedPresence {
            presence: presence(gateway()),
            silence: Duration::from_millis(40),
        }]),
        Request::Join(peer(3)),
        Request::Retire(StoreName("s1".to_owned())),
        Request::ReadRetirement(StoreName("s1".to_owned())),
    ];
    all.extend(changes());
    labelled(all, request_label)
}

pub fn labelled<T>(all: Vec<T>, label: impl Fn(&T) -> &'static str) -> Vec<(String, T)> {
    let numbered = all.into_iter().enumerate();
    numbered
        .map(|(number, value)| (format!("{number}-{}", label(&value)), value))
        .collect()
}

fn request_label(request: &Request) -> &'static str {
    match request {
        Request::Program(_) => "program",
        Request::View(_) => "view",
        Request::WatchConfiguration { .. } => "watch-configuration",
        Request::ReadConfiguration { .. } => "read-configuration",
        Request::Change(_) => "change",
        Request::Status => "status",
        Request::ChangeMembership { change, .. } => match change {
            MembershipChange::AddLearner(_) => "add-learner",
            MembershipChange::AddLearners(_) => "add-learners",
            MembershipChange::Promote(_) => "promote",
            MembershipChange::Remove(_) => "remove",
        },
        Request::TransferLeadership => "hand-over",
        Request::PutDocument(_) => "put-document",
        Request::ReadDocument => "read-document",
        Request::Observe(observer_request) => match observer_request.presence.role {
            Role::Gateway(_) => "observe-gateway",
            Role::Store(_) => "observe-store",
            Role::Member(_) => "observe-member",
        },
        Request::RelayGatewayPresences(_) => "hear-gateways",
        Request::Join(_) => "join",
        Request::Retire(_) => "retire",
        Request::ReadRetirement(_) => "read-retirement",
    }
}

pub fn store_commands() -> Vec<(&'static str, StoreCommand)> {
    let name = StoreName("s1".to_owned());
    let all = [
        StoreCommand::Join {
            name: name.clone(),
            address: ([10, 0, 0, 2], 80).into(),
            zone: "z".to_owned(),
            incarnation: 300,
            founding: true,
        },
        StoreCommand::Activate {
            name: name.clone(),
            incarnation: 300,
        },
        StoreCommand::Lose { name: name.clone() },
        StoreCommand::Retire {
            name: StoreName("s9".to_owned()),
            minimum: 3,
        },
        StoreCommand::Remove {
            name: StoreName("s9".to_owned()),
        },
    ];
    let label = |command: &StoreCommand| match command {
        StoreCommand::Join { .. } => "join",
        StoreCommand::Activate { .. } => "activate",
        StoreCommand::Lose { .. } => "lose",
        StoreCommand::Retire { .. } => "retire",
        StoreCommand::Remove { .. } => "remove",
    };
    all.map(|command| (label(&command), command)).into()
}

pub fn membership() -> Membership {
    let mut membership = Membership::from_voters([peer(1), peer(2)]);
    membership.learners.insert(peer(3));
    membership
}

fn entry(payload: Payload) -> Entry {
    Entry {
        index: 300,
        term: 2,
        appended_at: Timestamp::from_millis(5),
        payload,
    }
}

pub fn envelopes() -> Vec<(&'static str, Envelope)> {
    let snapshot = Snapshot {
        index: 300,
        term: 2,
        membership: membership(),
        state: vec![1, 2, 3],
    };
    let entries = vec![
        entry(Payload::Empty),
        entry(Payload::Command(vec![1, 2])),
        entry(Payload::Membership(membership())),
    ];
    let all = [
        Message::PreVote {
            last_index: 300,
            last_term: 2,
        },
        Message::PreVoteReply { granted: true },
        Message::Vote {
            last_index: 300,
            last_term: 2,
            transfer: true,
        },
        Message::VoteReply { granted: false },
        Message::Append {
            previous_index: 299,
            previous_term: 2,
            entries,
            commit: 298,
            read: ReadId(6),
        },
        Message::AppendReply {
            accepted: true,
            index: 300,
            read: ReadId(6),
        },
        Message::InstallSnapshot { snapshot },
        Message::TimeoutNow,
    ];
    let envelope = |message| Envelope {
        from: peer(1),
        to: peer(2),
        term: 3,
        message,
    };
    all.map(|message| (peer_label(&message), envelope(message)))
        .into()
}

fn peer_label(message: &Message) -> &'static str {
    match message {
        Message::PreVote { .. } => "pre-vote",
        Message::PreVoteReply { .. } => "pre-vote-reply",
        Message::Vote { .. } => "vote",
        Message::VoteReply { .. } => "vote-reply",
        Message::Append { .. } => "append",
        Message::AppendReply { .. } => "append-reply",
        Message::InstallSnapshot { .. } => "install-snapshot",
        Message::TimeoutNow => "timeout-now",
    }
}
