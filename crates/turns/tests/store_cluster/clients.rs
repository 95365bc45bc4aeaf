//! Requests of gateways, each under the view that the gateway has when it begins, and what was
//! committed so far.

use crate::cluster::Cluster;
use luglink_fleet::{StoreName, StoreView};
use luglink_turns::{
    AbsenceProof, Account, Chain, ChainQuery, ClientView, JointQuorum, ProgramName, Spend,
    StoreRequest, StoreResponse, TurnId, TurnRecord,
};
use std::collections::{BTreeMap, BTreeSet};

const RETENTION_MS: u64 = 3_600_000;

/// Steps after which a request is given up.
const REQUEST_STEPS: u64 = 7;

pub const PROGRAMS: u64 = 12;

/// Build of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Build {
    Present,
    /// Sends no view, and counts any quorum of the writable owners.
    Older,
}

/// Responses that a request has got.
enum Quorum {
    Joint(JointQuorum),
    Owners { needed: usize, acknowledged: usize },
}

struct PendingRequest {
    program: u64,
    turn: TurnId,
    request: StoreRequest,
    view: StoreView,
    build: Build,
    unsent: Vec<StoreName>,
    quorum: Quorum,
    account: Account,
    /// Turns of the program that were committed when the request began.
    expected: BTreeSet<TurnId>,
    ends_at: u64,
}

/// What the gateways have committed.
#[derive(Default)]
pub struct Clients {
    older_gateways: usize,
    pending: Vec<PendingRequest>,
    /// Turns whose reservation was committed, by program.
    reserved: BTreeMap<u64, BTreeSet<TurnId>>,
    /// Turns that were stored, with their programs.
    kept: Vec<(u64, TurnId)>,
    /// Step of the latest commit of each program.
    pub committed_at: BTreeMap<u64, u64>,
    turns: u64,
    pub commits: u64,
}

pub fn program_name(program: u64) -> ProgramName {
    ProgramName(format!("p{program}"))
}

impl Clients {
    pub fn new(older_gateways: usize) -> Self {
        Self {
            older_gateways,
            ..Self::default()
        }
    }

    /// Begins requests and continues those under way.
    pub fn advance(&mut self, cluster: &mut Cluster) {
        for _ in 0..4 {
            let gateway = cluster.random.below(cluster.gateways.len() as u64) as usize;
            let program = cluster.random.below(PROGRAMS);
            match cluster.random.below(4) {
                0 => self.begin_keep(cluster, gateway, program),
                1 => self.look_up_any(cluster, gateway),
                _ => self.begin_reserve(cluster, gateway, program),
            }
        }
        let mut pending = std::mem::take(&mut self.pending);
        pending.retain_mut(|request| !self.proceed(cluster, request, false));
        self.pending = pending;
    }

    fn build_of(&self, gateway: usize) -> Build {
        match gateway < self.older_gateways {
            true => Build::Older,
            false => Build::Present,
        }
    }

    fn next_turn(&mut self) -> TurnId {
        self.turns += 1;
        TurnId(format!("t{}", self.turns))
    }

    fn begin_reserve(&mut self, cluster: &mut Cluster, gateway: usize, program: u64) {
        let turn = self.next_turn();
        let request = reserve_request(cluster.gateways[gateway].epoch, program, &turn);
        let pending = self.begin(cluster, gateway, program, turn, request);
        self.pending.extend(pending);
    }

    fn begin_keep(&mut self, cluster: &mut Cluster, gateway: usize, program: u64) {
        let turn = self.next_turn();
        let request = StoreRequest::Keep {
            epoch: cluster.gateways[gateway].epoch,
            turn: Box::new(TurnRecord {
                id: turn.clone(),
                program: program_name(program),
                ancestors: Vec::new(),
                input: b"in".to_vec(),
                output: b"out".to_vec(),
                served_by: None,
                retention_ms: RETENTION_MS,
            }),
            tokens: 10,
            foreign_ancestors: Vec::new(),
        };
        let pending = self.begin(cluster, gateway, program, turn, request);
        self.pending.extend(pending);
    }

    fn begin(
        &self,
        cluster: &mut Cluster,
        gateway: usize,
        program: u64,
        turn: TurnId,
        request: StoreRequest,
    ) -> Option<PendingRequest> {
        let view = cluster.gateways[gateway].clone();
        let build = self.build_of(gateway);
        let name = program_name(program);
        let replication = cluster.replication;
        let (unsent, quorum) = match build {
            Build::Present => {
                let quorum = replication.joint_quorum(&view, &name.0);
                (quorum.stores(), Quorum::Joint(quorum))
            }
            Build::Older => {
                let needed = replication.quorum();
                let acknowledged = 0;
                let owners = replication.owners(&view, &name.0);
                (
                    owners,
                    Quorum::Owners {
                        needed,
                        acknowledged,
                    },
                )
            }
        };
        (view.epoch > 0).then(|| PendingRequest {
            program,
            turn,
            request,
            view,
            build,
            unsent,
            quorum,
            account: Account::default(),
            expected: self.reserved.get(&program).cloned().unwrap_or_default(),
            ends_at: cluster.step + REQUEST_STEPS,
        })
    }

