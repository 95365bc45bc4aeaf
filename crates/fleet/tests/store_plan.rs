//! Seeded model of the registry of turn stores and its leader: whatever the order of losses, returns,
//! replacements, retirements and leaders, the registry comes to rest.

use luglink_fleet::{
    DiskId, Presence, PresenceTable, RetireState, Role, StoreCommand, StoreLimits, StoreName,
    StorePlanner, StorePresence, StoreRegistry, StoreSituation, StoreState,
};
use luglink_types::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

const STEP_MILLIS: u64 = 100;

/// Time for which stores disappear, return and are replaced.
const FAULT_STEPS: u64 = 400;

/// Time within which the registry comes to rest once all stores report: 9 s, less than the 12 s in
/// which all programs must be served.
const REST_STEPS: u64 = 90;

const LIMITS: StoreLimits = StoreLimits {
    copies: 3,
    tolerated_losses: 1,
    store_timeout: Duration::from_secs(2),
    abandon_timeout: Duration::from_secs(600),
};

/// A store's process as the leader sees it.
#[derive(Clone, Copy)]
struct Store {
    incarnation: u64,
    silent_until: u64,
    known_epoch: u64,
    handed_over_epoch: u64,
}

struct Model {
    step: u64,
    random: u64,
    registry: StoreRegistry,
    planner: StorePlanner,
    presence: PresenceTable,
    leads_since: u64,
    log: VecDeque<(u64, StoreCommand)>,
    stores: BTreeMap<StoreName, Store>,
    /// Store whose disk was lost last.
    lost_disk: Option<StoreName>,
    created: u64,
}

fn at(step: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + step * STEP_MILLIS)
}

impl Model {
    fn new(seed: u64, stores: u64) -> Self {
        let mut model = Self {
            step: 0,
            random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            registry: StoreRegistry::default(),
            planner: StorePlanner::default(),
            presence: PresenceTable::default(),
            leads_since: 0,
            log: VecDeque::new(),
            stores: BTreeMap::new(),
            lost_disk: None,
            created: 0,
        };
        for _ in 0..stores {
            model.add_store();
        }
        for _ in 0..20 {
            model.advance();
        }
        model
    }

    /// Returns a number below `limit` (xorshift).
    fn below(&mut self, limit: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) % limit
    }

    fn add_store(&mut self) {
        self.created += 1;
        let store = Store {
            incarnation: self.created,
            silent_until: self.step,
            known_epoch: 0,
            handed_over_epoch: 0,
        };
        self.stores
            .insert(StoreName(format!("s{:02}", self.created)), store);
    }

    fn advance(&mut self) {
        self.step += 1;
        while let Some((step, command)) = self.log.front() {
            if *step > self.step {
                break;
            }
            self.registry.apply(command);
            self.log.pop_front();
        }
        self.hand_over();
        self.report();
        if self.step.is_multiple_of(2) && self.log.is_empty() {
            self.plan();
        }
        let registry = &self.registry;
        self.stores
            .retain(|name, _| registry.retirement(name) != Some(RetireState::Completed));
        if self.is_replaced() {
            self.lost_disk = None;
        }
    }

    /// A store completes the hand-over for its view if all stores that receive records are up.
    fn hand_over(&mut self) {
        let view = self.registry.view().clone();
        let step = self.step;
        let receivers_are_up = view.writable().all(|(name, member)| {
            let store = self.stores.get(name);
            view.is_settled(name)
                || store.is_some_and(|store| {
                    store.silent_until <= step && store.incarnation == member.incarnation
                })
        });
        let names: Vec<StoreName> = self.stores.keys().cloned().collect();
        for name in names {
            let is_slow = self.below(3) == 0;
            let Some(store) = self.stores.get_mut(&name) else {
                continue;
            };
            if store.silent_until > step || is_slow {
                continue;
            }
            if store.known_epoch < view.epoch {
                store.known_epoch = view.epoch;
            } else if receivers_are_up {
                store.handed_over_epoch = view.epoch;
            }
        }
    }

    fn report(&mut self) {
        let now = at(self.step);
        self.presence.expire(now, Duration::from_secs(10));
        for (name, store) in &self.stores {
            if store.silent_until > self.step {
                continue;
            }
            let presence = Presence {
                name: name.0.clone(),
                zone: "z".to_owned(),
                role: Role::Store(StorePresence {
                    address: SocketAddr::from(([127, 0, 0, 1], port_of(name))),
                    incarnation: store.incarnation,
                    founding: self.step < 5,
                    handed_over_epoch: store.handed_over_epoch,
                }),
            };
            self.presence.note(presence, true, now);
        }
    }

    fn plan(&mut self) {
        let situation = StoreSituation {
            registry: &self.registry,
            presence: &self.presence,
            hosts_member: &|_| false,
            leads_since: at(self.leads_since),
            now: at(self.step),
        };
        for command in self.planner.commands(&situation, &LIMITS) {
            self.propose(command);
        }
    }

    fn propose(&mut self, command: StoreCommand) {
        let last = self.log.back().map_or(0, |(step, _)| *step);
        let step = self.step + self.below(4);
        self.log.push_back((step.max(last), command));
    }

    /// Returns true if the disk that was lost last is no longer needed.
    fn is_replaced(&self) -> bool {
        let Some(name) = &self.lost_disk else {
            return true;
        };
        let view = self.registry.view();
        let settled = view.settled_stores();
        let store = self.stores.get(name);
        let disk = store.map(|store| DiskId::Known(store.incarnation));
        settled.0.get(name).copied() == disk
            && *settled == view.next_settled_stores()
            && self.log.is_empty()
    }

    fn cause_fault(&mut self) {
        let chosen = self.below(self.stores.len() as u64) as usize;
        let name = self.stores.keys().nth(chosen).expect("stores").clone();
        let step = self.step;
        let silence = 1 + self.below(60);
        match self.below(8) {
            0 | 1 => self.store(&name).silent_until = step + silence,
            2 if self.lost_disk.is_none() => {
                self.created += 1;
                let incarnation = self.created;
                *self.store(&name) = Store {
                    incarnation,
                    silent_until: step + silence.min(15),
                    known_epoch: 0,
                    handed_over_epoch: 0,
                };
                self.lost_disk = Some(name);
            }
            3 | 4 if self.lost_disk.is_none() => {
                self.stores.remove(&name);
                self.lost_disk = Some(name);
                self.add_store();
            }
            5 if self.stores.len() < 7 => self.add_store(),
            6 if self.lost_disk.is_none() && self.stores.len() > 3 => {
                self.propose(StoreCommand::Retire { name, minimum: 3 });
            }
            7 => {
                self.presence = PresenceTable::default();
                self.leads_since = step;
            }
            _ => {}
        }
    }

    fn store(&mut self, name: &StoreName) -> &mut Store {
        self.stores.get_mut(name).expect("the store exists")
    }

    fn is_at_rest(&self) -> bool {
        let view = self.registry.view();
        let members = view.members.iter();
        let all_active = members
            .clone()
            .all(|(_, member)| member.state == StoreState::Active);
        all_active
            && members.map(|(name, _)| name).eq(self.stores.keys())
            && *view.settled_stores() == view.next_settled_stores()
    }
}

