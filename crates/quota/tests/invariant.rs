//! What all gateways together let through stays within the limit, whatever happens to stores,
//! links and views.

use luglink_fleet::{StoreMember, StoreName, StoreState, StoreView};
use luglink_quota::{
    FRESH_FOR, Limit, Purpose, QuotaOwner, QuotaRequest, QuotaResponse, Tolerance,
};
use luglink_types::{TenantName, Timestamp};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const STORES: usize = 5;
const OWNERS: usize = 3;
const GATEWAYS: usize = 4;
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const TOLERANCE: Tolerance = Tolerance {
    window: WINDOW,
    overage: OVERAGE,
    slack: 20.0,
};

/// A deployment that bears nothing beyond the limit.
const STRICT: Tolerance = Tolerance {
    window: WINDOW,
    overage: 0.0,
    slack: 0.0,
};

/// Silence after which the leader passes a store over, and the longest time from a store's
/// question to its answer.
const SILENCE: Duration = Duration::from_millis(2_000);
const LONGEST_HOLD: Duration = Duration::from_millis(500);

fn name(store: usize) -> StoreName {
    StoreName(format!("store-{store}"))
}

fn tenant() -> TenantName {
    TenantName::from("tenant")
}

fn view(epoch: u64, is_writable: &[bool]) -> StoreView {
    let members = is_writable.iter().enumerate().map(|(store, is_writable)| {
        let member = StoreMember {
            address: ([127, 0, 0, 1], 1).into(),
            zone: "zone".to_owned(),
            incarnation: 1,
            state: if *is_writable {
                StoreState::Active
            } else {
                StoreState::Lost
            },
            since_epoch: epoch,
        };
        (name(store), member)
    });
    StoreView {
        epoch,
        members: members.collect(),
    }
}

fn owner(store: usize) -> QuotaOwner {
    QuotaOwner::new(name(store), OWNERS, TOLERANCE)
}

/// Something that happens in one step of 100 ms.
#[derive(Clone, Debug)]
enum Event {
    /// Every gateway asks so often.
    Ask(u32),
    /// A store is cut off from the leader, and stays in touch with the gateways.
    Cut(usize),
    /// The cut ends.
    Heal(usize),
    /// A store's process is killed and starts at once.
    Restart(usize),
    /// A gateway hears of no new view for now.
    Deafen(usize),
    /// It does again.
    Hear(usize),
    /// Nothing, for so many steps.
    Calm(u32),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (1_u32..12).prop_map(Event::Ask),
        1 => (0..STORES).prop_map(Event::Cut),
        1 => (0..STORES).prop_map(Event::Heal),
        1 => (0..GATEWAYS).prop_map(Event::Deafen),
        1 => (0..GATEWAYS).prop_map(Event::Hear),
        1 => (1_u32..30).prop_map(Event::Calm),
    ]
}

fn event_with_one_restart() -> impl Strategy<Value = Vec<Event>> {
    (
        prop::collection::vec(event(), 20..160),
        prop::option::of((0..STORES, any::<prop::sample::Index>())),
    )
        .prop_map(|(mut events, restart)| {
            if let Some((store, place)) = restart {
                let place = place.index(events.len());
                events.insert(place, Event::Restart(store));
            }
            events
        })
}

/// A leader, stores and gateways.
struct World {
    now: Timestamp,
    owners: Vec<QuotaOwner>,
    is_cut: [bool; STORES],
    /// When the leader took each store's last question.
    heard: [Timestamp; STORES],
    is_writable: [bool; STORES],
    view: StoreView,
    store_epochs: [u64; STORES],
    gateway_views: Vec<StoreView>,
    is_deaf: [bool; GATEWAYS],
    granted: Vec<Timestamp>,
}

impl World {
    fn new() -> Self {
        let first = view(1, &[true; STORES]);
        Self {
            now: Timestamp::from_millis(1_000),
            owners: (0..STORES).map(owner).collect(),
            is_cut: [false; STORES],
            heard: [Timestamp::from_millis(1_000); STORES],
            is_writable: [true; STORES],
            store_epochs: [0; STORES],
            gateway_views: vec![first.clone(); GATEWAYS],
            view: first,
            is_deaf: [false; GATEWAYS],
            granted: Vec::new(),
        }
    }