    /// Sends a request to some or all of its stores. Returns true if it has ended.
    fn proceed(
        &mut self,
        cluster: &mut Cluster,
        pending: &mut PendingRequest,
        sends_all: bool,
    ) -> bool {
        let mut unsent = Vec::new();
        for store in std::mem::take(&mut pending.unsent) {
            if !sends_all && cluster.random.one_in(3) {
                unsent.push(store);
                continue;
            }
            let client_view = client_view(&pending.view, pending.build, &store);
            let response = cluster.send(&store, client_view, pending.request.clone());
            let is_counted = match response {
                Some(StoreResponse::Spent { account, .. }) => {
                    pending.account.merge(&account);
                    true
                }
                Some(StoreResponse::Done) => true,
                _ => false,
            };
            match &mut pending.quorum {
                Quorum::Joint(quorum) if is_counted => quorum.record(&store),
                Quorum::Owners { acknowledged, .. } if is_counted => *acknowledged += 1,
                _ => {}
            }
        }
        pending.unsent = unsent;
        let is_complete = match &pending.quorum {
            Quorum::Joint(quorum) => quorum.is_complete(),
            Quorum::Owners {
                needed,
                acknowledged,
            } => acknowledged >= needed,
        };
        if is_complete {
            self.commit(cluster.step, pending);
        }
        is_complete || pending.unsent.is_empty() || cluster.step >= pending.ends_at
    }

    fn commit(&mut self, step: u64, pending: &PendingRequest) {
        self.commits += 1;
        self.committed_at.insert(pending.program, step);
        let turn = pending.turn.clone();
        if let StoreRequest::Keep { .. } = pending.request {
            self.kept.push((pending.program, turn));
            return;
        }
        for expected in &pending.expected {
            assert!(
                pending.account.spend_of(expected).is_some(),
                "step {step}: a {:?} gateway with view {} does not know the tokens of {expected} of \
                 program {}",
                pending.build,
                pending.view.epoch,
                pending.program,
            );
        }
        self.reserved
            .entry(pending.program)
            .or_default()
            .insert(turn);
    }

    fn look_up_any(&mut self, cluster: &mut Cluster, gateway: usize) {
        if self.kept.is_empty() || self.build_of(gateway) == Build::Older {
            return;
        }
        let chosen = cluster.random.below(self.kept.len() as u64) as usize;
        let (_, turn) = self.kept[chosen].clone();
        self.look_up(cluster, gateway, &turn);
    }

    /// Returns true if a store has the turn. Fails if the gateway takes a stored turn for absent.
    fn look_up(&self, cluster: &mut Cluster, gateway: usize, turn: &TurnId) -> bool {
        let view = cluster.gateways[gateway].clone();
        let mut absence = AbsenceProof::default();
        for store in view.members.keys() {
            let client_view = client_view(&view, Build::Present, store);
            let query = ChainQuery { turn: turn.clone() };
            match cluster.send(store, client_view, StoreRequest::Lookup(query)) {
                Some(StoreResponse::Chain(Chain::Found { .. })) => return true,
                Some(StoreResponse::Chain(chain)) => absence.record(&view, store, &chain),
                _ => {}
            }
        }
        assert!(
            !absence.is_certain(&view, cluster.replication),
            "step {}: a gateway with view {} takes the stored turn {turn} for absent",
            cluster.step,
            view.epoch,
        );
        false
    }

    /// Reserves tokens through any gateway.
    pub fn try_program(&mut self, cluster: &mut Cluster, program: u64) {
        let gateway = cluster.random.below(cluster.gateways.len() as u64) as usize;
        self.reserve_at_once(cluster, gateway, program);
    }

    /// Reserves tokens in one step. Returns true if that was committed.
    fn reserve_at_once(&mut self, cluster: &mut Cluster, gateway: usize, program: u64) -> bool {
        let turn = self.next_turn();
        let request = reserve_request(cluster.gateways[gateway].epoch, program, &turn);
        let before = self.commits;
        let begun = self.begin(cluster, gateway, program, turn, request);
        if let Some(mut pending) = begun {
            self.proceed(cluster, &mut pending, true);
        }
        self.commits > before
    }

    /// Fails unless every gateway can continue every program and finds every stored turn.
    pub fn check_all_served(&mut self, cluster: &mut Cluster) {
        for gateway in 0..cluster.gateways.len() {
            for program in 0..PROGRAMS {
                let is_served = self.reserve_at_once(cluster, gateway, program);
                assert!(is_served, "program {program} is not served");
            }
            if self.build_of(gateway) == Build::Present {
                for (_, turn) in &self.kept {
                    let is_found = self.look_up(cluster, gateway, turn);
                    assert!(is_found, "the stored turn {turn} is not found");
                }
            }
        }
    }
}

fn reserve_request(epoch: u64, program: u64, turn: &TurnId) -> StoreRequest {
    StoreRequest::Spend {
        epoch,
        program: program_name(program),
        turn: turn.clone(),
        spend: Spend::Reserved(10),
        retention_ms: RETENTION_MS,
        chain: None,
        served_by: None,
    }
}

fn client_view(view: &StoreView, build: Build, store: &StoreName) -> Option<ClientView> {
    let member = view.members.get(store)?;
    (build == Build::Present).then_some(ClientView {
        epoch: view.epoch,
        incarnation: member.incarnation,
    })
}
