//! Programs that come back shortly before their records expire, while single stores are stopped, frozen,
//! cut off, emptied, replaced or retired one after the other. Some writes get to no more stores than they
//! need.

use crate::cluster::Cluster;
use crate::{CATCH_UP_STEPS, Model, START_STEPS};
use luglink_fleet::{StoreName, StoreView};
use luglink_turns::{
    Account, Chain, ChainQuery, ClientView, KeepCheck, ProgramName, ProgramWrite, Spend,
    StoreRequest, StoreResponse, TurnId, TurnRecord, turn_batches,
};
use std::collections::BTreeMap;

const RETENTION_STEPS: u64 = 300;
const RETENTION_MS: u64 = RETENTION_STEPS * 100;

const PROGRAMS: u64 = 8;

/// Tokens of a turn.
const TOKENS: u64 = 10;

/// Steps within which a turn is served while a single store is out.
const SERVED_STEPS: u64 = 60;

/// Number of outages in a play.
const OUTAGES: u64 = 8;

#[derive(Default)]
struct Program {
    /// Turns that were answered, oldest first, with those of other programs that they continue.
    chain: Vec<TurnRecord>,
    /// The program's own turns.
    answered: Vec<TurnId>,
    next_turn_at: u64,
    /// Time since which the next turn is sent.
    waits_since: Option<u64>,
}

pub struct Programs {
    programs: BTreeMap<u64, Program>,
    turns: u64,
}

impl Programs {
    pub fn new(cluster: &mut Cluster) -> Self {
        let mut programs = BTreeMap::new();
        for program in 0..PROGRAMS {
            let next_turn_at = cluster.step + cluster.random.below(RETENTION_STEPS);
            let begun = Program {
                next_turn_at,
                ..Program::default()
            };
            programs.insert(program, begun);
        }
        Self { programs, turns: 0 }
    }

    /// Takes the turns that are due. Fails if a program lacks a turn or tokens, or is not served.
    pub fn advance(&mut self, cluster: &mut Cluster, seed: u64) {
        for number in 0..PROGRAMS {
            let program = &self.programs[&number];
            if program.next_turn_at > cluster.step {
                continue;
            }
            let waits_since = program.waits_since.unwrap_or(cluster.step);
            let waits = cluster.step - waits_since;
            assert!(
                waits < SERVED_STEPS,
                "seed {seed}: program {number} is not served at step {}",
                cluster.step
            );
            let is_served = self.take_turn(cluster, seed, number);
            let program = self.programs.get_mut(&number).expect("it exists");
            program.waits_since = (!is_served).then_some(waits_since);
        }
    }

    fn take_turn(&mut self, cluster: &mut Cluster, seed: u64, number: u64) -> bool {
        let gateway = cluster.random.below(cluster.gateways.len() as u64) as usize;
        let view = cluster.gateways[gateway].clone();
        let program = &self.programs[&number];
        self.turns += 1;
        let turn = TurnId(format!("u{}", self.turns));
        let name = ProgramName(format!("q{number}"));
        let Some(account) = reserve(cluster, &view, &name, &turn) else {
            return false;
        };
        for answered in &program.answered {
            assert!(
                account.spend_of(answered).is_some(),
                "seed {seed}: the tokens of {answered} of program {number} are not known at step {}",
                cluster.step
            );
        }
        if let Some(last) = program.chain.last() {
            let found = find_chain(cluster, &view, &last.id);
            let expected: Vec<&TurnId> = program.chain.iter().map(|turn| &turn.id).collect();
            match found {
                None => return false,
                Some(found) => assert!(
                    found.iter().collect::<Vec<_>>() == expected,
                    "seed {seed}: the chain of program {number} is {found:?} instead of \
                     {expected:?} at step {}",
                    cluster.step
                ),
            }
        }
        let record = TurnRecord {
            id: turn.clone(),
            program: name,
            ancestors: program.chain.iter().map(|turn| turn.id.clone()).collect(),
            input: b"in".to_vec(),
            output: b"out".to_vec(),
            served_by: None,
            retention_ms: RETENTION_MS,
        };
        if !keep(cluster, &view, &record, &program.chain, account) {
            return false;
        }
        self.note_answered(cluster, number, record);
        true
    }

    fn note_answered(&mut self, cluster: &mut Cluster, number: u64, record: TurnRecord) {
        // A new program may go on from a turn of another one.
        let branch = cluster.random.one_in(6).then(|| {
            let mut chain = self.programs[&number].chain.clone();
            chain.push(record.clone());
            (cluster.random.below(PROGRAMS), chain)
        });
        let program = self.programs.get_mut(&number).expect("it exists");
        program.answered.push(record.id.clone());
        program.chain.push(record);
        program.next_turn_at = cluster.step + pause(cluster);
        if let Some((other, chain)) = branch.filter(|(other, _)| *other != number) {
            let other = self.programs.get_mut(&other).expect("it exists");
            if other.chain.is_empty() {
                other.chain = chain;
            }
        }
    }
}

/// Returns a time shortly before the retention of a turn ends, or a shorter one.
fn pause(cluster: &mut Cluster) -> u64 {
    match cluster.random.below(3) {
        0 => cluster
            .random
            .between(1, RETENTION_STEPS - SERVED_STEPS - 1),
        _ => {
            let early = cluster.random.between(1, 20);
            RETENTION_STEPS - SERVED_STEPS - early
        }
    }
}

fn client_view(view: &StoreView, store: &StoreName) -> Option<ClientView> {
    let member = view.members.get(store)?;
    Some(ClientView {
        epoch: view.epoch,
        incarnation: member.incarnation,
    })
}

