//! Asks whether a new program may begin, by the memory that those under way need until they end,
//! and notes which ones are.
//!
//! The turn stores have said by then that the program is new: only they know what it did at other
//! gateways. Replicas are not asked before; those that are full by their own reports refuse
//! afterwards, in [`crate::placement`].

use crate::gateway::Gateway;
use crate::inbound::{InboundRequest, ProgramFields};
use crate::refusal::Refusal;
use luglink_edge::{Configuration, Service};
use luglink_fleet::GatewayLoad;
use luglink_quota::Purpose;
use luglink_scheduling::{
    AdmissionDecision, Capacity, FleetDemand, NewProgram, ProgramAdmission, ProgramTable, Shortage,
    TurnStarted, ZoneRequests, ZoneTrend,
};
use luglink_telemetry::milliseconds;
use luglink_types::Timestamp;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// What this gateway knows of the programs under way.
#[derive(Debug, Default)]
pub(crate) struct AdmissionState {
    programs: ProgramTable,
    /// By service.
    intakes: HashMap<String, ProgramAdmission>,
    /// Requests that the gateways of the zone have under way, by service.
    zone_trends: HashMap<String, ZoneTrend>,
}

impl AdmissionState {
    /// Takes a newer sum of what the gateways of the zone have to do.
    pub(crate) fn take_zone_load(&mut self, load: &GatewayLoad, now: Timestamp) {
        for service in &load.services {
            let requests = f64::from(service.in_flight_hundredths) / 100.0;
            let trend = self.zone_trends.entry(service.service.clone());
            trend.or_default().take(requests, now);
        }
    }

    /// Forgets what is not in force any more.
    pub(crate) fn keep_only(&mut self, configuration: &Configuration) {
        self.programs.keep_only(configuration);
        self.intakes
            .retain(|service, _| configuration.service(service).is_some());
        self.zone_trends
            .retain(|service, _| configuration.service(service).is_some());
        for intake in self.intakes.values_mut() {
            intake.keep_only(configuration);
        }
    }

    /// What the programs under way of all gateways of the zone need.
    fn demand(&mut self, service: &str, gateways: f64, now: Timestamp) -> FleetDemand {
        let own = self.programs.demand(service, now);
        let usual = self.programs.average_demand(service);
        let zone = self.zone_requests(service, now);
        FleetDemand::estimate(own, usual, gateways, zone)
    }

    fn zone_requests(&self, service: &str, now: Timestamp) -> Option<ZoneRequests> {
        self.zone_trends.get(service)?.now(now)
    }
}

/// Counts a turn's program as under way, until some time after the turn has ended.
pub(crate) struct UnderWay {
    gateway: Rc<Gateway>,
    program: u64,
    began: Instant,
}

impl std::fmt::Debug for UnderWay {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("UnderWay")
            .field("program", &self.program)
            .finish_non_exhaustive()
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut state = self.gateway.admission.borrow_mut();
        let taken = self.began.elapsed();
        state.programs.end_turn(self.program, taken, now);
    }
}

/// Whether new programs are let in by their working set.
pub(crate) fn decides(gateway: &Gateway, inbound: &InboundRequest) -> bool {
    let has_engine = |service: &Service| service.engine.is_some();
    gateway.config.features.working_set()
        && gateway.with_service(&inbound.service, has_engine) == Some(true)
}

/// Notes a turn that is about to be sent.
pub(crate) fn note_turn(
    gateway: &Rc<Gateway>,
    inbound: &InboundRequest,
    purpose: Purpose,
) -> Option<UnderWay> {
    if !decides(gateway, inbound) {
        return None;
    }
    let turn = TurnStarted {
        program: inbound.affinity_hash,
        route: &inbound.route,
        service: &inbound.service,
        prompt_tokens: prompt_tokens(inbound),
        is_first_turn: purpose == Purpose::Begins,
    };
    let mut state = gateway.admission.borrow_mut();
    state.programs.begin_turn(&turn, gateway.now());
    Some(UnderWay {
        gateway: Rc::clone(gateway),
        program: turn.program,
        began: Instant::now(),
    })
}

