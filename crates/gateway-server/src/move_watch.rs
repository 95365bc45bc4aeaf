//! Detection of streams whose replica is unusually slow, and their move to another replica.

use crate::attempts::{Attempts, choose_excluding};
use crate::exchange::{Answer, SendOverrides, begin_run, send_run};
use crate::failure::Failure;
use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use crate::refusal::Refusal;
use luglink_edge::Route;
use luglink_fleet::Backend;
use luglink_scheduling::{
    AwaitedEvent, MoveDecision, RerunLimits, Restart, RouteWaits, Stay, Waiting,
    cannot_meet_deadline, decide_move,
};
use luglink_telemetry::milliseconds;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval after which a request is checked again if the route's move budget was exhausted.
const BUDGET_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Outcome of a send to a replica.
pub(crate) enum SendResult {
    /// The head of the response has arrived.
    Answered(Box<Answer>),
    Failed(Failure),
    /// The send was cancelled and its connection closed. The request moves to this replica.
    MovedTo(Backend),
}

/// Records the wait times of one stream and decides whether it moves. Inactive on routes whose
/// requests do not move.
pub(crate) struct MoveWatch {
    gateway: Rc<Gateway>,
    route: Rc<Route>,
    is_enabled: bool,
    tokens_per_event: u64,
    sent_at: Instant,
    /// Number of replicas that may have run the request before the current one.
    runs: u32,
    /// Number of events passed on to the caller.
    events: u64,
    last_event: Option<Instant>,
    longest_pause: Duration,
    next_check: Option<Instant>,
    /// True while a replica has the request and has sent no event.
    awaits_first_event: bool,
}

/// Refuses a stream that no replica can answer before the deadline.
pub(crate) fn refuse_unreachable_deadline(
    gateway: &Gateway,
    inbound: &InboundRequest,
) -> Result<(), Refusal> {
    if !gateway.config.features.moves(&inbound.route) {
        return Ok(());
    }
    let mut waits = gateway.waits.borrow_mut();
    let quickest = waits
        .route(&inbound.route)
        .fastest_first_event(gateway.now());
    if !cannot_meet_deadline(inbound.remaining(), quickest) {
        return Ok(());
    }
    tracing::info!(
        id = inbound.id,
        route = inbound.route.name,
        left_ms = milliseconds(inbound.remaining()),
        quickest_ms = quickest.map(milliseconds),
        "stream refused: no replica can answer before its deadline"
    );
    let counter = &gateway.metrics.hopeless;
    counter.with_label_values(&[&inbound.route.name]).inc();
    Err(Refusal::not_run(
        "no replica can answer before the deadline",
    ))
}

impl MoveWatch {
    pub(crate) fn begin(
        gateway: &Rc<Gateway>,
        inbound: &InboundRequest,
        tokens_per_event: u64,
    ) -> Self {
        let is_enabled = gateway.config.features.moves(&inbound.route);
        if is_enabled {
            let mut waits = gateway.waits.borrow_mut();
            waits.route(&inbound.route).moves.earn();
        }
        Self {
            gateway: Rc::clone(gateway),
            route: Rc::clone(&inbound.route),
            is_enabled,
            tokens_per_event,
            sent_at: Instant::now(),
            runs: 0,
            events: 0,
            last_event: None,
            longest_pause: Duration::ZERO,
            next_check: None,
            awaits_first_event: false,
        }
    }

    /// Sends the request, and cancels the send if the request should move.
    pub(crate) async fn send(
        &mut self,
        inbound: &InboundRequest,
        backend: &Backend,
        overrides: &SendOverrides,
        attempts: &Attempts,
    ) -> SendResult {
        let gateway = Rc::clone(&self.gateway);
        // A request that waits for other runs of it is not slow at the replica.
        let run = match begin_run(&gateway, inbound, backend, overrides).await {
            Ok(run) => run,
            Err(failure) => return SendResult::Failed(failure),
        };
        self.note_sent(inbound, attempts);
        // Dropping the future on return closes the connection before the request is sent to
        // another replica.
        let sending = send_run(&gateway, inbound, backend, overrides, run);
        tokio::pin!(sending);
        loop {
            tokio::select! {
                biased;
                result = &mut sending => return match result {
                    Ok(answer) => {
                        self.awaits_first_event &= answer.response.status().is_success();
                        SendResult::Answered(Box::new(answer))
                    }
                    Err(failure) => {
                        self.note_failed(failure);
                        SendResult::Failed(failure)
                    }
                },
                () = self.wait_for_check() => {
                    if let Some(other) = self.check_move(inbound, backend, attempts) {
                        return SendResult::MovedTo(other);
                    }
                }
            }
        }
    }

