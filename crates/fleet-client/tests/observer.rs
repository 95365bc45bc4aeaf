//! Selection of the members that an observer queries, with scripted members.

use luglink_control::{Request, Response};
use luglink_fleet::{
    GatewayLoad, GatewayPresence, KnownVersions, MemberList, MemberLocation, MembersStamp,
    ObserverUpdate, Presence, Role, StorePresence,
};
use luglink_fleet_client::{ListSource, Observer, ObserverConfig, ObserverDelegate};
use luglink_limits::Machine;
use luglink_net::{FrameSender, ListenerEvent, ListenerLimits, serve};
use luglink_telemetry::Metrics;
use luglink_wire::{Frame, decode_body, encode_body};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

/// Maximum wait for an expected condition, far above the time that it takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Behaviour of a member.
#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    /// It answers and has a leader.
    Fresh,
    /// It answers and has no leader.
    Stale,
    /// It does not answer.
    Unresponsive,
}

/// A member that answers requests with the member list.
struct Member {
    ip: Ipv4Addr,
    behaviour: Cell<Behaviour>,
    /// Number of requests.
    requests: Cell<u32>,
    /// Number of requests that want a new document without delay.
    immediate_requests: Cell<u32>,
    list: RefCell<MemberList>,
    clients: RefCell<BTreeMap<u64, FrameSender>>,
}

impl Member {
    fn on_socket(&self, event: ListenerEvent) {
        match event {
            ListenerEvent::Opened {
                connection, sender, ..
            } => {
                self.clients.borrow_mut().insert(connection, sender);
            }
            ListenerEvent::Frame {
                connection,
                frame: Frame::Request {
                    correlation, body, ..
                },
            } => self.on_request(connection, correlation, &body),
            ListenerEvent::Frame { .. } => {}
            ListenerEvent::Closed { connection } => {
                self.clients.borrow_mut().remove(&connection);
            }
        }
    }

    fn on_request(&self, connection: u64, correlation: u64, body: &[u8]) {
        let Ok(Request::Observe(request)) = decode_body::<Request>(body) else {
            panic!("expected an observer request");
        };
        self.requests.set(self.requests.get() + 1);
        if request.wants_document_at_once {
            self.immediate_requests
                .set(self.immediate_requests.get() + 1);
        }
        if self.behaviour.get() == Behaviour::Unresponsive {
            return;
        }
        let list = self.list.borrow().clone();
        let update = ObserverUpdate {
            fresh: self.behaviour.get() == Behaviour::Fresh,
            members: (list.stamp > request.known.members).then_some(list),
            ..ObserverUpdate::default()
        };
        let response = encode_body(&Response::ObserverUpdate(Box::new(update))).unwrap();
        if let Some(client) = self.clients.borrow().get(&connection) {
            client.send(Frame::response(correlation, response));
        }
    }
}

/// A process in zone "a" that only observes.
struct Watcher(Role);

fn gateway() -> Watcher {
    Watcher(Role::Gateway(GatewayPresence {
        address: ([127, 0, 0, 1], 80).into(),
        ready: true,
        load: GatewayLoad::default(),
    }))
}

fn store() -> Watcher {
    Watcher(Role::Store(StorePresence {
        address: ([127, 0, 0, 1], 90).into(),
        incarnation: 1,
        founding: true,
        handed_over_epoch: 0,
    }))
}

impl ObserverDelegate for Watcher {
    fn presence(&self) -> Presence {
        Presence {
            name: "front-1".to_owned(),
            zone: ZONES[0].to_owned(),
            role: self.0.clone(),
        }
    }

    fn known(&self, _: ListSource) -> KnownVersions {
        KnownVersions::default()
    }

    fn on_update(&self, _: SocketAddr, _: ObserverUpdate) {}
}

/// Members on separate loopback addresses. The first one is the leader.
struct Fleet {
    members: Vec<Rc<Member>>,
    port: u16,
}

impl Fleet {
    async fn start(count: u8) -> Self {
        let ip = |number: u8| Ipv4Addr::new(127, 0, 7, number + 1);
        let location = |number: u8| MemberLocation {
            ip: ip(number),
            zone: ZONES[usize::from(number) % ZONES.len()].to_owned(),
        };
        let list = MemberList {
            stamp: MembersStamp {
                term: 1,
                knows_leader: true,
                ..MembersStamp::default()
            },
            leader: Some(ip(0)),
            locations: (0..count).map(location).collect(),
        };
        let mut port = 0;
        let mut members = Vec::new();
        for number in 0..count {
            let listener = TcpListener::bind((ip(number), port)).await.unwrap();
            port = listener.local_addr().unwrap().port();
            let member = Rc::new(Member {
                ip: ip(number),
                behaviour: Cell::new(Behaviour::Fresh),
                requests: Cell::new(0),
                immediate_requests: Cell::new(0),
                list: RefCell::new(list.clone()),
                clients: RefCell::default(),
            });
            members.push(Rc::clone(&member));
            let limits = ListenerLimits::for_machine(Machine::default(), &Metrics::new());
            actix_rt::spawn(serve(listener, limits.unwrap(), move |event| {
                member.on_socket(event)
            }));
        }
        Self { members, port }
    }

