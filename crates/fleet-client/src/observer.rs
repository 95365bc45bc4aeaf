//! The observing loop.

use luglink_control::{Request, RequestParts, Response, ResponseParts};
use luglink_fleet::{
    Contact, FIRST_TELLERS, KnownVersions, MemberList, ObserverPlace, ObserverRequest,
    ObserverUpdate, Presence, Role,
};
use luglink_net::RequestClient;
use luglink_wire::{
    ClientRole, Hello, PROTOCOL_VERSION, Parts, decode_with_parts, encode_with_parts,
};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time beyond the usual wait for news after which a member counts as silent.
const ANSWER_LIMIT: Duration = Duration::from_millis(900);

/// Pause after a question that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);

/// Shortest time between two questions to one member.
const QUESTION_INTERVAL: Duration = Duration::from_millis(30);

/// Time for which a member that was silent, or did not hear its leader, is passed over while
/// others can take its place. About an election and the news of it.
const AVOIDED_FOR: Duration = Duration::from_secs(2);

/// Members that an observer asks for the list of replicas: when the first has none, or falls
/// silent, the second has told it meanwhile.
const LIST_SOURCES: usize = 2;

/// Time without word from any member that hears its leader, after which more members are asked:
/// longer than most elections, and less than half of the shortest bound on a change (2 s).
const ISOLATED_AFTER: Duration = Duration::from_millis(1_200);

/// Time between looks whether other members should be asked.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// What the observer speaks for.
pub trait ObserverDelegate: 'static {
    /// The process's word of itself.
    fn presence(&self) -> Presence;

    /// What the process knows, but for the members, which the observer knows.
    fn known(&self, source: ListSource) -> KnownVersions;

    /// What follows the question to a member.
    fn parts(&self, _asked: AskedMember) -> RequestParts {
        RequestParts::default()
    }

    /// Takes news. `member` is the control member that tells them.
    fn on_update(&self, member: SocketAddr, news: ObserverUpdate);

    /// Takes what follows the news, after those.
    fn on_response_parts(&self, _parts: ResponseParts) {}
}

/// What the member that is asked is for a process's list of replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// The one that tells it.
    Primary,
    /// One that tells changes of it too.
    Secondary,
    /// One that does not.
    Inactive,
}

/// What a member is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AskedMember {
    /// What it is for the process's list of replicas.
    pub source: ListSource,
    /// Whether it is the one member that counts this process.
    pub is_counted_here: bool,
    /// Whether it hears all processes of this one's zone.
    pub covers_whole_zone: bool,
}

/// Where control members are.
#[derive(Clone, Debug)]
pub struct ObserverConfig {
    /// Members to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Internal port of all members.
    pub member_port: u16,
}

/// Asks control members again and again: all that settings name until it has heard of the
/// others, then those that [`MemberList::observed_by`] chooses, and besides them those that the
/// settings name while none that it asks hears a leader.
#[derive(Debug)]
pub struct Observer<S> {
    subject: Rc<S>,
    place: ObserverPlace,
    member_port: u16,
    seeds: RefCell<BTreeSet<SocketAddr>>,
    members: RefCell<MemberList>,
    /// Members that are passed over, until when.
    avoided: RefCell<BTreeMap<SocketAddr, Instant>>,
    /// When a member that hears its leader last answered.
    fresh_at: Cell<Instant>,
    tasks: RefCell<BTreeMap<SocketAddr, actix_rt::task::JoinHandle<()>>>,
}

impl<S: ObserverDelegate> Observer<S> {
    /// Starts to ask the seeds.
    pub fn start(subject: Rc<S>, config: ObserverConfig) -> Rc<Self> {
        let presence = subject.presence();
        let observer = Rc::new(Self {
            place: ObserverPlace {
                name: presence.name,
                zone: presence.zone,
                asks_leader: matches!(presence.role, Role::Store(_)),
            },
            subject,
            member_port: config.member_port,
            seeds: RefCell::new(config.seeds.into_iter().collect()),
            members: RefCell::default(),
            avoided: RefCell::default(),
            fresh_at: Cell::new(Instant::now()),
            tasks: RefCell::default(),
        });
        observer.ask_planned();
        actix_rt::spawn(Rc::clone(&observer).plan_again_and_again());
        observer
    }

    /// Takes members that settings have come to name.
    pub fn add(self: &Rc<Self>, members: &[SocketAddr]) {
        self.seeds.borrow_mut().extend(members);
        self.ask_planned();
    }