/// Refuses a new program for which there is no room. `place` stands for it, the same on each try
/// and at each gateway.
pub(crate) fn let_in(
    gateway: &Gateway,
    inbound: &InboundRequest,
    program: &ProgramFields,
    place: u64,
) -> Result<(), Refusal> {
    let mut state = gateway.admission.borrow_mut();
    if state.programs.knows(inbound.affinity_hash) {
        return Ok(());
    }
    let now = gateway.now();
    let service = inbound.service.as_str();
    let scale = Scale::of(gateway, service);
    let demand = state.demand(service, scale.gateways, now);
    let newcomer = NewProgram {
        admission_hash: place,
        route: &inbound.route,
        tenant: inbound.caller.tenant().map(|tenant| &tenant.name),
        prompt_tokens: prompt_tokens(inbound),
        remaining: inbound.remaining(),
        lifetime: state.programs.lifetime(&inbound.route.name),
        spread: (gateway.draw() >> 32) as f64 / f64::from(u32::MAX),
    };
    let fair_shares = gateway.config.features.fair_shares();
    let intake = state.intakes.entry(service.to_owned()).or_default();
    let entry = intake.admit(&newcomer, scale.room, &demand, fair_shares, now);
    let decision = Decision {
        newcomer,
        room: scale.room,
        demand,
        entry,
    };
    decision.count(gateway);
    if entry.refused_for.is_none() {
        return Ok(());
    }
    decision.log(inbound, program);
    Err(Refusal::not_run_retry_after(
        "the engines have too much to do",
        entry.retry_delay,
    ))
}

/// A decision with what it goes back to.
struct Decision<'request> {
    newcomer: NewProgram<'request>,
    room: Capacity,
    demand: FleetDemand,
    entry: AdmissionDecision,
}

impl Decision<'_> {
    fn count(&self, gateway: &Gateway) {
        let metrics = &gateway.metrics;
        let end = self.entry.refused_for.map_or("let_in", Shortage::as_str);
        metrics.programs.with_label_values(&[end]).inc();
        let class = if self.entry.is_above_fair_share() {
            "above_share"
        } else {
            "within_share"
        };
        metrics.tenant_classes.with_label_values(&[class]).inc();
        metrics.working_set.set(self.demand.peak_tokens);
        metrics.room.set(self.room.tokens);
        let lifetime = self.newcomer.lifetime.as_secs_f64();
        metrics.program_seconds.set(lifetime);
    }

    fn log(&self, inbound: &InboundRequest, program: &ProgramFields) {
        tracing::info!(
            id = inbound.id,
            program = %program.name,
            route = inbound.route.name,
            short_of = self.entry.refused_for.map(Shortage::as_str),
            fullness = self.entry.fullness,
            share = self.entry.share,
            tenant_share = self.entry.tenant_share,
            working_set = self.demand.peak_tokens,
            requests = self.demand.requests_in_flight,
            programs = self.demand.active_programs,
            room_tokens = self.room.tokens,
            room_slots = self.room.slots,
            age_ms = milliseconds(self.demand.age),
            lifetime_ms = milliseconds(self.newcomer.lifetime),
            come_back_ms = milliseconds(self.entry.retry_delay),
            left_ms = milliseconds(self.newcomer.remaining),
            "a program is not let in: those under way need the room"
        );
    }
}

/// What a zone has of the fleet. Zones are taken to be alike.
struct Scale {
    /// Gateways of the zone.
    gateways: f64,
    /// The zone's part of the engines' room.
    room: Capacity,
}

impl Scale {
    fn of(gateway: &Gateway, service: &str) -> Self {
        let service_size = gateway.pool.borrow().service_size(service);
        let all_gateways = f64::from(gateway.gateway_count.get().max(1));
        let zones = (service_size.zones.max(1) as f64).min(all_gateways);
        let replicas = service_size.usable as f64 / zones;
        let room = gateway.with_service(service, |service| {
            let engine = service.engine.as_ref()?;
            Some(Capacity {
                tokens: replicas * engine.cache_tokens as f64,
                slots: replicas * f64::from(engine.slots),
            })
        });
        Self {
            gateways: all_gateways / zones,
            room: room.flatten().unwrap_or_default(),
        }
    }
}

/// Tokens of a request's whole prompt, as its caller says; 0 when it does not.
fn prompt_tokens(inbound: &InboundRequest) -> u64 {
    inbound.prompt.map_or(0, |prompt| u64::from(prompt.tokens))
}