    /// The leader's word reaches whoever is in touch; it passes over one silent store at most, as
    /// many as may be lost less one.
    fn step(&mut self) {
        self.now = self.now.plus(Duration::from_millis(100));
        for store in 0..STORES {
            if !self.is_cut[store] {
                // The question that this answer belongs to came a hold ago.
                let asked = self.now.since(Timestamp::ZERO).saturating_sub(LONGEST_HOLD);
                self.heard[store] = Timestamp::ZERO.plus(asked);
                self.owners[store].note_leader_contact(self.now);
            }
        }
        self.change_view();
        for store in 0..STORES {
            if !self.is_cut[store] && self.store_epochs[store] < self.view.epoch {
                self.store_epochs[store] = self.view.epoch;
                self.owners[store].set_view(self.view.clone(), self.now);
            }
        }
        for gateway in 0..GATEWAYS {
            if !self.is_deaf[gateway] {
                self.gateway_views[gateway] = self.view.clone();
            }
        }
    }

    fn change_view(&mut self) {
        let before = self.is_writable;
        for store in 0..STORES {
            let silence = self.now.since(self.heard[store]);
            if !self.is_writable[store] && silence < SILENCE {
                self.is_writable[store] = true;
            }
        }
        let lost = self
            .is_writable
            .iter()
            .filter(|is_there| !**is_there)
            .count();
        let silent = (0..STORES).find(|store| {
            self.is_writable[*store] && self.now.since(self.heard[*store]) >= SILENCE
        });
        if lost < OWNERS - 1
            && let Some(silent) = silent
        {
            self.is_writable[silent] = false;
        }
        if before != self.is_writable {
            self.view = view(self.view.epoch + 1, &self.is_writable);
        }
    }

    fn ask(&mut self, times: u32, limit: Limit, purpose: Purpose) {
        let ask = QuotaRequest {
            tenant: tenant(),
            limit,
            purpose,
        };
        for _ in 0..times {
            for gateway in 0..GATEWAYS {
                let owners = QuotaOwner::owners_of(&self.gateway_views[gateway], &tenant(), OWNERS);
                let granted = owners.iter().any(|owner| {
                    let store = (0..STORES).find(|store| name(*store) == *owner).unwrap();
                    self.owners[store].answer(&ask, self.now) == QuotaResponse::Granted
                });
                if granted {
                    self.granted.push(self.now);
                }
            }
        }
    }

    fn apply(&mut self, event: &Event, limit: Limit) {
        match event {
            Event::Ask(times) => self.ask(*times, limit, Purpose::Continues),
            Event::Cut(store) => self.is_cut[*store] = true,
            Event::Heal(store) => self.is_cut[*store] = false,
            Event::Restart(store) => {
                self.owners[*store] = owner(*store);
                self.store_epochs[*store] = 0;
            }
            Event::Deafen(gateway) => self.is_deaf[*gateway] = true,
            Event::Hear(gateway) => self.is_deaf[*gateway] = false,
            Event::Calm(steps) => (0..*steps).for_each(|_| self.step()),
        }
        self.step();
    }

    /// The most that was let through in a window.
    fn worst_window(&self) -> usize {
        let windows = self.granted.iter().enumerate().map(|(first, from)| {
            let until = from.plus(WINDOW);
            self.granted[first..]
                .iter()
                .take_while(|at| **at < until)
                .count()
        });
        windows.max().unwrap_or(0)
    }
}

fn limit(version: u64, rate_per_s: f64, burst: f64) -> Limit {
    Limit {
        version,
        rate_per_s,
        burst,
    }
}

fn allowed(limit: Limit) -> f64 {
    let within = limit.rate_per_s * WINDOW.as_secs_f64() + limit.burst;
    within * (1.0 + OVERAGE) + TOLERANCE.slack
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn no_window_passes_the_limit(
        events in event_with_one_restart(),
        rate in 1.0_f64..40.0,
        burst in 0.0_f64..40.0,
    ) {
        let limit = limit(1, rate, burst);
        let mut world = World::new();
        // As long as it takes the buckets to fill.
        world.apply(&Event::Calm(150), limit);
        for event in &events {
            world.apply(event, limit);
        }
        let worst = world.worst_window();
        prop_assert!(
            worst as f64 <= allowed(limit),
            "{worst} where {} are allowed", allowed(limit)
        );
    }

    #[test]
    fn a_lower_limit_binds_whoever_still_asks_by_the_higher_one(
        asks in prop::collection::vec(1_u32..12, 80..120),
        before in 20.0_f64..60.0,
        after in 1.0_f64..8.0,
    ) {
        let (old, new) = (limit(1, before, before), limit(2, after, after));
        let mut world = World::new();
        world.apply(&Event::Calm(100), old);
        for (step, times) in asks.iter().enumerate() {
            // From the 20th step on some gateways know the new limit.
            world.apply(&Event::Ask(*times), old);
            if step >= 20 {
                world.apply(&Event::Ask(1), new);
            }
        }
        let lowered = world.granted.len();
        let from = world.now;
        for times in &asks {
            world.apply(&Event::Ask(*times), old);
        }
        let late = world.granted[lowered..].to_vec();
        world.granted = late;
        let worst = world.worst_window();
        prop_assert!(worst as f64 <= allowed(new), "{worst} from {from:?}");
    }
}

