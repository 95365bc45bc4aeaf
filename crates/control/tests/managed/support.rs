//! In-memory fleet of members, connected by a network without delay.

use luglink_control::{
    ControlConfig, ControlNode, Input, ManagedConfig, Output, Request, RequestParts, RequestToken,
    Response, ResponseParts,
};
use luglink_fleet::{
    GatewayLoad, GatewayPresence, KnownVersions, ObserverRequest, Presence, Role, StorePresence,
    StoreState, VersionedDocument,
};
use luglink_raft::Envelope;
use luglink_storage::{CrashDamage, MemoryDisk};
use luglink_types::{GroupId, MemberId, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

pub const GROUP: GroupId = GroupId(0);
pub const STEP: Duration = Duration::from_millis(20);
pub const FOUNDERS: [u32; 3] = [1, 2, 3];

pub fn config(member: u32, first_start: bool) -> ControlConfig {
    let founders: Vec<MemberId> = FOUNDERS.iter().map(|id| MemberId(*id)).collect();
    let mut config = ControlConfig::new(MemberId(member), founders);
    config.program_groups = 0;
    config.configuration_voters = 3;
    config.bootstrap = first_start && FOUNDERS.contains(&member);
    config.snapshot_entries = 6;
    config.housekeeping_interval = Duration::from_millis(200);
    config.managed = Some(ManagedConfig::default());
    config
}

/// Members connected by a network without delay, some of which may be partitioned.
pub struct Fleet {
    pub now: Timestamp,
    pub nodes: BTreeMap<u32, ControlNode<MemoryDisk>>,
    pub partitioned: BTreeSet<u32>,
    pub messages: VecDeque<(u32, Envelope)>,
    pub replies: BTreeMap<(u32, u64), Response>,
    /// Optional parts of the replies.
    pub reply_parts: BTreeMap<(u32, u64), ResponseParts>,
    pub requests: u64,
    pub starts: u64,
    /// True if a member led without having committed an entry of its term.
    pub saw_uncommitted_leader: bool,
    /// Stores that report their presence to all members in each step.
    pub stores: BTreeMap<String, StorePresence>,
}

impl Fleet {
    pub fn bootstrapped() -> Self {
        let mut fleet = Self {
            now: Timestamp::from_millis(1_000_000),
            nodes: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            messages: VecDeque::new(),
            replies: BTreeMap::new(),
            reply_parts: BTreeMap::new(),
            requests: 0,
            starts: 0,
            saw_uncommitted_leader: false,
            stores: BTreeMap::new(),
        };
        for member in FOUNDERS {
            fleet.start(member, MemoryDisk::default(), true);
        }
        fleet
    }

    pub fn start(&mut self, member: u32, disk: MemoryDisk, first_start: bool) {
        self.starts += 1;
        let seed = 1_000 + self.starts;
        let node = ControlNode::start(config(member, first_start), disk, seed, self.now);
        self.nodes.insert(member, node.expect("the member starts"));
    }

    pub fn crash(&mut self, member: u32) -> MemoryDisk {
        let mut disk = self.nodes.remove(&member).unwrap().into_disk();
        disk.crash(CrashDamage::LoseUnsynced);
        disk
    }

    pub fn input(&mut self, member: u32, request: Request) -> u64 {
        self.requests += 1;
        let token = RequestToken {
            client: 7,
            request: self.requests,
        };
        let request = Box::new(request);
        if let Some(node) = self.nodes.get_mut(&member) {
            node.handle(Input::Request { token, request }, self.now)
                .unwrap();
        }
        self.requests
    }

    /// Sends a request with optional parts, as a newer build does.
    pub fn input_with_parts(&mut self, member: u32, request: Request, parts: RequestParts) -> u64 {
        self.requests += 1;
        let token = RequestToken {
            client: 7,
            request: self.requests,
        };
        let input = Input::ExtendedRequest {
            token,
            request: Box::new(request),
            parts: Box::new(parts),
        };
        let node = self.nodes.get_mut(&member).unwrap();
        node.handle(input, self.now).unwrap();
        self.requests
    }

    pub fn step(&mut self) {
        self.now = self.now.plus(STEP);
        let members: Vec<u32> = self.nodes.keys().copied().collect();
        for member in &members {
            self.send_store_presences(*member);
            let node = self.nodes.get_mut(member).unwrap();
            node.tick(self.now).unwrap();
            let join = node.wants_to_join();
            self.flush(*member);
            if let Some(peer) = join.filter(|_| !self.partitioned.contains(member)) {
                for other in members.iter().filter(|other| *other != member) {
                    if !self.partitioned.contains(other) {
                        self.input(*other, Request::Join(peer));
                    }
                }
            }
        }
        while let Some((to, envelope)) = self.messages.pop_front() {
            if let Some(node) = self.nodes.get_mut(&to) {
                let envelope = Box::new(envelope);
                let group = GROUP;
                node.handle(Input::Peer { group, envelope }, self.now)
                    .unwrap();
                self.flush(to);
            }
        }
    }

    pub fn send_store_presences(&mut self, member: u32) {
        let presences: Vec<Request> = self
            .stores
            .iter()
            .map(|(name, store)| {
                observe(name, Role::Store(store.clone()), KnownVersions::default())
            })
            .collect();
        for presence in presences {
            self.input(member, presence);
        }
    }

    pub fn flush(&mut self, member: u32) {
        let node = self.nodes.get_mut(&member).unwrap();
        let outputs = node.flush().unwrap();
        self.saw_uncommitted_leader |= node.leads(GROUP) && !node.is_fresh();
        for output in outputs {
            match output {
                Output::Peer { envelope, .. } => {
                    let to = envelope.to.member.0;
                    let is_partitioned =
                        self.partitioned.contains(&member) != self.partitioned.contains(&to);
                    if !is_partitioned {
                        self.messages.push_back((to, *envelope));
                    }
                }
                Output::Reply {
                    token,
                    response,
                    parts,
                } => {
                    self.replies.insert((member, token.request), *response);
                    self.reply_parts.insert((member, token.request), *parts);
                }
                Output::Release(_) => {}
            }
        }
    }

    pub fn run(&mut self, seconds: f64) {
        let steps = (seconds / STEP.as_secs_f64()) as u64;
        for _ in 0..steps {
            self.step();
        }
    }

    pub fn run_until(
        &mut self,
        what: &str,
        seconds: f64,
        holds: impl Fn(&Self) -> bool,
    ) -> Duration {
        let began = self.now;
        while !holds(self) {
            self.step();
            let elapsed = self.now.since(began);
            assert!(elapsed < Duration::from_secs_f64(seconds), "{what}");
        }
        self.now.since(began)
    }

    pub fn leader(&self) -> Option<u32> {
        let leads = |(member, node): (&u32, &ControlNode<MemoryDisk>)| {
            (node.is_fresh() && node.leads(GROUP) && !self.partitioned.contains(member))
                .then_some(*member)
        };
        self.nodes.iter().find_map(leads)
    }

    pub fn ask(&mut self, request: Request) -> Response {
        for _ in 0..20 {
            self.run_until("there is a leader", 10.0, |fleet| fleet.leader().is_some());
            let leader = self.leader().unwrap();
            let number = self.input(leader, request.clone());
            self.run(0.2);
            match self.replies.remove(&(leader, number)) {
                None | Some(Response::NotLeader { .. } | Response::Unavailable { .. }) => {}
                Some(response) => return response,
            }
        }
        panic!("no answer");
    }

    pub fn put(&mut self, version: u64, text: &str) -> Response {
        self.ask(Request::PutDocument(document(version, text)))
    }

    pub fn document(&mut self) -> Option<VersionedDocument> {
        match self.ask(Request::ReadDocument) {
            Response::Document(document) => document,
            other => panic!("expected a document, got {other:?}"),
        }
    }

    pub fn voters(&self) -> BTreeSet<u32> {
        let leader = self.leader().expect("a leader");
        let status = self.nodes[&leader].status();
        let voters = status.groups[0].membership.voters.iter();
        voters.map(|peer| peer.member.0).collect()
    }

    pub fn store_states(&mut self) -> BTreeMap<String, StoreState> {
        let Response::ObserverUpdate(update) =
            self.ask(observe("watcher", gateway(), KnownVersions::default()))
        else {
            panic!("expected an update");
        };
        let view = update.stores.unwrap_or_default();
        let members = view.members.into_iter();
        members.map(|(name, store)| (name.0, store.state)).collect()
    }
}

pub fn document(version: u64, text: &str) -> VersionedDocument {
    VersionedDocument {
        version,
        content: text.as_bytes().to_vec(),
    }
}

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn gateway() -> Role {
    Role::Gateway(GatewayPresence {
        address: address(80),
        ready: true,
        load: GatewayLoad::default(),
    })
}

pub fn observe(name: &str, role: Role, known: KnownVersions) -> Request {
    Request::Observe(Box::new(observer_request(name, role, known)))
}

pub fn observer_request(name: &str, role: Role, known: KnownVersions) -> ObserverRequest {
    ObserverRequest {
        presence: Presence {
            name: name.to_owned(),
            zone: "z".to_owned(),
            role,
        },
        known,
        wants_document_at_once: false,
        is_counted_here: true,
    }
}

pub fn store(incarnation: u64, founding: bool) -> StorePresence {
    StorePresence {
        address: address(90),
        incarnation,
        founding,
        handed_over_epoch: u64::MAX,
    }
}

pub fn members(ids: &[u32]) -> BTreeSet<u32> {
    ids.iter().copied().collect()
}