fn port_of(name: &StoreName) -> u16 {
    let number = name.0.trim_start_matches('s').parse();
    number.expect("a numbered name")
}

fn play(seed: u64, stores: u64) {
    let mut model = Model::new(seed, stores);
    assert!(model.is_at_rest(), "seed {seed}: the start failed");
    let interval = 5 + model.below(30);
    for _ in 0..FAULT_STEPS {
        if model.below(interval) == 0 {
            model.cause_fault();
        }
        model.advance();
    }
    for store in model.stores.values_mut() {
        store.silent_until = 0;
    }
    for _ in 0..REST_STEPS {
        model.advance();
    }
    let view = model.registry.view();
    assert!(
        model.is_at_rest(),
        "seed {seed} with {stores} stores: not at rest: {view:?}, present: {:?}",
        model.stores.keys()
    );
}

#[test]
fn the_registry_comes_to_rest_whatever_the_order_of_losses_and_returns() {
    for seed in 0..400 {
        play(seed, 4);
        play(seed, 3);
        play(seed, 6);
    }
}

/// Returns a registry of four founding stores.
fn founded() -> StoreRegistry {
    let mut registry = StoreRegistry::default();
    for number in 1..=4 {
        registry.apply(&join(number, number, true));
    }
    registry
}

fn join(number: u64, incarnation: u64, founding: bool) -> StoreCommand {
    StoreCommand::Join {
        name: StoreName(format!("s{number}")),
        address: SocketAddr::from(([127, 0, 0, 1], u16::try_from(number).expect("small"))),
        zone: "z".to_owned(),
        incarnation,
        founding,
    }
}

#[test]
fn a_configuration_is_settled_as_a_whole() {
    let mut registry = founded();
    let lost = StoreName("s1".to_owned());
    registry.apply(&StoreCommand::Lose { name: lost.clone() });
    registry.apply(&join(5, 5, false));
    registry.apply(&join(6, 6, false));
    let before = registry.view().settled_stores().into_owned();
    assert!(before.0.contains_key(&lost) && before.0.len() == 4);
    registry.apply(&StoreCommand::settle(registry.view().epoch));
    assert_eq!(*registry.view().settled_stores(), before);
    registry.apply(&StoreCommand::Activate {
        name: StoreName("s5".to_owned()),
        incarnation: 5,
    });
    let settled = registry.view().settled_stores();
    assert_eq!(*settled, registry.view().next_settled_stores());
    assert!(settled.0.contains_key(&StoreName("s6".to_owned())));
    assert!(!settled.0.contains_key(&lost));
}