    /// Records that the request is being sent to a replica, and schedules the next check.
    pub(crate) fn note_sent(&mut self, inbound: &InboundRequest, attempts: &Attempts) {
        self.sent_at = Instant::now();
        self.runs = attempts.runs;
        self.last_event = None;
        self.longest_pause = Duration::ZERO;
        self.awaits_first_event = self.is_enabled;
        self.schedule_check(inbound);
    }

    /// Records that the send to the current replica failed.
    pub(crate) fn note_failed(&mut self, failure: Failure) {
        self.awaits_first_event &= failure == Failure::NoAnswerInTime;
        self.note_abandoned();
        self.next_check = None;
    }

    /// Records an event from the current replica.
    pub(crate) fn note_event(&mut self, inbound: &InboundRequest) {
        if !self.is_enabled {
            return;
        }
        self.events += 1;
        self.note_first_event();
        let at = Instant::now();
        if let Some(last) = self.last_event.replace(at) {
            self.longest_pause = self.longest_pause.max(at - last);
            let mut waits = self.gateway.waits.borrow_mut();
            let waits = waits.route(&self.route);
            waits.note_pause(at - last, self.gateway.now());
        }
        self.schedule_check(inbound);
    }

    /// Waits until the next check is due; forever if none is scheduled.
    pub(crate) async fn wait_for_check(&self) {
        match self.next_check {
            Some(at) => actix_rt::time::sleep_until(at.into()).await,
            None => std::future::pending().await,
        }
    }

    /// Decides whether the waiting request moves. Returns the replica that it moves to.
    pub(crate) fn check_move(
        &mut self,
        inbound: &InboundRequest,
        current: &Backend,
        attempts: &Attempts,
    ) -> Option<Backend> {
        let tried = attempts.tried_including(&current.id);
        let other = choose_excluding(&self.gateway, inbound, attempts, &tried, None);
        let waiting = self.waiting(inbound, other.is_some());
        let decision = decide_move(&waiting);
        let gain = match decision {
            MoveDecision::WaitOn(pause) => {
                self.next_check = Some(Instant::now() + pause);
                return None;
            }
            MoveDecision::Stay(reason) => {
                self.next_check = None;
                self.note_stayed(inbound, current, &waiting, reason.as_str());
                return None;
            }
            MoveDecision::Move { gain } => gain,
        };
        if !self.spend_move(inbound) {
            self.next_check = Some(Instant::now() + BUDGET_RETRY_INTERVAL);
            self.note_stayed(inbound, current, &waiting, "too_many_moves");
            return None;
        }
        let other = other?.backend;
        self.note_abandoned();
        self.note_moved(inbound, current, &other, &waiting, gain);
        Some(other)
    }

    fn spend_move(&self, inbound: &InboundRequest) -> bool {
        let mut waits = self.gateway.waits.borrow_mut();
        waits.route(&inbound.route).moves.spend()
    }

    fn schedule_check(&mut self, inbound: &InboundRequest) {
        self.next_check = None;
        if !self.is_enabled {
            return;
        }
        if let MoveDecision::WaitOn(pause) = decide_move(&self.waiting(inbound, true)) {
            self.next_check = Some(Instant::now() + pause);
        }
    }