#[test]
fn a_tenant_below_its_limit_is_never_refused() {
    let limit = limit(1, 12.0, 12.0);
    let mut world = World::new();
    world.apply(&Event::Calm(100), limit);
    // Four gateways ask twice a second each: two thirds of the limit.
    for _ in 0..200 {
        let before = world.granted.len();
        world.apply(&Event::Ask(1), limit);
        assert_eq!(world.granted.len(), before + GATEWAYS);
        world.apply(&Event::Calm(4), limit);
    }
}

#[test]
fn losing_an_owner_leaves_the_parts_of_the_others() {
    let limit = limit(1, 30.0, 0.0);
    let mut world = World::new();
    world.apply(&Event::Calm(100), limit);
    let first = QuotaOwner::owners_of(&world.view, &tenant(), OWNERS)[0].clone();
    let store = (0..STORES).find(|store| name(*store) == first).unwrap();
    world.apply(&Event::Cut(store), limit);
    // Its word is too old by now, and nobody has taken its place yet.
    world.apply(&Event::Calm(16), limit);
    let before = world.granted.len();
    for _ in 0..3 {
        world.apply(&Event::Ask(1), limit);
    }
    assert_eq!(world.granted.len(), before + 3 * GATEWAYS);
}

#[test]
fn a_store_without_word_of_a_leader_gives_nothing() {
    let mut store = owner(0);
    store.set_view(view(1, &[true]), Timestamp::ZERO);
    let ask = QuotaRequest {
        tenant: tenant(),
        limit: limit(1, 10.0, 10.0),
        purpose: Purpose::Continues,
    };
    let heard = Timestamp::from_millis(60_000);
    assert_eq!(store.answer(&ask, heard), QuotaResponse::NotOwner);
    store.note_leader_contact(heard);
    assert_eq!(store.answer(&ask, heard), QuotaResponse::Granted);
    let last = heard.plus(FRESH_FOR);
    assert_eq!(store.answer(&ask, last), QuotaResponse::Granted);
    let late = last.plus(Duration::from_millis(1));
    assert_eq!(store.answer(&ask, late), QuotaResponse::NotOwner);
}

#[test]
fn programs_that_have_begun_go_before_new_ones() {
    let mut store = QuotaOwner::new(name(0), 1, STRICT);
    store.set_view(view(1, &[true]), Timestamp::ZERO);
    let now = Timestamp::from_millis(60_000);
    store.note_leader_contact(now);
    let mut counts = BTreeMap::new();
    for (label, purpose) in [
        ("begins", Purpose::Begins),
        ("continues", Purpose::Continues),
    ] {
        let ask = QuotaRequest {
            tenant: tenant(),
            limit: limit(1, 1.0, 21.0),
            purpose,
        };
        let mut granted = 0;
        while store.answer(&ask, now) == QuotaResponse::Granted {
            granted += 1;
        }
        counts.insert(label, granted);
    }
    assert_eq!(counts, BTreeMap::from([("begins", 15), ("continues", 6)]));
}

#[test]
fn the_time_to_come_back_is_when_a_token_is_there() {
    let mut store = QuotaOwner::new(name(0), 1, STRICT);
    store.set_view(view(1, &[true]), Timestamp::ZERO);
    let now = Timestamp::from_millis(60_000);
    store.note_leader_contact(now);
    let ask = QuotaRequest {
        tenant: tenant(),
        limit: limit(1, 4.0, 1.0),
        purpose: Purpose::Continues,
    };
    assert_eq!(store.answer(&ask, now), QuotaResponse::Granted);
    assert_eq!(
        store.answer(&ask, now),
        QuotaResponse::Denied { come_back_ms: 250 }
    );
    let later = now.plus(Duration::from_millis(250));
    assert_eq!(store.answer(&ask, later), QuotaResponse::Granted);
}
