//! Tests that all gateways together stay within a tenant's limit while stores restart, links fail
//! and views change.

use luglink_fleet::{StoreMember, StoreName, StoreState, StoreView};
use luglink_quota::{
    LEADER_CONTACT_TIMEOUT, Limit, Purpose, QuotaOwner, QuotaRequest, QuotaResponse, Tolerance,
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

/// A deployment that tolerates no requests beyond the limit.
const STRICT: Tolerance = Tolerance {
    window: WINDOW,
    overage: 0.0,
    slack: 0.0,
};

/// Time without a request of a store after which the leader replaces it in the view.
const STORE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Maximum time from a store's request to the response.
const MAX_POLL_DURATION: Duration = Duration::from_millis(500);

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
        ..StoreView::default()
    }
}

fn owner(store: usize) -> QuotaOwner {
    QuotaOwner::new(name(store), OWNERS, TOLERANCE)
}

/// Event in one step of 100 ms.
#[derive(Clone, Debug)]
enum Event {
    /// Every gateway sends this many requests.
    Ask(u32),
    /// A store loses its connection to the leader, but not to the gateways.
    Cut(usize),
    /// The store is connected again.
    Heal(usize),
    /// The process of a store is killed and restarts immediately.
    Restart(usize),
    /// A gateway stops receiving views.
    StopViews(usize),
    /// The gateway receives views again.
    ResumeViews(usize),
    /// No event for this many steps.
    Calm(u32),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (1_u32..12).prop_map(Event::Ask),
        1 => (0..STORES).prop_map(Event::Cut),
        1 => (0..STORES).prop_map(Event::Heal),
        1 => (0..GATEWAYS).prop_map(Event::StopViews),
        1 => (0..GATEWAYS).prop_map(Event::ResumeViews),
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

/// Model of a leader, stores and gateways.
struct World {
    now: Timestamp,
    owners: Vec<QuotaOwner>,
    is_cut: [bool; STORES],
    /// Time at which the leader received each store's last request.
    last_request: [Timestamp; STORES],
    is_writable: [bool; STORES],
    view: StoreView,
    store_epochs: [u64; STORES],
    gateway_views: Vec<StoreView>,
    are_views_stopped: [bool; GATEWAYS],
    granted: Vec<Timestamp>,
}

impl World {
    fn new() -> Self {
        let first = view(1, &[true; STORES]);
        Self {
            now: Timestamp::from_millis(1_000),
            owners: (0..STORES).map(owner).collect(),
            is_cut: [false; STORES],
            last_request: [Timestamp::from_millis(1_000); STORES],
            is_writable: [true; STORES],
            store_epochs: [0; STORES],
            gateway_views: vec![first.clone(); GATEWAYS],
            view: first,
            are_views_stopped: [false; GATEWAYS],
            granted: Vec::new(),
        }
    }