/// An announcement for an earlier view must not settle a configuration that was not filled.
#[test]
fn a_late_announcement_settles_nothing() {
    let mut registry = founded();
    registry.apply(&join(5, 5, false));
    let epoch = registry.view().epoch;
    registry.apply(&join(6, 6, false));
    let before = registry.view().settled_stores().into_owned();
    registry.apply(&StoreCommand::settle(epoch));
    registry.apply(&StoreCommand::Activate {
        name: StoreName("s5".to_owned()),
        incarnation: 5,
    });
    assert_eq!(*registry.view().settled_stores(), before);
}

/// The disk that a store lost keeps its place, and the new one does not count.
#[test]
fn a_new_disk_is_not_in_the_settled_configuration() {
    let mut registry = founded();
    registry.apply(&join(2, 9, false));
    let name = StoreName("s2".to_owned());
    let view = registry.view();
    assert_eq!(view.settled_stores().0[&name], DiskId::Known(2));
    assert!(!view.is_settled(&name) && !view.is_authoritative(&name, 9));
    // The same holds for a store that retires.
    let name = StoreName("s3".to_owned());
    registry.apply(&StoreCommand::Retire {
        name: name.clone(),
        minimum: 3,
    });
    registry.apply(&join(3, 8, false));
    assert!(!registry.view().is_authoritative(&name, 8));
}

/// A leader of an older build announces nothing; its commands change the configuration one by one.
#[test]
fn commands_of_an_older_leader_change_the_settled_configuration() {
    let mut registry = founded();
    registry.apply(&join(5, 5, false));
    registry.apply(&StoreCommand::Activate {
        name: StoreName("s5".to_owned()),
        incarnation: 5,
    });
    assert!(registry.view().is_settled(&StoreName("s5".to_owned())));
    let lost = StoreName("s1".to_owned());
    registry.apply(&StoreCommand::Lose { name: lost.clone() });
    registry.apply(&StoreCommand::Remove { name: lost.clone() });
    assert!(!registry.view().settled_stores().0.contains_key(&lost));
}

/// More disks were lost than tolerated: waiting for them would stop the programs for good.
#[test]
fn disks_that_are_gone_for_good_do_not_stop_the_registry() {
    let mut model = Model::new(3, 4);
    let names: Vec<StoreName> = model.stores.keys().cloned().collect();
    for name in &names[..2] {
        model.created += 1;
        let incarnation = model.created;
        model.store(name).incarnation = incarnation;
    }
    for _ in 0..REST_STEPS {
        model.advance();
    }
    assert!(model.is_at_rest(), "{:?}", model.registry.view());
}

#[test]
fn a_retirement_stays_open_until_the_configuration_is_settled_without_the_store() {
    let mut model = Model::new(5, 5);
    let name = model.stores.keys().next().expect("stores").clone();
    for store in model.stores.values_mut() {
        store.silent_until = u64::MAX;
    }
    model.registry.apply(&StoreCommand::Retire {
        name: name.clone(),
        minimum: 3,
    });
    model.advance();
    assert_eq!(model.registry.retirement(&name), Some(RetireState::Running));
    for store in model.stores.values_mut() {
        store.silent_until = 0;
    }
    for _ in 0..REST_STEPS {
        model.advance();
    }
    assert_eq!(
        model.registry.retirement(&name),
        Some(RetireState::Completed)
    );
    assert!(model.is_at_rest());
}

/// A new store that disappears while it is filled must not stop the takeover of a lost one.
#[test]
fn a_new_store_that_disappears_does_not_block_the_takeover_of_a_lost_one() {
    let mut model = Model::new(7, 4);
    let lost = model.stores.keys().next().expect("stores").clone();
    model.stores.remove(&lost);
    for _ in 0..30 {
        model.advance();
    }
    assert_eq!(model.registry.view().members[&lost].state, StoreState::Lost);
    model.add_store();
    let new = model.stores.keys().last().expect("stores").clone();
    while !model.registry.view().members.contains_key(&new) {
        model.advance();
    }
    model.stores.remove(&new);
    for _ in 0..REST_STEPS {
        model.advance();
    }
    assert!(model.is_at_rest(), "{:?}", model.registry.view());
}

/// A member that leads again must not count the time of its earlier leadership as absence.
#[test]
fn a_store_counts_as_gone_for_good_only_after_a_long_absence_under_one_leader() {
    let mut model = Model::new(9, 3);
    let names: Vec<StoreName> = model.stores.keys().cloned().collect();
    // Two of three stores are silent, more than tolerated, and a new one waits for their records.
    for name in &names[..2] {
        model.store(name).silent_until = u64::MAX;
    }
    model.add_store();
    for _ in 0..5_900 {
        model.advance();
    }
    model.leads_since = model.step;
    for _ in 0..5_900 {
        model.advance();
    }
    let view = model.registry.view();
    assert_ne!(*view.settled_stores(), view.next_settled_stores());
    for _ in 0..300 {
        model.advance();
    }
    let view = model.registry.view();
    assert_eq!(*view.settled_stores(), view.next_settled_stores());
    assert!(view.is_settled(&StoreName("s04".to_owned())));
}
