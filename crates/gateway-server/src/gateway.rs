//! State shared by all parts of a gateway. Everything runs on one thread.

use crate::admission::AdmissionState;
use crate::config::GatewayConfig;
use crate::crash_ledger::CrashLedger;
use crate::held::HeldBytesLedger;
use crate::load_meter::LoadMeter;
use crate::load_view::LastView;
use crate::metrics::GatewayMetrics;
use crate::report_members::ReportMembers;
use crate::stream_origins::MAX_OWN_ORIGINS;
use crate::turn_cache::TurnCache;
use crate::turn_client::TurnClient;
use crate::upstream::Upstream;
use luglink_edge::{Configuration, Dialect, KeyRing, RoutingTable, Service, SplitDraws};
use luglink_fleet::ListCopy;
use luglink_scheduling::{AnswerLengths, LoadShedder, Pool, RunTimes, SoleVersions, Waits};
use luglink_turns::OriginTable;
use luglink_types::Timestamp;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The configuration in force with the lookup tables built from it.
#[derive(Debug)]
pub(crate) struct ActiveConfiguration {
    pub(crate) version: u64,
    pub(crate) configuration: Configuration,
    pub(crate) table: RoutingTable,
    pub(crate) keys: KeyRing,
}

/// State of a gateway.
pub(crate) struct Gateway {
    pub(crate) config: GatewayConfig,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) in_force: RefCell<Option<Rc<ActiveConfiguration>>>,
    /// True once a control member in contact with its leader has confirmed the configuration in
    /// force. Until then, the configuration may be one that was replaced before this process
    /// started.
    pub(crate) is_current: Cell<bool>,
    /// Time at which such a member last answered, with or without a configuration.
    pub(crate) last_fresh_update: Cell<Option<Instant>>,
    /// Traffic split of routes that have several services.
    pub(crate) splits: RefCell<SplitDraws>,
    /// Admission of new programs where it is based on the lateness of their route.
    pub(crate) shedder: RefCell<LoadShedder>,
    /// Statistics of the usual waits on each route.
    pub(crate) waits: RefCell<Waits>,
    /// Admission of new programs where it is based on the working set.
    pub(crate) admission: RefCell<AdmissionState>,
    pub(crate) pool: RefCell<Pool>,
    /// Statistics of the number of events per answer on each route.
    pub(crate) answer_lengths: RefCell<AnswerLengths>,
    /// The list of replicas that the pool is built from.
    pub(crate) list: RefCell<ListCopy>,
    /// Number of gateways that share the connections to replicas and the platform's rate limit;
    /// 0 until a control member has reported it.
    pub(crate) gateway_count: Cell<u32>,
    pub(crate) turns: TurnClient,
    /// Control members as holders of crash reports.
    pub(crate) report_members: ReportMembers,
    pub(crate) turn_cache: RefCell<TurnCache>,
    /// Origins of the streams that this gateway began.
    pub(crate) origins: RefCell<OriginTable>,
    /// Services whose replicas have had a single software version for a while.
    pub(crate) sole_versions: RefCell<SoleVersions>,
    pub(crate) upstream: Upstream,
    /// Reports of replicas that ended while they ran a request.
    pub(crate) crashes: RefCell<CrashLedger>,
    /// True if the reports of all stores were known at the last check.
    pub(crate) is_informed: Cell<bool>,
    /// Accounting of the bytes buffered for callers and replicas.
    pub(crate) held: HeldBytesLedger,
    /// Time by which responses must be complete, once the gateway is stopping.
    pub(crate) stops_at: Rc<Cell<Option<Instant>>>,
    /// Statistics of the time that requests take on each route.
    pub(crate) run_times: RefCell<RunTimes>,
    /// Number of requests in flight.
    pub(crate) in_flight: Cell<u32>,
    pub(crate) load_meter: RefCell<LoadMeter>,
    /// Age and size of the zone's latest load view.
    pub(crate) last_view: LastView,
    pub(crate) random_state: Cell<u64>,
    /// Distinguishes this process among those of all gateways.
    pub(crate) session: u64,
    start: Instant,
}

/// Guard that counts a request as in flight.
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
        let mut pool = Pool::new(&config.zone);
        pool.set_draining_continuation(config.draining_continuation);
        Self {
            held: HeldBytesLedger::new(held_limit, metrics.clone()),
            pool: RefCell::new(pool),
            turns: TurnClient::new(config.replication),
            report_members: ReportMembers::new(config.observer.member_port),
            turn_cache: RefCell::new(TurnCache::new(config.turn_cache_bytes)),
            origins: RefCell::new(OriginTable::new(MAX_OWN_ORIGINS)),
            sole_versions: RefCell::default(),
            crashes: RefCell::default(),
            is_informed: Cell::new(false),
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
            last_fresh_update: Cell::new(None),
            gateway_count: Cell::new(0),
            stops_at: Rc::default(),
            run_times: RefCell::default(),
            in_flight: Cell::new(0),
            load_meter: RefCell::default(),
            last_view: LastView::default(),
            random_state: Cell::new(seed),
            session: xxhash_rust::xxh3::xxh3_64(&seed.to_be_bytes()),
            start: Instant::now(),
        }
    }

    /// Returns the time since the gateway was created.
    pub(crate) fn now(&self) -> Timestamp {
        let micros = self.start.elapsed().as_micros();
        Timestamp::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the configuration in force; `None` until it is confirmed to be current.
    pub(crate) fn in_force(&self) -> Option<Rc<ActiveConfiguration>> {
        if !self.is_current.get() {
            return None;
        }
        self.in_force.borrow().clone()
    }

    /// Applies `read` to a service of the configuration in force; `None` if the service is not
    /// configured. The configuration need not be confirmed, because services do not change their
    /// kind.
    pub(crate) fn with_service<Value>(
        &self,
        name: &str,
        read: impl FnOnce(&Service) -> Value,
    ) -> Option<Value> {
        let in_force = self.in_force.borrow();
        let service = in_force.as_ref()?.configuration.service(name)?;
        Some(read(service))
    }

    /// Returns true if no control member in contact with its leader has answered for so long that
    /// keys may have been revoked since.
    pub(crate) fn keys_are_expired(&self) -> bool {
        let age = self.last_fresh_update.get().map(|time| time.elapsed());
        self.config
            .keys_expire_after
            .is_some_and(|limit| age.is_none_or(|age| age > limit))
    }

    /// Returns true once the gateway is stopping as planned.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stops_at.get().is_some()
    }

    /// Records the time that a request took from its arrival to the end of its response.
    pub(crate) fn note_run_time(&self, route: &str, time: Duration) {
        self.run_times.borrow_mut().note(route, time, self.now());
    }

    /// Returns true if callers should be routed to this gateway.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.in_force().is_some()
            && self.list.borrow().seen().is_some()
            && self.turns.has_quorum()
    }

    /// Returns the age of the list of replicas.
    pub(crate) fn list_age(&self) -> Option<Duration> {
        self.list.borrow().age(self.now())
    }

    /// Returns a pseudo-random number.
    pub(crate) fn draw(&self) -> u64 {
        let draw = self.random_state.get().wrapping_add(0x9E37_79B9_7F4A_7C15);
        self.random_state.set(draw);
        xxhash_rust::xxh3::xxh3_64(&draw.to_le_bytes())
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn track_request(self: &Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        self.load_meter.borrow_mut().count_request();
        InFlight(Rc::clone(self))
    }
}
