//! The control member: handles inputs, drives its groups and returns outputs.

use crate::config::ControlConfig;
use crate::errors::ControlError;
use crate::fleet::FleetState;
use crate::group::Group;
use crate::identity::Identity;
use crate::machine::{CONFIGURATION_GROUP, LoggedCommand, StateMachine, decode_snapshot, encode};
use crate::parts::{RequestParts, ResponseParts};
use crate::placement::initial_membership;
use crate::protocol::{Fence, MemberStatus, ReleaseOrder, Request, RequestToken, Response};
use crate::store::MemberStore;
use crate::watches::Watch;
use luglink_fleet::{BackendList, BackendReport, ReplicaIncarnation, ReplicaVersion, StoreCommand};
use luglink_program::Command;
use luglink_raft::{Envelope, Message, Peer, RaftNode, RestoredState};
use luglink_resources::{CatchUp, Resource};
use luglink_storage::Disk;
use luglink_types::{EngineId, GroupId, ProgramId, Revision, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Multiplier that derives a distinct seed for each group from the seed of the member.
const SEED_MIX: u64 = 0x9E37_79B9_7F4A_7C15;

/// An event that the member handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A consensus message of another member.
    Peer {
        /// The group that the message belongs to.
        group: GroupId,
        /// The message.
        envelope: Box<Envelope>,
    },
    /// A request of a client.
    Request {
        /// Token that the response carries.
        token: RequestToken,
        /// The request.
        request: Box<Request>,
    },
    /// A request of a client, with optional parts.
    ExtendedRequest {
        /// Token that the response carries.
        token: RequestToken,
        /// The request.
        request: Box<Request>,
        /// Optional parts of the request.
        parts: Box<RequestParts>,
    },
    /// The platform's list of backends, as this member has just read it.
    Backends {
        /// The list.
        list: BackendList,
        /// Time since the read began.
        age: Duration,
    },
    /// Update that the leader sent to this member.
    LeaderUpdate {
        /// Report of the list of backends, if the leader sent one.
        report: Option<BackendReport>,
        /// Number of ready gateways in the fleet; 0 if unknown.
        gateways: u32,
    },
    /// Incarnations of replicas, as the leader knows them.
    LeaderIncarnations(Vec<ReplicaIncarnation>),
    /// Software versions of replicas, as the leader knows them.
    LeaderReplicaVersions(Vec<ReplicaVersion>),
    /// A client has disconnected; its open requests need no response.
    ClientDisconnected {
        /// The client.
        client: u64,
    },
}

/// An action that the caller must execute.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a consensus message to another member.
    Peer {
        /// The group that the message belongs to.
        group: GroupId,
        /// The message, including its receiver.
        envelope: Box<Envelope>,
    },
    /// Answer a request.
    Reply {
        /// Token of the request.
        token: RequestToken,
        /// The response.
        response: Box<Response>,
        /// Optional parts of the response.
        parts: Box<ResponseParts>,
    },
    /// Send a release order to an engine. It is issued again until the engine confirms it.
    Release(ReleaseOrder),
}

/// Leader and size of the configuration group, as one member knows them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Leadership {
    /// Current term.
    pub term: u64,
    /// Leader of the term, if known.
    pub leader: Option<Peer>,
    /// Number of voters.
    pub voters: usize,
    /// Number of learners, which replicate the log without a vote.
    pub learners: usize,
}

/// A control member.
#[derive(Debug)]
pub struct ControlNode<D> {
    pub(crate) config: ControlConfig,
    pub(crate) identity: Identity,
    pub(crate) groups: BTreeMap<GroupId, Group>,
    pub(crate) fleet: FleetState,
    /// Time since which this member leads the configuration group; `None` if it does not.
    pub(crate) leads_since: Option<Timestamp>,
    pub(crate) store: MemberStore<D>,
    pub(crate) watches: Vec<Watch>,
    pub(crate) outputs: Vec<Output>,
    pub(crate) now: Timestamp,
    housekeeping_due: Timestamp,
    /// Time of the last message of the configuration group's leader at which this member had
    /// committed everything that the leader had.
    pub(crate) configuration_confirmed_at: Timestamp,
}

