//! Admission of new programs by working set: a program is admitted only if the engines have memory
//! for it in addition to what the running programs need until they end. Also records which programs
//! are running.
//!
//! By then the turn stores have confirmed that the program is new; only they know about its turns
//! at other gateways. Replicas are queried after this check: [`crate::placement`] refuses the
//! program if they report that they are full.

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

/// Running programs of this gateway, and the state of admission decisions.
#[derive(Debug, Default)]
pub(crate) struct AdmissionState {
    programs: ProgramTable,
    /// Admission state by service.
    admissions: HashMap<String, ProgramAdmission>,
    /// Requests in flight at all gateways of the zone, by service.
    zone_trends: HashMap<String, ZoneTrend>,
}

impl AdmissionState {
    /// Updates the load of the zone with a newer sum over its gateways.
    pub(crate) fn update_zone_load(&mut self, load: &GatewayLoad, now: Timestamp) {
        for service in &load.services {
            let requests = f64::from(service.in_flight_hundredths) / 100.0;
            let trend = self.zone_trends.entry(service.service.clone());
            trend.or_default().take(requests, now);
        }
    }

    /// Drops the state of services and routes that are no longer configured.
    pub(crate) fn keep_only(&mut self, configuration: &Configuration) {
        self.programs.keep_only(configuration);
        self.admissions
            .retain(|service, _| configuration.service(service).is_some());
        self.zone_trends
            .retain(|service, _| configuration.service(service).is_some());
        for admission in self.admissions.values_mut() {
            admission.keep_only(configuration);
        }
    }

    /// Estimates what the running programs of all gateways of the zone need.
    fn estimate_demand(&mut self, service: &str, gateways: f64, now: Timestamp) -> FleetDemand {
        let own = self.programs.demand(service, now);
        let average = self.programs.average_demand(service);
        let zone = self.zone_requests(service, now);
        FleetDemand::estimate(own, average, gateways, zone)
    }

    fn zone_requests(&self, service: &str, now: Timestamp) -> Option<ZoneRequests> {
        self.zone_trends.get(service)?.now(now)
    }
}

/// Guard that counts a turn's program as running. The program remains counted for a while after
/// the guard is dropped, because its next turn is likely to follow.
pub(crate) struct TurnGuard {
    gateway: Rc<Gateway>,
    program: u64,
    started_at: Instant,
}

impl std::fmt::Debug for TurnGuard {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("TurnGuard")
            .field("program", &self.program)
            .finish_non_exhaustive()
    }
}

impl Drop for TurnGuard {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut state = self.gateway.admission.borrow_mut();
        let duration = self.started_at.elapsed();
        state.programs.end_turn(self.program, duration, now);
    }
}

/// Returns true if new programs of the request's service are admitted by working set.
pub(crate) fn uses_working_set(gateway: &Gateway, inbound: &InboundRequest) -> bool {
    let has_engine = |service: &Service| service.engine.is_some();
    gateway.config.features.working_set()
        && gateway.with_service(&inbound.service, has_engine) == Some(true)
}