    fn waiting(&self, inbound: &InboundRequest, has_untried_replica: bool) -> Waiting {
        let now = self.gateway.now();
        let mut waits = self.gateway.waits.borrow_mut();
        let waits = waits.route(&inbound.route);
        let pause = waits.median_pause(now);
        let tokens_per_event = u32::try_from(self.tokens_per_event).unwrap_or(u32::MAX);
        let prompt_tokens = inbound.prompt.map_or(0, |prompt| u64::from(prompt.tokens));
        Waiting {
            awaited: self.awaited(inbound, waits),
            waited: self.last_event.unwrap_or(self.sent_at).elapsed(),
            left: inbound.remaining(),
            first_event: waits.first_event(inbound.route.target_latency(), now),
            outlier_ratio: waits.outlier_ratio(),
            restart: Restart {
                tokens: prompt_tokens + self.events * self.tokens_per_event,
                step: pause.map(|pause| pause / tokens_per_event.max(1)),
            },
            reruns: RerunLimits {
                is_repeatable: inbound.route.is_repeatable(),
                may_have_run: self.runs + 1,
                max_attempts: inbound.route.max_attempts,
                has_untried_replica,
            },
        }
    }

    fn awaited(&self, inbound: &InboundRequest, waits: &RouteWaits) -> AwaitedEvent {
        if self.last_event.is_none() {
            let until = inbound.program_deadline;
            return AwaitedEvent::FirstEvent {
                program: until.map(|until| until.saturating_duration_since(self.sent_at)),
            };
        }
        AwaitedEvent::NextEvent {
            longest: self.longest_pause,
            p90_pause: waits.p90_pause(self.gateway.now()),
            target_gap: inbound.route.target_event_gap(),
        }
    }

    fn note_moved(
        &self,
        inbound: &InboundRequest,
        from: &Backend,
        to: &Backend,
        waiting: &Waiting,
        gain: Duration,
    ) {
        let metrics = &self.gateway.metrics;
        metrics
            .moved
            .with_label_values(&[&inbound.route.name])
            .inc();
        metrics.move_seconds.observe(waiting.waited.as_secs_f64());
        metrics.sends.with_label_values(&["moved"]).inc();
        tracing::info!(
            id = inbound.id,
            route = inbound.route.name,
            from = %from.id,
            to = %to.id,
            events = self.events,
            waited_ms = milliseconds(waiting.waited),
            usual_ms = milliseconds(waiting.first_event.p90),
            gain_ms = milliseconds(gain),
            left_ms = milliseconds(waiting.left),
            "stream moved to another replica"
        );
    }

    fn note_stayed(
        &self,
        inbound: &InboundRequest,
        current: &Backend,
        waiting: &Waiting,
        reason: &str,
    ) {
        let metrics = &self.gateway.metrics;
        let is_late = reason == Stay::TooLate.as_str();
        let counter = if is_late {
            &metrics.too_late_to_move
        } else {
            &metrics.kept
        };
        counter.with_label_values(&[&inbound.route.name]).inc();
        tracing::info!(
            id = inbound.id,
            route = inbound.route.name,
            replica = %current.id,
            reason,
            waited_ms = milliseconds(waiting.waited),
            usual_ms = milliseconds(waiting.first_event.p90),
            left_ms = milliseconds(waiting.left),
            "slow stream not moved"
        );
    }

    fn note_first_event(&mut self) {
        // A replica that takes over a request has to read the prompt again, so its time would
        // distort the statistics.
        if !std::mem::take(&mut self.awaits_first_event) || self.runs > 0 {
            return;
        }
        let now = self.gateway.now();
        let mut waits = self.gateway.waits.borrow_mut();
        let waits = waits.route(&self.route);
        let target_latency = self.route.target_latency();
        waits.note_first_event(self.sent_at.elapsed(), target_latency, now);
    }

    /// Records the wait for the first event as abandoned, if no event has arrived.
    fn note_abandoned(&mut self) {
        if !std::mem::take(&mut self.awaits_first_event) {
            return;
        }
        let now = self.gateway.now();
        let mut waits = self.gateway.waits.borrow_mut();
        let waits = waits.route(&self.route);
        waits.note_abandoned(self.sent_at.elapsed(), now);
    }
}

impl Drop for MoveWatch {
    fn drop(&mut self) {
        self.note_abandoned();
    }
}