    /// Advances by 100 ms: the leader answers connected stores, and replaces a store that timed out
    /// if fewer than `OWNERS - 1` are lost.
    fn step(&mut self) {
        self.now = self.now.plus(Duration::from_millis(100));
        for store in 0..STORES {
            if !self.is_cut[store] {
                // The leader received the request for this response one poll duration ago.
                let requested = self
                    .now
                    .since(Timestamp::ZERO)
                    .saturating_sub(MAX_POLL_DURATION);
                self.last_request[store] = Timestamp::ZERO.plus(requested);
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
            if !self.are_views_stopped[gateway] {
                self.gateway_views[gateway] = self.view.clone();
            }
        }
    }

    fn change_view(&mut self) {
        let before = self.is_writable;
        for store in 0..STORES {
            let elapsed = self.now.since(self.last_request[store]);
            if !self.is_writable[store] && elapsed < STORE_TIMEOUT {
                self.is_writable[store] = true;
            }
        }
        let lost = self
            .is_writable
            .iter()
            .filter(|is_writable| !**is_writable)
            .count();
        let timed_out = (0..STORES).find(|store| {
            self.is_writable[*store] && self.now.since(self.last_request[*store]) >= STORE_TIMEOUT
        });
        if lost < OWNERS - 1
            && let Some(timed_out) = timed_out
        {
            self.is_writable[timed_out] = false;
        }
        if before != self.is_writable {
            self.view = view(self.view.epoch + 1, &self.is_writable);
        }
    }

    fn ask(&mut self, times: u32, limit: Limit, purpose: Purpose) {
        let request = QuotaRequest {
            tenant: tenant(),
            limit,
            purpose,
        };
        for _ in 0..times {
            for gateway in 0..GATEWAYS {
                let owners = QuotaOwner::owners_of(&self.gateway_views[gateway], &tenant(), OWNERS);
                let granted = owners.iter().any(|owner| {
                    let store = (0..STORES).find(|store| name(*store) == *owner).unwrap();
                    self.owners[store].answer(&request, self.now) == QuotaResponse::Granted
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
            Event::StopViews(gateway) => self.are_views_stopped[*gateway] = true,
            Event::ResumeViews(gateway) => self.are_views_stopped[*gateway] = false,
            Event::Calm(steps) => (0..*steps).for_each(|_| self.step()),
        }
        self.step();
    }

    /// Returns the largest number of granted requests in a window.
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
    fn no_window_exceeds_the_limit(
        events in event_with_one_restart(),
        rate in 1.0_f64..40.0,
        burst in 0.0_f64..40.0,
    ) {
        let limit = limit(1, rate, burst);
        let mut world = World::new();
        // Time in which the buckets fill up.
        world.apply(&Event::Calm(150), limit);
        for event in &events {
            world.apply(event, limit);
        }
        let worst = world.worst_window();
        prop_assert!(
            worst as f64 <= allowed(limit),
            "{worst} requests in a window, {} are allowed", allowed(limit)
        );
    }

    #[test]
    fn a_lowered_limit_applies_to_gateways_that_still_send_the_higher_one(
        asks in prop::collection::vec(1_u32..12, 80..120),
        before in 20.0_f64..60.0,
        after in 1.0_f64..8.0,
    ) {
        let (old, new) = (limit(1, before, before), limit(2, after, after));
        let mut world = World::new();
        world.apply(&Event::Calm(100), old);
        for (step, times) in asks.iter().enumerate() {
            // From the 20th step on, some requests have the new limit.
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
fn losing_an_owner_leaves_the_other_parts_of_the_limit() {
    let limit = limit(1, 30.0, 0.0);
    let mut world = World::new();
    world.apply(&Event::Calm(100), limit);
    let first = QuotaOwner::owners_of(&world.view, &tenant(), OWNERS)[0].clone();
    let store = (0..STORES).find(|store| name(*store) == first).unwrap();
    world.apply(&Event::Cut(store), limit);
    // Its leader contact has timed out, and no other store has replaced it yet.
    world.apply(&Event::Calm(16), limit);
    let before = world.granted.len();
    for _ in 0..3 {
        world.apply(&Event::Ask(1), limit);
    }
    assert_eq!(world.granted.len(), before + 3 * GATEWAYS);
}

#[test]
fn a_store_without_leader_contact_grants_no_tokens() {
    let mut store = owner(0);
    store.set_view(view(1, &[true]), Timestamp::ZERO);
    let request = QuotaRequest {
        tenant: tenant(),
        limit: limit(1, 10.0, 10.0),
        purpose: Purpose::Continues,
    };
    let contact = Timestamp::from_millis(60_000);
    assert_eq!(store.answer(&request, contact), QuotaResponse::NotOwner);
    store.note_leader_contact(contact);
    assert_eq!(store.answer(&request, contact), QuotaResponse::Granted);
    let last = contact.plus(LEADER_CONTACT_TIMEOUT);
    assert_eq!(store.answer(&request, last), QuotaResponse::Granted);
    let late = last.plus(Duration::from_millis(1));
    assert_eq!(store.answer(&request, late), QuotaResponse::NotOwner);
}

#[test]
fn tokens_are_reserved_for_programs_that_have_started() {
    let mut store = QuotaOwner::new(name(0), 1, STRICT);
    store.set_view(view(1, &[true]), Timestamp::ZERO);
    let now = Timestamp::from_millis(60_000);
    store.note_leader_contact(now);
    let mut counts = BTreeMap::new();
    for (label, purpose) in [
        ("begins", Purpose::Begins),
        ("continues", Purpose::Continues),
    ] {
        let request = QuotaRequest {
            tenant: tenant(),
            limit: limit(1, 1.0, 21.0),
            purpose,
        };
        let mut granted = 0;
        while store.answer(&request, now) == QuotaResponse::Granted {
            granted += 1;
        }
        counts.insert(label, granted);
    }
    assert_eq!(counts, BTreeMap::from([("begins", 15), ("continues", 6)]));
}

#[test]
fn a_denied_request_succeeds_after_the_returned_time() {
    let mut store = QuotaOwner::new(name(0), 1, STRICT);
    store.set_view(view(1, &[true]), Timestamp::ZERO);
    let now = Timestamp::from_millis(60_000);
    store.note_leader_contact(now);
    let request = QuotaRequest {
        tenant: tenant(),
        limit: limit(1, 4.0, 1.0),
        purpose: Purpose::Continues,
    };
    assert_eq!(store.answer(&request, now), QuotaResponse::Granted);
    assert_eq!(
        store.answer(&request, now),
        QuotaResponse::Denied {
            retry_delay_ms: 250
        }
    );
    let later = now.plus(Duration::from_millis(250));
    assert_eq!(store.answer(&request, later), QuotaResponse::Granted);
}
