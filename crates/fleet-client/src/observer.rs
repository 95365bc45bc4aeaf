//! Request loop of an observer.

use luglink_control::{Request, RequestParts, Response, ResponseParts};
use luglink_fleet::{
    Contact, IMMEDIATE_DOCUMENT_SENDERS, KnownVersions, MemberList, ObserverInfo, ObserverRequest,
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

/// Request timeout in addition to twice the duration of the last answered request, which includes
/// the time for which a member holds a request until it has an update. A member that exceeds the
/// timeout counts as unreachable.
const BASE_REQUEST_TIMEOUT: Duration = Duration::from_millis(900);

/// Delay after a failed request.
const FAILURE_DELAY: Duration = Duration::from_millis(150);

/// Minimum delay between two requests to one member.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);

/// Time for which a member that did not answer, or has no leader, is avoided if others can replace
/// it: about the time of an election and of the transfer of its result.
const AVOIDANCE_PERIOD: Duration = Duration::from_secs(2);

/// Number of members from which an observer requests the replica list: if the first one has no
/// list or does not answer, the second one has already sent it.
const LIST_SOURCES: usize = 2;

/// Time without a response of a member that has a leader, after which more members are queried:
/// longer than most elections, and less than half of the shortest time limit for the propagation of
/// a change (2 s).
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Interval at which the set of queried members is updated.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// The process on whose behalf the observer queries control members.
pub trait ObserverDelegate: 'static {
    /// Returns the presence of the process.
    fn presence(&self) -> Presence;

    /// Returns the versions of the data that the process has. The observer sets the version of the
    /// member list.
    fn known(&self, source: ListSource) -> KnownVersions;

    /// Returns the optional parts of a request to a member.
    fn parts(&self, _asked: AskedMember) -> RequestParts {
        RequestParts::default()
    }

    /// Handles an update that the control member `member` sent.
    fn on_update(&self, member: SocketAddr, update: ObserverUpdate);

    /// Handles the optional parts of a response. Called after [`Self::on_update`].
    fn on_response_parts(&self, _parts: ResponseParts) {}
}

/// Role of a queried member as a source of the replica list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// Sends the list.
    Primary,
    /// Sends changes of the list too.
    Secondary,
    /// Does not send the list.
    Inactive,
}

/// Role of a queried member for the observing process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AskedMember {
    /// Its role as a source of the replica list.
    pub source: ListSource,
    /// True if it is the one member that counts the process.
    pub is_counted_here: bool,
    /// True if all processes of the observer's zone report to it.
    pub covers_whole_zone: bool,
}

/// Addresses of control members.
#[derive(Clone, Debug)]
pub struct ObserverConfig {
    /// Addresses of the members to query first.
    pub seeds: Vec<SocketAddr>,
    /// Internal port of all members.
    pub member_port: u16,
}

/// Continuously queries control members: the seeds until it has a member list, then the members
/// that [`MemberList::members_for`] selects. While no queried member has a leader, it queries the
/// seeds too.
#[derive(Debug)]
pub struct Observer<D> {
    delegate: Rc<D>,
    info: ObserverInfo,
    member_port: u16,
    seeds: RefCell<BTreeSet<SocketAddr>>,
    members: RefCell<MemberList>,
    /// Avoided members, with the end of the avoidance.
    avoided: RefCell<BTreeMap<SocketAddr, Instant>>,
    /// Time of the last response of a member that has a leader.
    leader_contact_at: Cell<Instant>,
    tasks: RefCell<BTreeMap<SocketAddr, actix_rt::task::JoinHandle<()>>>,
}

impl<D: ObserverDelegate> Observer<D> {
    /// Starts an observer, which queries the seeds first.
    pub fn start(delegate: Rc<D>, config: ObserverConfig) -> Rc<Self> {
        let presence = delegate.presence();
        let observer = Rc::new(Self {
            info: ObserverInfo {
                name: presence.name,
                zone: presence.zone,
                queries_leader: matches!(presence.role, Role::Store(_)),
            },
            delegate,
            member_port: config.member_port,
            seeds: RefCell::new(config.seeds.into_iter().collect()),
            members: RefCell::default(),
            avoided: RefCell::default(),
            leader_contact_at: Cell::new(Instant::now()),
            tasks: RefCell::default(),
        });
        observer.query_planned();
        actix_rt::spawn(Rc::clone(&observer).plan_periodically());
        observer
    }

    /// Adds seeds, for example after a change of the settings.
    pub fn add(self: &Rc<Self>, members: &[SocketAddr]) {
        self.seeds.borrow_mut().extend(members);
        self.query_planned();
    }