    async fn plan_again_and_again(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(PLAN_INTERVAL).await;
            let now = Instant::now();
            self.avoided.borrow_mut().retain(|_, until| *until > now);
            self.ask_planned();
        }
    }

    /// Asks the members of the plan that are not asked yet. Those that are asked and not in the
    /// plan any more stop by themselves after their current question.
    fn ask_planned(self: &Rc<Self>) {
        for member in self.planned() {
            if !self.tasks.borrow().contains_key(&member) {
                tracing::info!(%member, "observing a control member");
                let task = actix_rt::spawn(Rc::clone(self).ask_again_and_again(member));
                self.tasks.borrow_mut().insert(member, task);
            }
        }
    }

    /// The members to ask, those that should tell of a new document first.
    fn planned(&self) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        let named = self.seeds.borrow();
        if members.locations.is_empty() {
            return named.iter().copied().collect();
        }
        let contact = self.contact();
        let observed = members.observed_by(&self.place, contact, &self.avoided_addresses());
        let at_port = |ip: Ipv4Addr| SocketAddr::from((ip, self.member_port));
        let mut planned: Vec<SocketAddr> = observed.into_iter().map(at_port).collect();
        if contact == Contact::Lost {
            // The members that are known may all be gone.
            let unplanned = named.iter().filter(|seed| !planned.contains(seed));
            let unplanned: Vec<SocketAddr> = unplanned.copied().collect();
            planned.extend(unplanned);
        }
        planned
    }

    fn avoided_addresses(&self) -> BTreeSet<Ipv4Addr> {
        let avoided = self.avoided.borrow();
        let addresses = avoided.keys().filter_map(|member| match member.ip() {
            IpAddr::V4(ip) => Some(ip),
            IpAddr::V6(_) => None,
        });
        addresses.collect()
    }

    fn contact(&self) -> Contact {
        match self.fresh_at.get().elapsed() < ISOLATED_AFTER {
            true => Contact::Held,
            false => Contact::Lost,
        }
    }

    async fn ask_again_and_again(self: Rc<Self>, member: SocketAddr) {
        let hello = Hello {
            version: PROTOCOL_VERSION,
            role: ClientRole::Observer,
            id: 0,
        };
        let client = RequestClient::open(member, hello);
        let mut heard = false;
        let mut usual = Duration::ZERO;
        while let Some(order) = self.planned().iter().position(|planned| *planned == member) {
            let asked = Instant::now();
            match self.ask(&client, order, ANSWER_LIMIT + usual * 2).await {
                Some((news, parts)) => {
                    usual = asked.elapsed();
                    if !heard {
                        tracing::info!(%member, fresh = news.fresh, "control member regained");
                    }
                    heard = true;
                    self.learn(member, &news);
                    self.subject.on_update(member, news);
                    self.subject.on_response_parts(parts);
                    self.ask_planned();
                    actix_rt::time::sleep(QUESTION_INTERVAL).await;
                }
                None => {
                    if heard {
                        tracing::warn!(%member, "control member lost");
                    }
                    heard = false;
                    self.avoid(member);
                    self.ask_planned();
                    actix_rt::time::sleep(FAILURE_PAUSE).await;
                }
            }
        }
        tracing::info!(%member, "control member not observed any more");
        self.tasks.borrow_mut().remove(&member);
    }

    /// Asks a member, the one at `order` in the plan.
    async fn ask(
        &self,
        client: &RequestClient,
        order: usize,
        limit: Duration,
    ) -> Option<(ObserverUpdate, ResponseParts)> {
        let is_lost = self.contact() == Contact::Lost;
        let source = match order {
            0 => ListSource::Primary,
            order if order < LIST_SOURCES || is_lost => ListSource::Secondary,
            _ => ListSource::Inactive,
        };
        let request = Request::Observe(Box::new(ObserverRequest {
            presence: self.subject.presence(),
            known: KnownVersions {
                members: self.members.borrow().stamp,
                ..self.subject.known(source)
            },
            wants_document_at_once: order < FIRST_TELLERS || is_lost,
            is_counted_here: order == 0,
        }));
        let parts = self.subject.parts(AskedMember {
            source,
            is_counted_here: order == 0,
            covers_whole_zone: self.covers_whole_zone(client.address()),
        });
        let body = encode_with_parts(&request, &parts.encode().ok()?).ok()?;
        let answer = client.request(body, limit).await.ok()?;
        let (response, parts) = decode_with_parts(&answer).ok()?;
        match response {
            Response::ObserverUpdate(news) => Some((*news, read_parts(&parts))),
            _ => None,
        }
    }

    fn covers_whole_zone(&self, member: SocketAddr) -> bool {
        let IpAddr::V4(ip) = member.ip() else {
            return false;
        };
        let members = self.members.borrow();
        members.covers_whole_zone(ip, &self.place.zone)
    }

    /// Notes whether a member hears its leader, and the list of members that it tells.
    fn learn(&self, member: SocketAddr, news: &ObserverUpdate) {
        if news.fresh {
            self.fresh_at.set(Instant::now());
            self.avoided.borrow_mut().remove(&member);
        } else {
            self.avoid(member);
        }
        let Some(list) = &news.members else { return };
        let mut members = self.members.borrow_mut();
        if list.stamp > members.stamp {
            tracing::info!(
                %member,
                term = list.stamp.term,
                leader = list.leader.map(tracing::field::display),
                members = list.locations.len(),
                "new list of control members"
            );
            *members = list.clone();
        }
    }

    fn avoid(&self, member: SocketAddr) {
        let until = Instant::now() + AVOIDED_FOR;
        self.avoided.borrow_mut().insert(member, until);
    }
}

/// What follows an answer. A part that cannot be read is passed over: the news stand without.
fn read_parts(parts: &Parts) -> ResponseParts {
    ResponseParts::decode(parts).unwrap_or_else(|error| {
        tracing::warn!(%error, "the parts behind news cannot be read");
        ResponseParts::default()
    })
}