impl<D: Disk> ControlNode<D> {
    /// Starts a member from its disk. `seed` randomizes the election timeouts and becomes the
    /// incarnation of a storage that joins a running cluster. It must differ between starts.
    ///
    /// # Errors
    /// Fails if the configuration is invalid, or if the disk is damaged, full, read-only or belongs
    /// to another member.
    pub fn start(
        config: ControlConfig,
        mut disk: D,
        seed: u64,
        now: Timestamp,
    ) -> Result<Self, ControlError> {
        config.validate()?;
        let founders = config.bootstrap.then_some(config.members.as_slice());
        let identity = Identity::load_or_create(&mut disk, config.member, founders, seed)?;
        let (store, mut restored) = MemberStore::open(disk, config.wal)?;
        let mut groups = BTreeMap::new();
        for number in 0..=config.program_groups {
            let id = GroupId(number);
            let state = restored.remove(&id).unwrap_or_default();
            let group = restore_group(&config, &identity, id, state, seed, now)?;
            groups.insert(id, group);
        }
        Ok(Self {
            config,
            identity,
            groups,
            fleet: FleetState::default(),
            leads_since: None,
            store,
            watches: Vec::new(),
            outputs: Vec::new(),
            now,
            housekeeping_due: now,
            configuration_confirmed_at: Timestamp::ZERO,
        })
    }

    /// Returns the id and the incarnation of this member.
    #[must_use]
    pub fn peer(&self) -> Peer {
        self.identity.peer
    }

    /// Returns the group that holds a program.
    #[must_use]
    pub fn group_of(&self, program: ProgramId) -> GroupId {
        program.group(self.config.program_groups)
    }

    /// Handles an input. The next [`ControlNode::flush`] persists the effects of all inputs since
    /// the last one with one sync, and returns the outputs.
    ///
    /// # Errors
    /// Fails if a command cannot be encoded.
    pub fn handle(&mut self, input: Input, now: Timestamp) -> Result<(), ControlError> {
        self.now = self.now.max(now);
        match input {
            Input::Peer { group, envelope } => {
                self.on_peer_message(group, *envelope);
                Ok(())
            }
            Input::Request { token, request } => {
                self.on_request(token, *request, RequestParts::default())
            }
            Input::ExtendedRequest {
                token,
                request,
                parts,
            } => self.on_request(token, *request, *parts),
            Input::Backends { list, age } => {
                let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
                let seen = Timestamp::from_micros(self.now.as_micros().saturating_sub(age));
                self.fleet.list.replace(list, seen);
                Ok(())
            }
            Input::LeaderUpdate { report, gateways } => {
                if let Some(report) = report {
                    self.fleet.list.follow(report, self.now);
                }
                if gateways > 0 {
                    self.fleet.gateway_count = gateways;
                }
                Ok(())
            }
            Input::LeaderIncarnations(incarnations) => {
                self.fleet.list.merge_incarnations(&incarnations);
                Ok(())
            }
            Input::LeaderReplicaVersions(versions) => {
                self.fleet.list.merge_versions(&versions);
                Ok(())
            }
            Input::ClientDisconnected { client } => {
                self.watches.retain(|watch| watch.token.client != client);
                self.fleet.observers.forget_client(client);
                Ok(())
            }
        }
    }

    /// Advances the time and runs the timers that are due.
    ///
    /// # Errors
    /// Fails if a command cannot be encoded.
    pub fn tick(&mut self, now: Timestamp) -> Result<(), ControlError> {
        self.now = self.now.max(now);
        for group in self.groups.values_mut() {
            if now >= group.raft.next_deadline() {
                group.raft.tick(now);
            }
        }
        self.expire_watches();
        if self.now >= self.housekeeping_due {
            self.housekeeping_due = self.now.plus(self.config.housekeeping_interval);
            self.run_housekeeping()?;
            self.maintain_fleet()?;
        }
        Ok(())
    }