/// Returns the stores of a write in the order in which it gets to them.
fn shuffled(cluster: &mut Cluster, mut stores: Vec<StoreName>) -> Vec<StoreName> {
    for last in (1..stores.len()).rev() {
        let other = cluster.random.below(last as u64 + 1) as usize;
        stores.swap(last, other);
    }
    stores
}

fn reserve(
    cluster: &mut Cluster,
    view: &StoreView,
    program: &ProgramName,
    turn: &TurnId,
) -> Option<Account> {
    let quorum = cluster.replication.joint_quorum(view, &program.0);
    let mut write = ProgramWrite::new(quorum, program.clone(), RETENTION_MS, Account::default());
    for store in shuffled(cluster, write.stores()) {
        if write.is_complete() && cluster.random.one_in(2) {
            break;
        }
        let request = StoreRequest::Spend {
            epoch: view.epoch,
            program: program.clone(),
            turn: turn.clone(),
            spend: Spend::Reserved(TOKENS),
            retention_ms: RETENTION_MS,
            chain: None,
            served_by: None,
        };
        let response = cluster.send(&store, client_view(view, &store), request);
        if let Some(StoreResponse::Spent { account, .. }) = response {
            on_written(cluster, view, &mut write, &store, account);
        }
    }
    write.is_complete().then(|| write.account().clone())
}

fn on_written(
    cluster: &mut Cluster,
    view: &StoreView,
    write: &mut ProgramWrite,
    store: &StoreName,
    copy: Account,
) {
    for repair in write.on_written(store, copy) {
        let client_view = client_view(view, &repair.store);
        if cluster.send(&repair.store, client_view, repair.request) == Some(StoreResponse::Done) {
            write.on_repaired(&repair.store);
        }
    }
}

fn keep(
    cluster: &mut Cluster,
    view: &StoreView,
    record: &TurnRecord,
    chain: &[TurnRecord],
    mut known: Account,
) -> bool {
    known.record(&record.id, Spend::Settled(TOKENS));
    let check = KeepCheck {
        account_digest: known.digest(),
    };
    let program = record.program.clone();
    let quorum = cluster.replication.joint_quorum(view, &program.0);
    let mut write = ProgramWrite::new(quorum, program, RETENTION_MS, known.clone());
    for store in shuffled(cluster, write.stores()) {
        if write.is_complete() && cluster.random.one_in(2) {
            break;
        }
        let foreign = chain.iter().filter(|turn| turn.program != record.program);
        let request = StoreRequest::Keep {
            epoch: view.epoch,
            turn: Box::new(record.clone()),
            tokens: TOKENS,
            foreign_ancestors: foreign.cloned().collect(),
        };
        let client_view = client_view(view, &store);
        for _ in 0..2 {
            let answer = cluster.send_checked(&store, client_view, Some(check), request.clone());
            let Some((response, report)) = answer else {
                break;
            };
            if response == StoreResponse::Done {
                let copy = report.account.unwrap_or_else(|| known.clone());
                on_written(cluster, view, &mut write, &store, copy);
                break;
            }
            let missing = chain
                .iter()
                .filter(|turn| report.missing.contains(&turn.id));
            for batch in turn_batches(missing.cloned()) {
                cluster.send(&store, client_view, batch);
            }
        }
    }
    write.is_complete()
}

/// Returns the turns of a chain, oldest first; `None` if the stores that answer do not have all of it.
fn find_chain(cluster: &mut Cluster, view: &StoreView, turn: &TurnId) -> Option<Vec<TurnId>> {
    let mut found = BTreeMap::new();
    for store in view.members.keys() {
        let query = ChainQuery { turn: turn.clone() };
        let request = StoreRequest::Lookup(query);
        let response = cluster.send(store, client_view(view, store), request);
        if let Some(StoreResponse::Chain(Chain::Found { turn, ancestors })) = response {
            found.extend(ancestors.into_iter().map(|turn| (turn.id.clone(), turn)));
            found.insert(turn.id.clone(), *turn);
        }
    }
    let head = found.get(turn)?;
    let chain: Vec<TurnId> = head.ancestors.iter().chain([turn]).cloned().collect();
    chain
        .iter()
        .all(|id| found.contains_key(id))
        .then_some(chain)
}

/// Begins an outage of one store. Returns the step at which it ends.
fn begin_outage(model: &mut Model) -> u64 {
    let name = model.any_store();
    let steps = model.cluster.random.between(4, 32);
    let step = model.cluster.step;
    let machine = model.cluster.machines.get_mut(&name).expect("it exists");
    match model.cluster.random.below(8) {
        0 | 1 => model.cluster.stop(&name, steps),
        2 => machine.frozen_until = step + steps,
        3 => machine.cut_until = step + steps,
        4 => machine.full_until = step + steps,
        5 => {
            model.lose_disk(&name, steps);
        }
        6 => {
            model.replace(&name);
            return step;
        }
        _ => {
            model.add();
            model.retire(name);
            return step;
        }
    }
    step + steps
}

pub fn play_outages(seed: u64, stores: usize) {
    let mut model = Model::new(seed, 1, stores, 0);
    model.cluster.is_network_sound = true;
    for _ in 0..START_STEPS {
        model.advance();
    }
    let mut programs = Programs::new(&mut model.cluster);
    for _ in 0..OUTAGES {
        let pause = model.cluster.random.between(0, 60);
        let ends_at = begin_outage(&mut model);
        let next_at = ends_at + CATCH_UP_STEPS + 32 + pause;
        while model.cluster.step < next_at || !model.cluster.is_at_rest() {
            model.cluster.advance();
            model.note_replaced_disks();
            programs.advance(&mut model.cluster, seed);
            assert!(
                model.cluster.step < next_at + 120,
                "seed {seed}: the stores do not come to rest: {:?}",
                model.cluster.registry.view()
            );
        }
    }
}