/// Records that a turn is about to be sent. Returns `None` if programs of the service are not
/// admitted by working set.
pub(crate) fn track_turn(
    gateway: &Rc<Gateway>,
    inbound: &InboundRequest,
    purpose: Purpose,
) -> Option<TurnGuard> {
    if !uses_working_set(gateway, inbound) {
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
    Some(TurnGuard {
        gateway: Rc::clone(gateway),
        program: turn.program,
        started_at: Instant::now(),
    })
}

/// Refuses a new program if the engines lack capacity for it. `admission_hash` identifies the
/// program and is the same for every retry and at every gateway.
pub(crate) fn admit(
    gateway: &Gateway,
    inbound: &InboundRequest,
    program: &ProgramFields,
    admission_hash: u64,
) -> Result<(), Refusal> {
    let mut state = gateway.admission.borrow_mut();
    if state.programs.knows(inbound.affinity_hash) {
        return Ok(());
    }
    let now = gateway.now();
    let service = inbound.service.as_str();
    let zone_share = ZoneShare::of(gateway, service);
    let demand = state.estimate_demand(service, zone_share.gateways, now);
    let new_program = NewProgram {
        admission_hash,
        route: &inbound.route,
        tenant: inbound.caller.tenant().map(|tenant| &tenant.name),
        prompt_tokens: prompt_tokens(inbound),
        remaining: inbound.remaining(),
        lifetime: state.programs.lifetime(&inbound.route.name),
        spread: (gateway.draw() >> 32) as f64 / f64::from(u32::MAX),
    };
    let fair_shares = gateway.config.features.fair_shares();
    let admission = state.admissions.entry(service.to_owned()).or_default();
    let decision = admission.admit(&new_program, zone_share.capacity, &demand, fair_shares, now);
    let record = DecisionRecord {
        new_program,
        capacity: zone_share.capacity,
        demand,
        decision,
    };
    record.update_metrics(gateway);
    if decision.refused_for.is_none() {
        return Ok(());
    }
    record.log_refusal(inbound, program);
    Err(Refusal::not_run_retry_after(
        "the engines are overloaded",
        decision.retry_delay,
    ))
}

/// An admission decision together with its inputs.
struct DecisionRecord<'request> {
    new_program: NewProgram<'request>,
    capacity: Capacity,
    demand: FleetDemand,
    decision: AdmissionDecision,
}

impl DecisionRecord<'_> {
    fn update_metrics(&self, gateway: &Gateway) {
        let metrics = &gateway.metrics;
        let outcome = self.decision.refused_for.map_or("let_in", Shortage::as_str);
        metrics.programs.with_label_values(&[outcome]).inc();
        let class = if self.decision.is_above_fair_share() {
            "above_share"
        } else {
            "within_share"
        };
        metrics.tenant_classes.with_label_values(&[class]).inc();
        metrics.working_set.set(self.demand.peak_tokens);
        metrics.room.set(self.capacity.tokens);
        let lifetime = self.new_program.lifetime.as_secs_f64();
        metrics.program_seconds.set(lifetime);
    }

    fn log_refusal(&self, inbound: &InboundRequest, program: &ProgramFields) {
        tracing::info!(
            id = inbound.id,
            program = %program.name,
            route = inbound.route.name,
            short_of = self.decision.refused_for.map(Shortage::as_str),
            fullness = self.decision.fullness,
            share = self.decision.share,
            tenant_share = self.decision.tenant_share,
            working_set = self.demand.peak_tokens,
            requests = self.demand.requests_in_flight,
            programs = self.demand.active_programs,
            room_tokens = self.capacity.tokens,
            room_slots = self.capacity.slots,
            age_ms = milliseconds(self.demand.age),
            lifetime_ms = milliseconds(self.new_program.lifetime),
            come_back_ms = milliseconds(self.decision.retry_delay),
            left_ms = milliseconds(self.new_program.remaining),
            "program refused: running programs need the capacity of the engines"
        );
    }
}

/// Part of the fleet that belongs to one zone, assuming that all zones are alike.
struct ZoneShare {
    /// Number of gateways in the zone.
    gateways: f64,
    /// The zone's part of the engines' capacity.
    capacity: Capacity,
}

impl ZoneShare {
    fn of(gateway: &Gateway, service: &str) -> Self {
        let service_size = gateway.pool.borrow().service_size(service);
        let all_gateways = f64::from(gateway.gateway_count.get().max(1));
        let zones = (service_size.zones.max(1) as f64).min(all_gateways);
        let replicas = service_size.usable as f64 / zones;
        let capacity = gateway.with_service(service, |service| {
            let engine = service.engine.as_ref()?;
            Some(Capacity {
                tokens: replicas * engine.cache_tokens as f64,
                slots: replicas * f64::from(engine.slots),
            })
        });
        Self {
            gateways: all_gateways / zones,
            capacity: capacity.flatten().unwrap_or_default(),
        }
    }
}

/// Returns the number of tokens in the whole prompt as declared by the caller; 0 if undeclared.
fn prompt_tokens(inbound: &InboundRequest) -> u64 {
    inbound.prompt.map_or(0, |prompt| u64::from(prompt.tokens))
}
