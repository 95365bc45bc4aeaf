//! A managed fleet: members and turn stores that come, go and lose their disks.

use luglink_control::{
    ControlConfig, ControlNode, Input, ManagedConfig, Output, Request, RequestToken, Response,
};
use luglink_fleet::{
    GatewayPresence, Known, News, Observation, Presence, RetireAnswer, RetireState, Role,
    StoreName, StorePresence, StoreState, VersionedDocument,
};
use luglink_raft::Envelope;
use luglink_storage::{CrashDamage, MemoryDisk};
use luglink_types::{GroupId, MemberId, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

const GROUP: GroupId = GroupId(0);
const STEP: Duration = Duration::from_millis(20);
const FOUNDERS: [u32; 3] = [1, 2, 3];

fn config(member: u32, first_start: bool) -> ControlConfig {
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

/// Members over a network without delay, where some may be cut off.
struct Fleet {
    now: Timestamp,
    nodes: BTreeMap<u32, ControlNode<MemoryDisk>>,
    cut_off: BTreeSet<u32>,
    mail: VecDeque<(u32, Envelope)>,
    replies: BTreeMap<(u32, u64), Response>,
    requests: u64,
    starts: u64,
    /// Whether a member was seen that led but had not committed in its term.
    saw_uncommitted_leader: bool,
    /// Stores that say their word each step.
    stores: BTreeMap<String, StorePresence>,
}

impl Fleet {
    fn founded() -> Self {
        let mut fleet = Self {
            now: Timestamp::from_millis(1_000_000),
            nodes: BTreeMap::new(),
            cut_off: BTreeSet::new(),
            mail: VecDeque::new(),
            replies: BTreeMap::new(),
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

    fn start(&mut self, member: u32, disk: MemoryDisk, first_start: bool) {
        self.starts += 1;
        let seed = 1_000 + self.starts;
        let node = ControlNode::start(config(member, first_start), disk, seed, self.now);
        self.nodes.insert(member, node.expect("the member starts"));
    }

    fn crash(&mut self, member: u32) -> MemoryDisk {
        let mut disk = self.nodes.remove(&member).unwrap().into_disk();
        disk.crash(CrashDamage::LoseUnsynced);
        disk
    }

    fn input(&mut self, member: u32, request: Request) -> u64 {
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

    fn step(&mut self) {
        self.now = self.now.plus(STEP);
        let members: Vec<u32> = self.nodes.keys().copied().collect();
        for member in &members {
            self.say_words(*member);
            let node = self.nodes.get_mut(member).unwrap();
            node.tick(self.now).unwrap();
            let join = node.wants_to_join();
            self.flush(*member);
            if let Some(peer) = join.filter(|_| !self.cut_off.contains(member)) {
                for other in members.iter().filter(|other| *other != member) {
                    if !self.cut_off.contains(other) {
                        self.input(*other, Request::Join(peer));
                    }
                }
            }
        }
        while let Some((to, envelope)) = self.mail.pop_front() {
            if let Some(node) = self.nodes.get_mut(&to) {
                let envelope = Box::new(envelope);
                let group = GROUP;
                node.handle(Input::Peer { group, envelope }, self.now)
                    .unwrap();
                self.flush(to);
            }
        }
    }

    fn say_words(&mut self, member: u32) {
        let words: Vec<Request> = self
            .stores
            .iter()
            .map(|(name, store)| observe(name, Role::Store(store.clone()), Known::default()))
            .collect();
        for word in words {
            self.input(member, word);
        }
    }

    fn flush(&mut self, member: u32) {
        let node = self.nodes.get_mut(&member).unwrap();
        let outputs = node.flush().unwrap();
        self.saw_uncommitted_leader |= node.leads(GROUP) && !node.is_fresh();
        for output in outputs {
            match output {
                Output::Peer { envelope, .. } => {
                    let to = envelope.to.member.0;
                    let is_cut = self.cut_off.contains(&member) != self.cut_off.contains(&to);
                    if !is_cut {
                        self.mail.push_back((to, *envelope));
                    }
                }
                Output::Reply { token, response } => {
                    self.replies.insert((member, token.request), *response);
                }
                Output::Release(_) => {}
            }
        }
    }

    fn run(&mut self, seconds: f64) {
        let steps = (seconds / STEP.as_secs_f64()) as u64;
        for _ in 0..steps {
            self.step();
        }
    }

    fn run_until(&mut self, what: &str, seconds: f64, holds: impl Fn(&Self) -> bool) -> Duration {
        let began = self.now;
        while !holds(self) {
            self.step();
            let elapsed = self.now.since(began);
            assert!(elapsed < Duration::from_secs_f64(seconds), "{what}");
        }
        self.now.since(began)
    }

    fn leader(&self) -> Option<u32> {
        let leads = |(member, node): (&u32, &ControlNode<MemoryDisk>)| {
            (node.is_fresh() && node.leads(GROUP) && !self.cut_off.contains(member))
                .then_some(*member)
        };
        self.nodes.iter().find_map(leads)
    }

    fn ask(&mut self, request: Request) -> Response {
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

    fn put(&mut self, version: u64, text: &str) -> Response {
        self.ask(Request::PutDocument(document(version, text)))
    }

    fn document(&mut self) -> Option<VersionedDocument> {
        match self.ask(Request::ReadDocument) {
            Response::Document(document) => document,
            other => panic!("expected a document, got {other:?}"),
        }
    }

    fn voters(&self) -> BTreeSet<u32> {
        let leader = self.leader().expect("a leader");
        let status = self.nodes[&leader].status();
        let voters = status.groups[0].membership.voters.iter();
        voters.map(|peer| peer.member.0).collect()
    }

    fn store_states(&mut self) -> BTreeMap<String, StoreState> {
        let Response::News(news) = self.ask(observe("watcher", gateway(), Known::default())) else {
            panic!("expected news");
        };
        let view = news.stores.unwrap_or_default();
        let members = view.members.into_iter();
        members.map(|(name, store)| (name.0, store.state)).collect()
    }
}

fn document(version: u64, text: &str) -> VersionedDocument {
    VersionedDocument {
        version,
        content: text.as_bytes().to_vec(),
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn gateway() -> Role {
    Role::Gateway(GatewayPresence {
        address: address(80),
        ready: true,
    })
}

fn observe(name: &str, role: Role, known: Known) -> Request {
    Request::Observe(Box::new(Observation {
        presence: Presence {
            name: name.to_owned(),
            zone: "z".to_owned(),
            role,
        },
        known,
    }))
}

fn store(incarnation: u64, founding: bool) -> StorePresence {
    StorePresence {
        address: address(90),
        incarnation,
        founding,
        handed_over_epoch: u64::MAX,
    }
}

fn members(ids: &[u32]) -> BTreeSet<u32> {
    ids.iter().copied().collect()
}

#[test]
fn the_seeds_found_the_group_within_a_moment() {
    let mut fleet = Fleet::founded();
    let time = fleet.run_until("a leader", 1.0, |fleet| fleet.leader().is_some());
    // A start of everything must not wait for the silence that deposes a leader.
    assert!(time <= Duration::from_millis(600), "{time:?}");
    assert_eq!(fleet.voters(), members(&FOUNDERS));
}

/// What earlier terms committed is only known to be all once the leader has committed in its own.
#[test]
fn a_new_leader_is_not_current_before_it_has_committed_something() {
    let mut fleet = Fleet::founded();
    fleet.run_until("a leader", 1.0, |fleet| fleet.leader().is_some());
    assert!(fleet.saw_uncommitted_leader);
}

#[test]
fn a_member_that_is_not_a_seed_is_let_in_as_a_spare() {
    let mut fleet = Fleet::founded();
    fleet.start(4, MemoryDisk::default(), true);
    fleet.run(3.0);
    assert_eq!(fleet.voters(), members(&FOUNDERS));
    fleet.put(5, "five");
    fleet.run(0.5);
    assert_eq!(fleet.nodes[&4].document_version(), 5);
}

#[test]
fn a_spare_takes_the_place_of_a_voter_that_is_gone() {
    let mut fleet = Fleet::founded();
    fleet.start(4, MemoryDisk::default(), true);
    fleet.run(3.0);
    fleet.put(1, "one");
    let leader = fleet.leader().unwrap();
    fleet.crash(leader);
    fleet.run(5.0);
    let mut expected = members(&[1, 2, 3, 4]);
    expected.remove(&leader);
    assert_eq!(fleet.voters(), expected);
    // A second loss, right after the repair.
    let second = fleet.leader().unwrap();
    fleet.crash(second);
    assert_eq!(fleet.document(), Some(document(1, "one")));
}

#[test]
fn a_member_with_an_empty_disk_never_counts_before_it_has_caught_up() {
    let mut fleet = Fleet::founded();
    fleet.run(1.0);
    fleet.put(3, "three");
    let victim = fleet.leader().unwrap();
    fleet.crash(victim);
    fleet.start(victim, MemoryDisk::default(), false);
    fleet.run(4.0);
    assert_eq!(fleet.voters(), members(&FOUNDERS));
    assert_eq!(fleet.nodes[&victim].document_version(), 3);
    // Now another one loses its disk, while everyone else loses power.
    let others: Vec<u32> = FOUNDERS.into_iter().filter(|id| *id != victim).collect();
    let kept = fleet.crash(others[0]);
    let refilled = fleet.crash(victim);
    fleet.crash(others[1]);
    fleet.start(others[0], kept, false);
    fleet.start(victim, refilled, false);
    fleet.start(others[1], MemoryDisk::default(), false);
    fleet.run(4.0);
    assert_eq!(fleet.document(), Some(document(3, "three")));
    assert_eq!(fleet.voters(), members(&FOUNDERS));
}

#[test]
fn an_empty_disk_founds_nothing_when_the_fleet_did_not_just_start() {
    let mut fleet = Fleet::founded();
    fleet.nodes.clear();
    for member in FOUNDERS {
        fleet.start(member, MemoryDisk::default(), false);
    }
    fleet.run(10.0);
    assert_eq!(fleet.leader(), None);
    assert!(fleet.nodes.values().all(|node| !node.is_fresh()));
}

#[test]
fn settings_that_name_other_seeds_later_change_nothing_in_the_log() {
    let mut fleet = Fleet::founded();
    fleet.run(1.0);
    fleet.put(2, "two");
    let disks: Vec<(u32, MemoryDisk)> = FOUNDERS
        .into_iter()
        .map(|member| (member, fleet.crash(member)))
        .collect();
    for (member, disk) in disks {
        let mut other = config(member, false);
        other.members = vec![MemberId(8), MemberId(9)];
        let node = ControlNode::start(other, disk, u64::from(member), fleet.now);
        fleet.nodes.insert(member, node.unwrap());
    }
    fleet.run(2.0);
    assert_eq!(fleet.voters(), members(&FOUNDERS));
    assert_eq!(fleet.document(), Some(document(2, "two")));
}

#[test]
fn documents_race_and_the_first_of_a_version_holds() {
    let mut fleet = Fleet::founded();
    fleet.run(1.0);
    let held = |version| Response::DocumentHeld { version };
    assert_eq!(fleet.put(4, "four"), held(4));
    assert_eq!(fleet.put(4, "another four"), held(4));
    assert_eq!(fleet.put(2, "two"), held(4));
    assert_eq!(fleet.document(), Some(document(4, "four")));
}

#[test]
fn a_leader_that_is_cut_off_confirms_nothing_and_says_that_it_may_be_behind() {
    let mut fleet = Fleet::founded();
    fleet.run(1.0);
    fleet.put(1, "one");
    let cut = fleet.leader().unwrap();
    fleet.cut_off.insert(cut);
    let put = fleet.input(cut, Request::PutDocument(document(2, "lost")));
    let read = fleet.input(cut, Request::ReadDocument);
    fleet.run(1.0);
    let refused = |response: Option<Response>| {
        matches!(
            response,
            None | Some(Response::NotLeader { .. } | Response::Unavailable { .. })
        )
    };
    assert!(refused(fleet.replies.remove(&(cut, put))));
    assert!(refused(fleet.replies.remove(&(cut, read))));
    assert!(!fleet.nodes[&cut].is_fresh());
    fleet.put(3, "three");
    fleet.cut_off.clear();
    fleet.run(2.0);
    assert_eq!(fleet.document(), Some(document(3, "three")));
    assert_eq!(fleet.nodes[&cut].document_version(), 3);
}

#[test]
fn an_observer_hears_at_once_that_a_member_has_become_current() {
    let mut fleet = Fleet::founded();
    let number = fleet.input(1, observe("g", gateway(), Known::default()));
    fleet.run_until("an answer", 3.0, |fleet| {
        let answer = fleet.replies.get(&(1, number));
        let hold = ManagedConfig::default().observe_hold;
        answer.is_some() || fleet.now.since(Timestamp::from_millis(1_000_000)) > hold
    });
    fleet.run_until("a current member", 2.0, |fleet| fleet.nodes[&1].is_fresh());
    let number = fleet.input(1, observe("g", gateway(), Known::default()));
    fleet.step();
    let answer = fleet.replies.remove(&(1, number));
    assert!(
        matches!(&answer, Some(Response::News(news)) if news.fresh),
        "{answer:?}"
    );
    let current = Known {
        is_current: true,
        ..Known::default()
    };
    let number = fleet.input(1, observe("g", gateway(), current));
    fleet.step();
    assert!(!fleet.replies.contains_key(&(1, number)), "nothing is new");
}

/// Members whose answer to a question brought a document.
fn tellers(fleet: &mut Fleet, questions: &[(u32, u64)]) -> BTreeSet<u32> {
    let replies = questions.iter().filter_map(|question| {
        let Some(Response::News(news)) = fleet.replies.remove(question) else {
            return None;
        };
        news.document.is_some().then_some(question.0)
    });
    replies.collect()
}

#[test]
fn a_new_document_is_told_by_a_few_members_and_by_the_others_when_those_do_not() {
    let mut fleet = Fleet::founded();
    fleet.put(1, "one");
    fleet.run(1.0);
    let current = Known {
        is_current: true,
        document_version: 1,
        ..Known::default()
    };
    let ask = |fleet: &mut Fleet, name: &str| -> Vec<(u32, u64)> {
        let ask = |member| {
            (
                member,
                fleet.input(member, observe(name, gateway(), current)),
            )
        };
        FOUNDERS.map(ask).to_vec()
    };
    let leader = fleet.leader().unwrap();
    fleet.input(leader, Request::PutDocument(document(2, "two")));
    let mut told_first = BTreeMap::new();
    let mut questions = BTreeMap::new();
    for name in ["g1", "g2", "g3", "g4", "g5", "g6"] {
        questions.insert(name, ask(&mut fleet, name));
    }
    // Followers learn what is committed with the next heartbeat.
    fleet.run(0.2);
    for (name, asked) in questions {
        told_first.insert(name, tellers(&mut fleet, &asked));
    }
    assert!(
        told_first.values().all(|told| told.len() == 2),
        "{told_first:?}"
    );
    let distinct: BTreeSet<_> = told_first.values().collect();
    assert!(distinct.len() > 1, "always the same members tell");
    // Those who heard nothing hear it from the others a moment later.
    fleet.run(1.0);
    let asked = ask(&mut fleet, "g1");
    fleet.run(0.1);
    assert_eq!(tellers(&mut fleet, &asked), members(&FOUNDERS));
    // A gateway that has just started is told by everyone at once.
    fleet.put(3, "three");
    let asked: Vec<(u32, u64)> = FOUNDERS
        .map(|member| {
            (
                member,
                fleet.input(member, observe("new", gateway(), Known::default())),
            )
        })
        .to_vec();
    fleet.run(0.1);
    assert_eq!(tellers(&mut fleet, &asked), members(&FOUNDERS));
}

#[test]
fn gateways_that_say_no_more_words_are_not_named() {
    let mut fleet = Fleet::founded();
    fleet.run(1.0);
    fleet.input(1, observe("g", gateway(), Known::default()));
    fleet.step();
    assert_eq!(fleet.nodes[&1].ready_gateways().len(), 1);
    fleet.run(3.0);
    assert!(fleet.nodes[&1].ready_gateways().is_empty());
}

#[test]
fn stores_found_the_registry_and_a_wiped_one_is_filled_before_it_counts() {
    let mut fleet = Fleet::founded();
    for name in ["a", "b", "c"] {
        fleet.stores.insert(name.to_owned(), store(1, true));
    }
    fleet.run(3.0);
    let active = |states: &BTreeMap<String, StoreState>| {
        states.values().all(|state| *state == StoreState::Active)
    };
    let states = fleet.store_states();
    assert!(states.len() == 3 && active(&states), "{states:?}");
    // The others have not handed over yet.
    for name in ["a", "b"] {
        fleet.stores.get_mut(name).unwrap().handed_over_epoch = 0;
    }
    fleet.stores.insert("c".to_owned(), store(2, false));
    fleet.run(3.0);
    assert_eq!(fleet.store_states()["c"], StoreState::Joining);
    for name in ["a", "b"] {
        fleet.stores.get_mut(name).unwrap().handed_over_epoch = u64::MAX;
    }
    fleet.run(1.0);
    assert_eq!(fleet.store_states()["c"], StoreState::Active);
}

#[test]
fn a_store_is_retired_once_all_have_handed_over() {
    let mut fleet = Fleet::founded();
    for name in ["a", "b", "c"] {
        fleet.stores.insert(name.to_owned(), store(1, true));
    }
    fleet.run(3.0);
    let retire = Request::Retire(StoreName("a".to_owned()));
    let too_few = Response::Retirement(RetireAnswer::TooFew);
    assert_eq!(fleet.ask(retire.clone()), too_few);
    fleet.stores.insert("d".to_owned(), store(1, false));
    fleet.run(2.0);
    for store in fleet.stores.values_mut() {
        store.handed_over_epoch = 0;
    }
    let state = |state| Response::Retirement(RetireAnswer::State(state));
    assert_eq!(fleet.ask(retire), state(RetireState::Running));
    fleet.run(2.0);
    let look = Request::ReadRetirement(StoreName("a".to_owned()));
    assert_eq!(fleet.ask(look.clone()), state(RetireState::Running));
    for store in fleet.stores.values_mut() {
        store.handed_over_epoch = u64::MAX;
    }
    fleet.run(2.0);
    assert_eq!(fleet.ask(look), state(RetireState::Completed));
    // It still says its word, but it is not taken in again.
    fleet.run(2.0);
    assert!(!fleet.store_states().contains_key("a"));
}

/// A store on the machine of a member.
fn store_beside(member: u32) -> StorePresence {
    StorePresence {
        address: SocketAddr::from((std::net::Ipv4Addr::from(member), 90)),
        ..store(1, member <= 3)
    }
}

#[test]
fn a_machine_is_retired_only_once_another_member_votes_in_its_place() {
    let mut fleet = Fleet::founded();
    fleet.start(4, MemoryDisk::default(), false);
    for member in [1, 2, 3, 4] {
        let name = format!("store-{member}");
        fleet.stores.insert(name, store_beside(member));
    }
    fleet.run(4.0);
    assert_eq!(fleet.voters(), members(&[1, 2, 3]));
    let leader = fleet.leader().unwrap();
    let name = StoreName(format!("store-{leader}"));
    let state = |state| Response::Retirement(RetireAnswer::State(state));
    // The spare cannot be reached: until it can, the machine stays.
    fleet.cut_off.insert(4);
    fleet.run(2.0);
    let running = state(RetireState::Running);
    assert_eq!(fleet.ask(Request::Retire(name.clone())), running);
    fleet.run(3.0);
    let look = Request::ReadRetirement(name);
    assert_eq!(fleet.ask(look.clone()), running);
    fleet.cut_off.clear();
    fleet.run(4.0);
    assert_eq!(fleet.ask(look), state(RetireState::Completed));
    assert!(!fleet.voters().contains(&leader));
    assert_eq!(fleet.voters().len(), 3);
    // It asks to be let in until its machine is taken away, in vain.
    fleet.run(3.0);
    let status = fleet.nodes[&fleet.leader().unwrap()].status();
    let membership = &status.groups[0].membership;
    assert!(membership.peers().all(|peer| peer.member.0 != leader));
    // One more may be lost now.
    fleet.crash(leader);
    let other = *fleet.voters().first().unwrap();
    fleet.crash(other);
    fleet.put(1, "one");
    assert_eq!(fleet.document().unwrap().version, 1);
}

#[test]
fn a_silent_store_is_passed_over_only_while_enough_others_are_there() {
    let mut fleet = Fleet::founded();
    for name in ["a", "b", "c"] {
        fleet.stores.insert(name.to_owned(), store(1, true));
    }
    fleet.run(3.0);
    fleet.stores.remove("a");
    fleet.run(5.0);
    assert_eq!(fleet.store_states()["a"], StoreState::Active);
    fleet.stores.insert("d".to_owned(), store(1, false));
    fleet.run(2.0);
    assert_eq!(fleet.store_states()["a"], StoreState::Lost);
    fleet.run(1.0);
    assert_eq!(fleet.store_states()["d"], StoreState::Active);
}

#[test]
fn a_store_that_is_gone_for_good_leaves_the_view_once_others_have_its_share() {
    let mut fleet = Fleet::founded();
    for name in ["a", "b", "c", "d"] {
        fleet.stores.insert(name.to_owned(), store(1, true));
    }
    fleet.run(3.0);
    fleet.stores.remove("a");
    for store in fleet.stores.values_mut() {
        store.handed_over_epoch = 0;
    }
    fleet.run(20.0);
    assert_eq!(fleet.store_states()["a"], StoreState::Lost);
    for store in fleet.stores.values_mut() {
        store.handed_over_epoch = u64::MAX;
    }
    fleet.run(2.0);
    assert!(!fleet.store_states().contains_key("a"));
    // It was only away for long: it joins anew and is filled with what it missed.
    fleet.stores.insert("a".to_owned(), store(1, true));
    for store in fleet.stores.values_mut() {
        store.handed_over_epoch = 0;
    }
    fleet.run(2.0);
    assert_eq!(fleet.store_states()["a"], StoreState::Joining);
}

#[test]
fn questions_do_not_grow_with_the_fleet() {
    let mut fleet = Fleet::founded();
    fleet.run(1.0);
    let small = fleet.nodes[&1].resolution_time();
    for number in 0..400 {
        fleet.input(
            1,
            observe(&format!("g{number}"), gateway(), Known::default()),
        );
    }
    let large = fleet.nodes[&1].resolution_time();
    assert!(small < Duration::from_secs(1) && large > Duration::from_secs(4));
}

/// After a start all gateways want the whole list at once.
#[test]
fn whole_lists_are_sent_a_few_at_a_time_and_to_everybody_once() {
    let mut fleet = Fleet::founded();
    fleet.run(1.0);
    let leader = fleet.leader().unwrap();
    let backend = luglink_fleet::Backend {
        id: luglink_fleet::BackendId("i-1".to_owned()),
        service: "s".to_owned(),
        address: address(1),
        zone: "z".to_owned(),
        slots: 1,
        draining: false,
    };
    let list = luglink_fleet::BackendList::new(vec![backend]);
    let now = fleet.now;
    let node = fleet.nodes.get_mut(&leader).unwrap();
    node.handle(Input::Backends(list), now).unwrap();
    let without_list = Known {
        is_current: true,
        store_epoch: u64::MAX,
        backends: Some(0),
        ..Known::default()
    };
    let mut asked = Vec::new();
    for number in 0..40 {
        let name = format!("g{number}");
        // A question that is asked again takes the place of the first one.
        fleet.input(leader, observe(&name, gateway(), without_list));
        asked.push(fleet.input(leader, observe(&name, gateway(), without_list)));
    }
    fleet.replies.clear();
    fleet.step();
    let first = fleet.replies.len();
    assert!(first > 0 && first < 20, "{first} at once");
    fleet.run(1.0);
    assert_eq!(fleet.replies.len(), asked.len());
    for number in asked {
        let answer = &fleet.replies[&(leader, number)];
        assert!(matches!(answer, Response::News(news) if news.backends.is_some()));
    }
}

#[test]
fn snapshots_carry_documents_and_the_registry() {
    let mut fleet = Fleet::founded();
    for node in fleet.nodes.values() {
        assert!(node.status().groups.len() == 1);
    }
    for name in ["a", "b", "c"] {
        fleet.stores.insert(name.to_owned(), store(1, true));
    }
    fleet.run(3.0);
    fleet.put(1, "one");
    fleet.start(4, MemoryDisk::default(), true);
    fleet.run(3.0);
    let news = match fleet.ask(observe("w", gateway(), Known::default())) {
        Response::News(news) => *news,
        other => panic!("expected news, got {other:?}"),
    };
    let News {
        document: held,
        stores,
        members,
        ..
    } = news;
    assert_eq!(held, Some(document(1, "one")));
    assert_eq!(stores.unwrap().len(), 3);
    assert_eq!(members.len(), 4);
}