    /// Returns the time at which [`ControlNode::tick`] next has a timer to run.
    #[must_use]
    pub fn next_deadline(&self) -> Timestamp {
        let groups = self.groups.values().map(|group| group.raft.next_deadline());
        let watches = self.watches.iter().map(|watch| watch.deadline);
        groups
            .chain(watches)
            .chain(self.fleet.observers.next_deadline())
            .chain([self.housekeeping_due])
            .min()
            .unwrap_or(self.now)
    }

    /// Persists pending entries and returns the outputs.
    ///
    /// # Errors
    /// Fails if the disk fails. The member must stop then, because it is unknown which writes are
    /// durable.
    pub fn flush(&mut self) -> Result<Vec<Output>, ControlError> {
        // In a group with a single voter, persisting commits entries, which produces further work.
        while self.flush_once()? {}
        self.update_leads_since();
        self.answer_watches();
        self.answer_observers();
        Ok(std::mem::take(&mut self.outputs))
    }

    /// Returns the status of this member and of its groups.
    #[must_use]
    pub fn status(&self) -> MemberStatus {
        let stores = || {
            self.groups
                .values()
                .filter_map(|group| group.state_machine.programs())
        };
        let led = self.groups.values().filter(|group| group.raft.is_leader());
        MemberStatus {
            member: self.identity.peer.member,
            incarnation: self.identity.peer.incarnation,
            revision: self.revision(),
            programs: stores().map(|store| store.programs().count() as u64).sum(),
            pending_releases: led.map(|group| group.releases().len() as u64).sum(),
            groups: self.groups.values().map(Group::status).collect(),
        }
    }

