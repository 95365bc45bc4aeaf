//! What all parts of a gateway share. Everything runs on one thread.

use crate::admission::AdmissionState;
use crate::config::GatewayConfig;
use crate::held::HeldBytesLedger;
use crate::load_meter::LoadMeter;
use crate::load_view::ViewTaken;
use crate::metrics::GatewayMetrics;
use crate::turn_cache::TurnCache;
use crate::turn_client::TurnClient;
use crate::upstream::Upstream;
use luglink_edge::{Configuration, Dialect, KeyRing, RoutingTable, Service, SplitDraws};
use luglink_fleet::ListCopy;
use luglink_scheduling::{AnswerLengths, LoadShedder, Pool, Waits};
use luglink_types::Timestamp;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The configuration in force.
#[derive(Debug)]
pub(crate) struct ActiveConfiguration {
    pub(crate) version: u64,
    pub(crate) configuration: Configuration,
    pub(crate) table: RoutingTable,
    pub(crate) keys: KeyRing,
}

/// A gateway.
pub(crate) struct Gateway {
    pub(crate) config: GatewayConfig,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) in_force: RefCell<Option<Rc<ActiveConfiguration>>>,
    /// Whether a control member that hears its leader has said which configuration holds. Until
    /// then one that was overtaken before this process started might be taken for it.
    pub(crate) is_current: Cell<bool>,
    /// When such a member was last heard, with or without a configuration.
    pub(crate) fresh_at: Cell<Option<Instant>>,
    /// Splits the routes that have several services.
    pub(crate) splits: RefCell<SplitDraws>,
    /// Lets new programs in.
    pub(crate) shedder: RefCell<LoadShedder>,
    /// What waits of each route usually are.
    pub(crate) waits: RefCell<Waits>,
    /// Lets new programs in where they are let in by their working set.
    pub(crate) admission: RefCell<AdmissionState>,
    pub(crate) pool: RefCell<Pool>,
    /// Events of the answers of each route.
    pub(crate) answer_lengths: RefCell<AnswerLengths>,
    /// The list that the pool shows.
    pub(crate) list: RefCell<ListCopy>,
    /// Gateways that share the replicas' connections and the platform's calls; 0 before a member
    /// has said how many.
    pub(crate) gateway_count: Cell<u32>,
    pub(crate) turns: TurnClient,
    pub(crate) turn_cache: RefCell<TurnCache>,
    pub(crate) upstream: Upstream,
    /// Bytes that are held for callers and replicas.
    pub(crate) held: Rc<HeldBytesLedger>,
    pub(crate) is_stopping: Cell<bool>,
    /// Requests under way.
    pub(crate) in_flight: Cell<u32>,
    pub(crate) load_meter: RefCell<LoadMeter>,
    /// What the gateways of the zone told last.
    pub(crate) view_taken: ViewTaken,
    pub(crate) draws: Cell<u64>,
    start: Instant,
}

/// Counts a request while it is under way.
pub(crate) struct InFlight(Rc<Gateway>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl Gateway {
    pub(crate) fn new(
        config: GatewayConfig,
        dialect: Rc<dyn Dialect>,
        metrics: GatewayMetrics,
        seed: u64,
    ) -> Self {
        let is_bounded = config.features.held_bytes();
        let held_limit = is_bounded.then_some(config.held_bytes_limit);
        Self {
            held: HeldBytesLedger::new(held_limit, metrics.clone()),
            pool: RefCell::new(Pool::new(&config.zone)),
            turns: TurnClient::new(config.replication),
            turn_cache: RefCell::new(TurnCache::new(config.turn_cache_bytes)),
            upstream: Upstream::new(metrics.connects.clone()),
            list: RefCell::default(),
            splits: RefCell::default(),
            shedder: RefCell::default(),
            waits: RefCell::default(),
            answer_lengths: RefCell::default(),
            admission: RefCell::default(),
            config,
            dialect,
            metrics,
            in_force: RefCell::default(),
            is_current: Cell::new(false),
            fresh_at: Cell::new(None),
            gateway_count: Cell::new(0),
            is_stopping: Cell::new(false),
            in_flight: Cell::new(0),
            load_meter: RefCell::default(),
            view_taken: ViewTaken::default(),
            draws: Cell::new(seed),
            start: Instant::now(),
        }
    }

    /// Time since the process started, for the pool.
    pub(crate) fn now(&self) -> Timestamp {
        let micros = self.start.elapsed().as_micros();
        Timestamp::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// The configuration in force; `None` until the current one is known for certain.
    pub(crate) fn in_force(&self) -> Option<Rc<ActiveConfiguration>> {
        if !self.is_current.get() {
            return None;
        }
        self.in_force.borrow().clone()
    }

    /// What the configuration in force says of a service, if it names it. A configuration that is
    /// not known to be current yet will do: services keep their kind.
    pub(crate) fn with_service<Value>(
        &self,
        name: &str,
        read: impl FnOnce(&Service) -> Value,
    ) -> Option<Value> {
        let in_force = self.in_force.borrow();
        let service = in_force.as_ref()?.configuration.service(name)?;
        Some(read(service))
    }

    /// Whether keys may have been taken away since a control member was last heard.
    pub(crate) fn keys_are_expired(&self) -> bool {
        let age = self.fresh_at.get().map(|fresh_at| fresh_at.elapsed());
        self.config
            .keys_expire_after
            .is_some_and(|limit| age.is_none_or(|age| age > limit))
    }

    /// Whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping.get()
            && self.in_force().is_some()
            && self.list.borrow().seen().is_some()
            && self.turns.has_quorum()
    }

    /// Age of the list of replicas.
    pub(crate) fn list_age(&self) -> Option<Duration> {
        self.list.borrow().age(self.now())
    }

    /// A number that differs from request to request.
    pub(crate) fn draw(&self) -> u64 {
        let draw = self.draws.get().wrapping_add(0x9E37_79B9_7F4A_7C15);
        self.draws.set(draw);
        xxhash_rust::xxh3::xxh3_64(&draw.to_le_bytes())
    }

    pub(crate) fn track_request(self: &Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        self.load_meter.borrow_mut().count();
        InFlight(Rc::clone(self))
    }
}