    async fn plan_periodically(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(PLAN_INTERVAL).await;
            let now = Instant::now();
            self.avoided.borrow_mut().retain(|_, until| *until > now);
            self.query_planned();
        }
    }

    /// Starts a task for each planned member that has none. The task of a member that is no longer
    /// planned ends by itself after its current request.
    fn query_planned(self: &Rc<Self>) {
        for member in self.planned() {
            if !self.tasks.borrow().contains_key(&member) {
                tracing::info!(%member, "observing control member");
                let task = actix_rt::spawn(Rc::clone(self).query_repeatedly(member));
                self.tasks.borrow_mut().insert(member, task);
            }
        }
    }

    /// Returns the members to query. The first ones send new documents.
    fn planned(&self) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        let seeds = self.seeds.borrow();
        if members.locations.is_empty() {
            return seeds.iter().copied().collect();
        }
        let contact = self.contact();
        let selected = members.members_for(&self.info, contact, &self.avoided_addresses());
        let with_port = |ip: Ipv4Addr| SocketAddr::from((ip, self.member_port));
        let mut planned: Vec<SocketAddr> = selected.into_iter().map(with_port).collect();
        if contact == Contact::Lost {
            // All known members may have been replaced.
            let unplanned = seeds.iter().filter(|seed| !planned.contains(seed));
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
        match self.leader_contact_at.get().elapsed() < ISOLATION_TIMEOUT {
            true => Contact::Established,
            false => Contact::Lost,
        }
    }

    async fn query_repeatedly(self: Rc<Self>, member: SocketAddr) {
        let hello = Hello {
            version: PROTOCOL_VERSION,
            role: ClientRole::Observer,
            id: 0,
        };
        let client = RequestClient::open(member, hello);
        let mut is_reachable = false;
        let mut last_duration = Duration::ZERO;
        while let Some(order) = self.planned().iter().position(|planned| *planned == member) {
            let sent_at = Instant::now();
            match self
                .query(&client, order, BASE_REQUEST_TIMEOUT + last_duration * 2)
                .await
            {
                Some((update, parts)) => {
                    last_duration = sent_at.elapsed();
                    if !is_reachable {
                        tracing::info!(%member, fresh = update.fresh, "control member reachable");
                    }
                    is_reachable = true;
                    self.process(member, &update);
                    self.delegate.on_update(member, update);
                    self.delegate.on_response_parts(parts);
                    self.query_planned();
                    actix_rt::time::sleep(REQUEST_INTERVAL).await;
                }
                None => {
                    if is_reachable {
                        tracing::warn!(%member, "failed to query control member");
                    }
                    is_reachable = false;
                    self.avoid(member);
                    self.query_planned();
                    actix_rt::time::sleep(FAILURE_DELAY).await;
                }
            }
        }
        tracing::info!(%member, "stopped observing control member");
        self.tasks.borrow_mut().remove(&member);
    }

    /// Queries the member at position `order` in the plan.
    async fn query(
        &self,
        client: &RequestClient,
        order: usize,
        timeout: Duration,
    ) -> Option<(ObserverUpdate, ResponseParts)> {
        let is_lost = self.contact() == Contact::Lost;
        let source = match order {
            0 => ListSource::Primary,
            order if order < LIST_SOURCES || is_lost => ListSource::Secondary,
            _ => ListSource::Inactive,
        };
        let request = Request::Observe(Box::new(ObserverRequest {
            presence: self.delegate.presence(),
            known: KnownVersions {
                members: self.members.borrow().stamp,
                ..self.delegate.known(source)
            },
            wants_document_at_once: order < IMMEDIATE_DOCUMENT_SENDERS || is_lost,
            is_counted_here: order == 0,
        }));
        let parts = self.delegate.parts(AskedMember {
            source,
            is_counted_here: order == 0,
            covers_whole_zone: self.covers_whole_zone(client.address()),
        });
        let body = encode_with_parts(&request, &parts.encode().ok()?).ok()?;
        let reply = client.request(body, timeout).await.ok()?;
        let (response, parts) = decode_with_parts(&reply).ok()?;
        match response {
            Response::ObserverUpdate(update) => {
                let mut parts = decode_parts(&parts);
                let mut update = *update;
                if let Some(view) = &mut update.stores {
                    view.settled = parts.settled_stores.take();
                }
                Some((update, parts))
            }
            _ => None,
        }
    }

    fn covers_whole_zone(&self, member: SocketAddr) -> bool {
        let IpAddr::V4(ip) = member.ip() else {
            return false;
        };
        let members = self.members.borrow();
        members.covers_whole_zone(ip, &self.info.zone)
    }

    /// Updates the contact state and the member list from a response. A member without a leader is
    /// avoided.
    fn process(&self, member: SocketAddr, update: &ObserverUpdate) {
        if update.fresh {
            self.leader_contact_at.set(Instant::now());
            self.avoided.borrow_mut().remove(&member);
        } else {
            self.avoid(member);
        }
        let Some(list) = &update.members else { return };
        let mut members = self.members.borrow_mut();
        if list.stamp > members.stamp {
            tracing::info!(
                %member,
                term = list.stamp.term,
                leader = list.leader.map(tracing::field::display),
                members = list.locations.len(),
                "received new list of control members"
            );
            *members = list.clone();
        }
    }

    fn avoid(&self, member: SocketAddr) {
        let until = Instant::now() + AVOIDANCE_PERIOD;
        self.avoided.borrow_mut().insert(member, until);
    }
}

/// Decodes the optional parts of a response. If that fails, the update is used without them.
fn decode_parts(parts: &Parts) -> ResponseParts {
    ResponseParts::decode(parts).unwrap_or_else(|error| {
        tracing::warn!(%error, "failed to decode the optional parts of an observer update");
        ResponseParts::default()
    })
}
