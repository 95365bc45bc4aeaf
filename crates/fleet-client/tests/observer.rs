//! Which members an observer asks, with members that answer by a script.

use luglink_control::{Request, Response};
use luglink_fleet::{
    GatewayLoad, GatewayPresence, KnownVersions, MemberList, MemberLocation, MembersStamp,
    ObserverUpdate, Presence, Role, StorePresence,
};
use luglink_fleet_client::{ListSource, Observer, ObserverConfig, ObserverDelegate};
use luglink_net::{FrameSender, ListenerEvent, serve};
use luglink_wire::{Frame, decode_body, encode_body};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

/// Longest wait for something that should come about; far more than it takes.
const PATIENCE: Duration = Duration::from_secs(30);

/// How a member answers.
#[derive(Clone, Copy, PartialEq)]
enum Manner {
    /// It hears its leader.
    Fresh,
    /// It hears no leader.
    Stale,
    /// It does not answer.
    Silent,
}

/// A member that answers questions with the list of members.
struct Member {
    ip: Ipv4Addr,
    manner: Cell<Manner>,
    /// Questions, and among them those that count on it to tell of a document first.
    asked: Cell<u32>,
    asked_to_tell: Cell<u32>,
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
            } => self.on_question(connection, correlation, &body),
            ListenerEvent::Frame { .. } => {}
            ListenerEvent::Closed { connection } => {
                self.clients.borrow_mut().remove(&connection);
            }
        }
    }

    fn on_question(&self, connection: u64, correlation: u64, body: &[u8]) {
        let Ok(Request::Observe(observation)) = decode_body::<Request>(body) else {
            panic!("expected an observation");
        };
        self.asked.set(self.asked.get() + 1);
        if observation.wants_document_at_once {
            self.asked_to_tell.set(self.asked_to_tell.get() + 1);
        }
        if self.manner.get() == Manner::Silent {
            return;
        }
        let list = self.list.borrow().clone();
        let news = ObserverUpdate {
            fresh: self.manner.get() == Manner::Fresh,
            members: (list.stamp > observation.known.members).then_some(list),
            ..ObserverUpdate::default()
        };
        let response = encode_body(&Response::ObserverUpdate(Box::new(news))).unwrap();
        if let Some(client) = self.clients.borrow().get(&connection) {
            client.send(Frame::response(correlation, response));
        }
    }
}

/// A process of zone "a" that only observes.
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

/// Members on loopback addresses of their own; the first one leads.
struct Fleet {
    members: Vec<Rc<Member>>,
    port: u16,
}

impl Fleet {
    async fn start(count: u8) -> Self {
        let ip = |number: u8| Ipv4Addr::new(127, 0, 7, number + 1);
        let place = |number: u8| MemberLocation {
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
            locations: (0..count).map(place).collect(),
        };
        let mut port = 0;
        let mut members = Vec::new();
        for number in 0..count {
            let listener = TcpListener::bind((ip(number), port)).await.unwrap();
            port = listener.local_addr().unwrap().port();
            let member = Rc::new(Member {
                ip: ip(number),
                manner: Cell::new(Manner::Fresh),
                asked: Cell::new(0),
                asked_to_tell: Cell::new(0),
                list: RefCell::new(list.clone()),
                clients: RefCell::default(),
            });
            members.push(Rc::clone(&member));
            actix_rt::spawn(serve(listener, move |event| member.on_socket(event)));
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

    /// Members that are asked in a while, once those of before have been told to stop.
    async fn asked(&self) -> BTreeSet<usize> {
        for member in &self.members {
            member.asked.set(0);
            member.asked_to_tell.set(0);
        }
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        let asked = self.members.iter().enumerate();
        let asked = asked.filter(|(_, member)| member.asked.get() > 0);
        asked.map(|(number, _)| number).collect()
    }

    async fn wait_for(&self, what: &str, holds: impl Fn(&BTreeSet<usize>) -> bool) {
        let waiting = async { while !holds(&self.asked().await) {} };
        let in_time = actix_rt::time::timeout(PATIENCE, waiting).await;
        assert!(in_time.is_ok(), "{what}");
    }
}

/// Members of the observer's zone among sixteen, but for the leader.
const NEAR: [usize; 3] = [4, 8, 12];

fn asks_a_few(asked: &BTreeSet<usize>) -> bool {
    let far = asked.iter().filter(|number| *number % ZONES.len() != 0);
    asked.contains(&0) && NEAR.iter().all(|number| asked.contains(number)) && far.count() == 1
}

#[actix_rt::test]
async fn an_observer_learns_of_all_members_and_asks_a_few() {
    let fleet = Fleet::start(16).await;
    let _observer = fleet.observe(gateway());
    fleet
        .wait_for("the leader, its zone and one more", asks_a_few)
        .await;
    let tellers = fleet.members.iter();
    let tellers = tellers.filter(|member| member.asked_to_tell.get() > 0);
    let tellers: Vec<Ipv4Addr> = tellers.map(|member| member.ip).collect();
    assert_eq!(tellers.len(), 2, "two tell of a document first");
    let near: Vec<Ipv4Addr> = NEAR.map(|number| fleet.members[number].ip).to_vec();
    assert!(tellers.iter().all(|ip| near.contains(ip)), "{tellers:?}");
}

#[actix_rt::test]
async fn others_take_the_place_of_members_that_are_silent_or_hear_no_leader() {
    let fleet = Fleet::start(16).await;
    let _observer = fleet.observe(gateway());
    fleet.wait_for("a few members", asks_a_few).await;
    fleet.members[NEAR[0]].manner.set(Manner::Silent);
    fleet.members[NEAR[1]].manner.set(Manner::Stale);
    let far = |asked: &BTreeSet<usize>| {
        let far = asked.iter().filter(|number| *number % ZONES.len() != 0);
        far.count()
    };
    // The zone has one sound member besides the leader; others make up for the rest.
    fleet
        .wait_for("members elsewhere", |asked| far(asked) >= 2)
        .await;
}

#[actix_rt::test]
async fn members_are_asked_a_few_at_a_time_and_all_in_turn_while_none_hears_a_leader() {
    let fleet = Fleet::start(16).await;
    let _gateway = fleet.observe(gateway());
    fleet.wait_for("a few members", asks_a_few).await;
    for member in &fleet.members {
        member.manner.set(Manner::Stale);
    }
    let met = RefCell::new(BTreeSet::<usize>::new());
    let everyone = |asked: &BTreeSet<usize>| {
        met.borrow_mut().extend(asked);
        met.borrow().len() == fleet.members.len()
    };
    fleet.wait_for("all members in turn", everyone).await;
    // One that hears the new leader is enough to ask a few again.
    for member in &fleet.members {
        member.manner.set(Manner::Fresh);
    }
    fleet
        .wait_for("a few again", |asked| !asked.is_empty() && asked.len() <= 5)
        .await;
}

#[actix_rt::test]
async fn a_store_follows_the_leader() {
    let fleet = Fleet::start(16).await;
    let _store = fleet.observe(store());
    fleet
        .wait_for("the leader", |asked| asked.contains(&0))
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
    let led_by_another = |asked: &BTreeSet<usize>| asked.contains(&5) && asked.len() <= 6;
    fleet
        .wait_for("the new leader and a few", led_by_another)
        .await;
}