    fn observe(&self, watcher: Watcher) -> Rc<Observer<Watcher>> {
        let seed = SocketAddr::from((self.members[1].ip, self.port));
        let config = ObserverConfig {
            seeds: vec![seed],
            member_port: self.port,
        };
        Observer::start(Rc::new(watcher), config)
    }

    /// Returns the members that are queried during the next 300 ms.
    async fn queried(&self) -> BTreeSet<usize> {
        for member in &self.members {
            member.requests.set(0);
            member.immediate_requests.set(0);
        }
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        let queried = self.members.iter().enumerate();
        let queried = queried.filter(|(_, member)| member.requests.get() > 0);
        queried.map(|(number, _)| number).collect()
    }

    async fn wait_for(&self, what: &str, holds: impl Fn(&BTreeSet<usize>) -> bool) {
        let waiting = async { while !holds(&self.queried().await) {} };
        let in_time = actix_rt::time::timeout(WAIT_TIMEOUT, waiting).await;
        assert!(in_time.is_ok(), "{what}");
    }
}

/// Members of the observer's zone among sixteen, except the leader.
const NEAR: [usize; 3] = [4, 8, 12];

fn is_usual_selection(queried: &BTreeSet<usize>) -> bool {
    let far = queried.iter().filter(|number| *number % ZONES.len() != 0);
    queried.contains(&0) && NEAR.iter().all(|number| queried.contains(number)) && far.count() == 1
}

#[actix_rt::test]
async fn an_observer_learns_the_member_list_and_queries_a_few_members() {
    let fleet = Fleet::start(16).await;
    let _observer = fleet.observe(gateway());
    fleet
        .wait_for(
            "the leader, members of the zone and one of another",
            is_usual_selection,
        )
        .await;
    let senders = fleet.members.iter();
    let senders = senders.filter(|member| member.immediate_requests.get() > 0);
    let senders: Vec<Ipv4Addr> = senders.map(|member| member.ip).collect();
    assert_eq!(senders.len(), 2, "two send a document without delay");
    let near: Vec<Ipv4Addr> = NEAR.map(|number| fleet.members[number].ip).to_vec();
    assert!(senders.iter().all(|ip| near.contains(ip)), "{senders:?}");
}

#[actix_rt::test]
async fn members_that_do_not_answer_or_have_no_leader_are_replaced() {
    let fleet = Fleet::start(16).await;
    let _observer = fleet.observe(gateway());
    fleet.wait_for("a few members", is_usual_selection).await;
    fleet.members[NEAR[0]]
        .behaviour
        .set(Behaviour::Unresponsive);
    fleet.members[NEAR[1]].behaviour.set(Behaviour::Stale);
    let far = |queried: &BTreeSet<usize>| {
        let far = queried.iter().filter(|number| *number % ZONES.len() != 0);
        far.count()
    };
    // Besides the leader, one member of the zone is left. Members of other zones replace the rest.
    fleet
        .wait_for("members of other zones", |queried| far(queried) >= 2)
        .await;
}

#[actix_rt::test]
async fn without_a_leader_all_members_are_queried_in_turn_a_few_at_a_time() {
    let fleet = Fleet::start(16).await;
    let _gateway = fleet.observe(gateway());
    fleet.wait_for("a few members", is_usual_selection).await;
    for member in &fleet.members {
        member.behaviour.set(Behaviour::Stale);
    }
    let tried = RefCell::new(BTreeSet::<usize>::new());
    let has_tried_all = |queried: &BTreeSet<usize>| {
        tried.borrow_mut().extend(queried);
        tried.borrow().len() == fleet.members.len()
    };
    fleet.wait_for("all members in turn", has_tried_all).await;
    // Once a queried member has a leader, the observer queries a few members again.
    for member in &fleet.members {
        member.behaviour.set(Behaviour::Fresh);
    }
    fleet
        .wait_for("a few again", |queried| {
            !queried.is_empty() && queried.len() <= 5
        })
        .await;
}

#[actix_rt::test]
async fn a_store_follows_the_leader() {
    let fleet = Fleet::start(16).await;
    let _store = fleet.observe(store());
    fleet
        .wait_for("the leader", |queried| queried.contains(&0))
        .await;
    let list = MemberList {
        stamp: MembersStamp {
            term: 2,
            ..fleet.members[0].list.borrow().stamp
        },
        leader: Some(fleet.members[5].ip),
        ..fleet.members[0].list.borrow().clone()
    };
    for member in &fleet.members {
        *member.list.borrow_mut() = list.clone();
    }
    let queries_new_leader = |queried: &BTreeSet<usize>| queried.contains(&5) && queried.len() <= 6;
    fleet
        .wait_for("the new leader and a few", queries_new_leader)
        .await;
}