    /// Returns the revision of the configuration that this member has applied.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.configuration()
            .and_then(|group| group.state_machine.configuration())
            .map_or_else(
                Revision::default,
                luglink_resources::ResourceStore::revision,
            )
    }

    /// Returns the programs of one group, for checks in tests.
    #[must_use]
    pub fn programs(&self, group: GroupId) -> Option<&luglink_program::ProgramStore> {
        self.groups.get(&group)?.state_machine.programs()
    }

    /// Returns the changes of the configuration after `known` that this member has applied, for
    /// checks in tests.
    #[must_use]
    pub fn configuration_after(&self, known: Revision) -> CatchUp {
        self.catch_up(known)
    }

    /// Returns true if this member leads the group.
    #[must_use]
    pub fn leads(&self, group: GroupId) -> bool {
        self.groups
            .get(&group)
            .is_some_and(|group| group.raft.is_leader())
    }

    /// Returns leader and size of the configuration group, as this member knows them.
    #[must_use]
    pub fn leadership(&self) -> Leadership {
        let Some(group) = self.configuration() else {
            return Leadership::default();
        };
        Leadership {
            term: group.raft.term(),
            leader: group.raft.leader(),
            voters: group.raft.membership().voters.len(),
            learners: group.raft.membership().learners.len(),
        }
    }

    /// Returns the number of syncs of the log so far.
    #[must_use]
    pub fn syncs(&self) -> u64 {
        self.store.syncs()
    }

    /// Returns the disk, for fault injection.
    pub fn disk_mut(&mut self) -> &mut D {
        self.store.disk_mut()
    }

    /// Consumes the member and returns its disk, as after a crash.
    pub fn into_disk(self) -> D {
        self.store.into_disk()
    }

    fn update_leads_since(&mut self) {
        if !self.leads(CONFIGURATION_GROUP) {
            self.leads_since = None;
        } else if self.leads_since.is_none() {
            self.leads_since = Some(self.now);
        }
    }

    pub(crate) fn configuration(&self) -> Option<&Group> {
        self.groups.get(&CONFIGURATION_GROUP)
    }

    fn on_peer_message(&mut self, group: GroupId, envelope: Envelope) {
        let now = self.now;
        let leader_commit = match &envelope.message {
            Message::Append { commit, .. } => Some(*commit),
            _ => None,
        };
        let Some(member_group) = self.groups.get_mut(&group) else {
            return;
        };
        member_group.raft.step(envelope, now);
        // A message of the leader alone is not enough: a member whose log lags would serve stale
        // state.
        let is_current =
            leader_commit.is_some_and(|commit| member_group.raft.commit_index() >= commit);
        if group == CONFIGURATION_GROUP && is_current {
            self.configuration_confirmed_at = now;
        }
    }

    fn on_request(
        &mut self,
        token: RequestToken,
        request: Request,
        parts: RequestParts,
    ) -> Result<(), ControlError> {
        let response = match request {
            Request::Program(command) => self.propose_program(token, command)?,
            Request::View(program) => {
                let group = self.group_of(program);
                self.read(group, Request::View(program), token)
            }
            Request::ReadConfiguration { known } => self.read(
                CONFIGURATION_GROUP,
                Request::ReadConfiguration { known },
                token,
            ),
            Request::WatchConfiguration { known, hold } => self.watch(token, known, hold),
            Request::Change(change) => {
                let command = encode("a change", &LoggedCommand::Change(change))?;
                self.propose(CONFIGURATION_GROUP, command, Some(token))
            }
            Request::Status => Some(Response::Status(self.status())),
            Request::ChangeMembership { group, change } => {
                Some(self.change_membership(group, change))
            }
            Request::TransferLeadership => {
                self.transfer_all_leadership();
                Some(Response::Done)
            }
            Request::PutDocument(document) => {
                let command = encode("a document", &LoggedCommand::Document(document))?;
                self.propose(CONFIGURATION_GROUP, command, Some(token))
            }
            Request::ReadDocument => self.read(CONFIGURATION_GROUP, Request::ReadDocument, token),
            Request::Observe(observer_request) => {
                self.on_observe(token, *observer_request, parts);
                None
            }
            Request::RelayGatewayPresences(presences) => {
                self.on_relayed_presences(presences, parts.member_stats);
                Some(Response::Done)
            }
            Request::Join(peer) => Some(self.on_join(peer)),
            Request::Retire(name) => {
                let minimum = self.config.managed_or_default().store_copies;
                let command = LoggedCommand::Store(StoreCommand::Retire { name, minimum });
                let command = encode("a store command", &command)?;
                self.propose(CONFIGURATION_GROUP, command, Some(token))
            }
            Request::ReadRetirement(name) => {
                self.read(CONFIGURATION_GROUP, Request::ReadRetirement(name), token)
            }
        };
        if let Some(response) = response {
            self.reply(token, response);
        }
        Ok(())
    }

    fn propose_program(
        &mut self,
        token: RequestToken,
        command: Command,
    ) -> Result<Option<Response>, ControlError> {
        let Some(program) = command.program() else {
            return Ok(Some(Response::Unavailable {
                reason: "the command names no program".to_owned(),
            }));
        };
        let group = self.group_of(program);
        let command = encode("a command", &LoggedCommand::Program(command))?;
        Ok(self.propose(group, command, Some(token)))
    }

    pub(crate) fn propose(
        &mut self,
        group: GroupId,
        command: Vec<u8>,
        token: Option<RequestToken>,
    ) -> Option<Response> {
        let now = self.now;
        let group = self.groups.get_mut(&group)?;
        group.propose(command, token, now)
    }

    fn read(&mut self, group: GroupId, request: Request, token: RequestToken) -> Option<Response> {
        let now = self.now;
        let group = self.groups.get_mut(&group)?;
        group.read(request, token, now)
    }

    fn change_membership(
        &mut self,
        group: GroupId,
        change: luglink_raft::MembershipChange,
    ) -> Response {
        let now = self.now;
        let Some(group) = self.groups.get_mut(&group) else {
            return Response::Unavailable {
                reason: format!("there is no group {group}"),
            };
        };
        if !group.raft.is_leader() {
            return group.not_leader();
        }
        match group.raft.propose_membership(change, now) {
            Ok(_) => Response::Done,
            Err(error) => Response::Unavailable {
                reason: error.to_string(),
            },
        }
    }

    /// Transfers leadership of every group to the voter with the latest contact. Voters on
    /// machines that are being taken out of service are only used if there is no other.
    fn transfer_all_leadership(&mut self) {
        let now = self.now;
        let leaving = self.leaving_members();
        for group in self
            .groups
            .values_mut()
            .filter(|group| group.raft.is_leader())
        {
            let stays = |peer: Peer| !leaving.contains(&peer.member);
            let successor = group.raft.successor(stays);
            if let Some(successor) = successor.or_else(|| group.raft.successor(|_| true)) {
                // Fails only while a transfer of leadership is already in progress.
                let _ = group.raft.transfer_leadership(successor, now);
            }
        }
    }

    /// Expires overdue programs and issues release orders, in the groups that this member leads.
    fn run_housekeeping(&mut self) -> Result<(), ControlError> {
        let now = self.now;
        let overdue: Vec<GroupId> = self
            .groups
            .values()
            .filter(|group| group.raft.is_leader())
            .filter(|group| {
                let programs = group.state_machine.programs();
                programs.is_some_and(|store| store.has_overdue(now))
            })
            .map(|group| group.id)
            .collect();
        for group in overdue {
            let command = encode("a command", &LoggedCommand::Program(Command::Expire))?;
            let _ = self.propose(group, command, None);
        }
        self.order_releases();
        Ok(())
    }

    /// Issues every release order that its engine has not confirmed yet.
    fn order_releases(&mut self) {
        let mut orders = Vec::new();
        let addresses = self.engine_addresses();
        for group in self
            .groups
            .values_mut()
            .filter(|group| group.raft.is_leader())
        {
            if group.order_term != group.raft.term() {
                group.order_term = group.raft.term();
                group.order_sequence = 0;
            }
            for release in group.releases() {
                group.order_sequence += 1;
                orders.push(ReleaseOrder {
                    program: release.program,
                    engine: release.engine,
                    address: addresses.get(&release.engine).cloned(),
                    fence: Fence {
                        epoch: group.order_term,
                        sequence: group.order_sequence,
                    },
                });
            }
        }
        self.outputs.extend(orders.into_iter().map(Output::Release));
    }

    fn engine_addresses(&self) -> BTreeMap<EngineId, String> {
        let resources = self
            .configuration()
            .and_then(|group| group.state_machine.configuration())
            .map(|store| store.resources().values());
        let pools = resources
            .into_iter()
            .flatten()
            .filter_map(|resource| match resource {
                Resource::ModelPool(pool) => Some(pool),
                _ => None,
            });
        pools
            .flat_map(|pool| pool.replicas.iter())
            .map(|replica| (replica.engine, replica.address.clone()))
            .collect()
    }

    /// Answers the pending commands of all groups that this member no longer leads.
    pub(crate) fn abandon_pending(&mut self) {
        let answers: Vec<(RequestToken, Response)> = self
            .groups
            .values_mut()
            .flat_map(Group::abandon_pending)
            .collect();
        for (token, response) in answers {
            self.reply(token, response);
        }
    }

    pub(crate) fn reply(&mut self, token: RequestToken, response: Response) {
        self.reply_with_parts(token, response, ResponseParts::default());
    }

    pub(crate) fn reply_with_parts(
        &mut self,
        token: RequestToken,
        response: Response,
        parts: ResponseParts,
    ) {
        self.outputs.push(Output::Reply {
            token,
            response: Box::new(response),
            parts: Box::new(parts),
        });
    }
}

fn restore_group(
    config: &ControlConfig,
    identity: &Identity,
    id: GroupId,
    mut state: RestoredState,
    seed: u64,
    now: Timestamp,
) -> Result<Group, ControlError> {
    let untouched = state.snapshot.index == 0;
    if untouched && identity.bootstrapped {
        state.snapshot.membership = initial_membership(config, &identity.founders, id);
    }
    let state_machine = if state.snapshot.state.is_empty() {
        StateMachine::new(id, config.refund)
    } else {
        decode_snapshot(&state.snapshot.state)?
    };
    let group_seed = seed ^ u64::from(id.0 + 1).wrapping_mul(SEED_MIX);
    let raft = RaftNode::new(identity.peer, config.raft.clone(), state, group_seed, now);
    Ok(Group::new(id, raft, state_machine))
}
