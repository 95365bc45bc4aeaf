//! Requests whose response is a stream of events.

mod resume;

use crate::attempts::{Attempts, next_replica};
use crate::doubtful_runs::DoubtReason;
use crate::exchange::{Answer, ReplicaGuard, SendOverrides};
use crate::first_event::FirstEventWait;
use crate::gateway::{Gateway, InFlight};
use crate::inbound::{InboundRequest, strip_hop_by_hop};
use crate::move_watch::{MoveWatch, SendResult, refuse_unreachable_deadline};
use crate::program::{self, PreparedTurn};
use crate::refusal::Refusal;
use crate::resumed_turns::ResumedTurn;
use crate::run::Run;
use crate::turn_output::TurnOutput;
use crate::unary::{note_cut, read_whole_response};
use crate::upstream::Lease;
use crate::{stream_origins, work};
use bytes::Bytes;
use http::{HeaderMap, Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use luglink_edge::{EventSplitter, Service, StreamEvent};
use luglink_fleet::{Backend, BackendId, StreamOrigin};
use luglink_http::{Body, BodySender, stream_body};
use luglink_limits::HeldBytesLimit;
use luglink_scheduling::{Expected, Work};
use luglink_telemetry::milliseconds;
use luglink_turns::{TurnId, TurnRecord, is_later_event};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time without a read by the caller after which its stream is aborted. Replicas drop a response
/// that stays unread for some seconds; aborting earlier frees them for other requests.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(2);

/// End reason of a stream whose caller does not read it, used in logs and metrics.
const CALLER_STALLED: &str = "caller_stalled";

/// End reason of a stream with an event that is too long, used in logs and metrics.
const EVENT_TOO_LONG: &str = "event_too_long";

/// End reason of a resumed stream whose replica does not send the last event that the caller has, used
/// in logs and metrics.
const EVENT_NOT_REPEATED: &str = "event_not_repeated";

/// Maximum size of one event. Until its end, it is buffered.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Interval at which a replica that sends no data is reported to the pool as stalled. Shorter gaps
/// also occur at healthy replicas, when a prompt is processed again.
const DATA_STALL_INTERVAL: Duration = Duration::from_secs(1);

/// Serves a streaming request. A separate task forwards the response's events.
pub(crate) async fn serve(
    gateway: &Rc<Gateway>,
    mut inbound: InboundRequest,
    in_flight: InFlight,
) -> Result<Response<Body>, Refusal> {
    refuse_unreachable_deadline(gateway, &inbound)?;
    let resumed = stream_origins::find(gateway, &mut inbound).await?;
    let prepared = program::prepare_turn(gateway, &inbound, resumed.is_some()).await?;
    refuse_unreachable_deadline(gateway, &inbound)?;
    let origin = resumed.as_ref().map(|resumed| Rc::clone(&resumed.origin));
    let resumed_turn = resumed.and_then(|resumed| resumed.turn);
    let overrides = SendOverrides {
        body: prepared.prompt.clone(),
        last_event_id: resumed_turn
            .as_ref()
            .map(|turn| turn.continues_after.clone()),
    };
    let wait = FirstEventWait::begin(gateway, &inbound);
    let work = work::estimate_turn(gateway, &inbound, &prepared);
    let mut attempts = Attempts::new(work, origin);
    let cached_at = cached_at(gateway, &inbound, &prepared, &attempts);
    let tokens_per_event = tokens_per_event(gateway, &inbound);
    let mut move_watch = MoveWatch::begin(gateway, &inbound, tokens_per_event);
    let mut move_target = None;
    let answer = loop {
        let backend = match move_target.take() {
            Some(backend) => backend,
            None => next_replica(gateway, &inbound, &mut attempts, cached_at.as_ref()).await?,
        };
        match move_watch
            .send(&inbound, &backend, &overrides, &attempts)
            .await
        {
            SendResult::Answered(answer) if answer.response.status().is_success() => break *answer,
            SendResult::Answered(answer) => {
                match read_whole_response(gateway, &inbound, *answer).await {
                    Ok(response) => return Ok(response),
                    Err(failure) => {
                        attempts.note_failure(gateway, &inbound, &backend, failure)?;
                    }
                }
            }
            SendResult::Failed(failure) => {
                attempts.note_failure(gateway, &inbound, &backend, failure)?;
            }
            SendResult::MovedTo(other) => {
                attempts.note_moved(&backend);
                move_target = Some(other);
            }
        }
    };
    note_shared_part(gateway, work.as_ref(), &answer.backend);
    let expected = attempts.expected.take();
    // The prediction is only comparable if the request was sent once.
    let expected = expected.filter(|_| attempts.tried.is_empty());
    let started = StartedStream {
        prepared,
        resumed_turn,
        overrides,
        wait,
        attempts,
        move_watch,
        tokens_per_event,
        work,
        expected,
    };
    Ok(relay(gateway, inbound, in_flight, started, answer))
}

fn note_shared_part(gateway: &Gateway, work: Option<&Work>, backend: &Backend) {
    let Some(part) = work.and_then(|work| work.shared) else {
        return;
    };
    let mut pool = gateway.pool.borrow_mut();
    pool.note_shared_part(&backend.id, part.id, gateway.now());
}

/// Returns the replica that likely caches the beginning of the prompt: the one that began the
/// stream, or else the one that served the previous turn, or else the program's home replica, which
/// is the same for all gateways.
fn cached_at(
    gateway: &Gateway,
    inbound: &InboundRequest,
    prepared: &PreparedTurn,
    attempts: &Attempts,
) -> Option<BackendId> {
    let pool = gateway.pool.borrow();
    let began_at = attempts
        .origin
        .as_ref()
        .map(|origin| origin.replica.clone());
    began_at
        .or_else(|| prepared.preferred_replica.clone())
        .filter(|id| pool.usable(id).is_some())
        .or_else(|| pool.home(&inbound.service, inbound.affinity_hash))
}

/// State of a turn whose response head has arrived.
struct StartedStream {
    prepared: PreparedTurn,
    /// Turn that the request resumes, if any.
    resumed_turn: Option<ResumedTurn>,
    overrides: SendOverrides,
    wait: FirstEventWait,
    attempts: Attempts,
    move_watch: MoveWatch,
    tokens_per_event: u64,
    work: Option<Work>,
    expected: Option<Expected>,
}

fn relay(
    gateway: &Rc<Gateway>,
    inbound: InboundRequest,
    in_flight: InFlight,
    started: StartedStream,
    answer: Answer,
) -> Response<Body> {
    let (sender, body) = stream_body();
    let (head, incoming) = answer.response.into_parts();
    let mut caller_head = head.clone();
    strip_hop_by_hop(&mut caller_head.headers);
    caller_head.headers.remove(header::CONTENT_LENGTH);
    let last_event_id = started.overrides.last_event_id.clone();
    let (resumed_stream, output, repeats_until) = match started.resumed_turn {
        Some(turn) => (
            Some(turn.stream),
            TurnOutput::after(turn.output),
            turn.repeats_until,
        ),
        None => (None, TurnOutput::default(), None),
    };
    let mut relay = Relay {
        gateway: Rc::clone(gateway),
        inbound,
        prepared: started.prepared,
        overrides: started.overrides,
        wait: started.wait,
        attempts: started.attempts,
        move_watch: started.move_watch,
        work: started.work,
        expected: started.expected,
        last_event_at: None,
        tokens_per_event: started.tokens_per_event,
        splitter: EventSplitter::default(),
        resumed_stream,
        output,
        repeats_until,
        events: 0,
        last_event_id,
        is_origin_recorded: false,
        resumptions: 0,
        _in_flight: in_flight,
    };
    // From here on the caller can tell an aborted response from a complete one.
    relay.inbound.held.set_abortable(true);
    if relay.resumed_stream.is_some() {
        relay.note_origin(&answer.backend);
    }
    let source = Source {
        incoming,
        headers: head.headers,
        lease: answer.lease,
        backend: answer.backend,
        _replica_guard: answer.replica_guard,
        run: answer.run,
    };
    actix_rt::spawn(relay.run(source, sender));
    Response::from_parts(caller_head, body)
}

fn tokens_per_event(gateway: &Gateway, inbound: &InboundRequest) -> u64 {
    let of_engine = |service: &Service| {
        let engine = service.engine.as_ref();
        engine.map(|engine| engine.tokens_per_event)
    };
    let tokens = gateway.with_service(&inbound.service, of_engine).flatten();
    tokens.unwrap_or(1).max(1)
}

/// Response body from which events are read, with its connection and its replica.
struct Source {
    incoming: Incoming,
    headers: HeaderMap,
    lease: Lease,
    backend: Backend,
    _replica_guard: ReplicaGuard,
    run: Run,
}

/// Time within which the end of a response arrives after its last event.
const END_OF_RESPONSE_TIMEOUT: Duration = Duration::from_millis(20);

/// Outcome of waiting for the replica, the caller or a timer of a stream.
enum Step {
    Data(Bytes),
    End,
    Broken(&'static str),
    ReplicaStalled,
    CallerDisconnected,
    OutOfTime,
    /// It is time to check whether the stream moves to another replica.
    CheckMove,
    /// The request is aborted because of the memory limit.
    Aborted(HeldBytesLimit),
}

/// Task that forwards the events of one response to the caller.
struct Relay {
    gateway: Rc<Gateway>,
    inbound: InboundRequest,
    prepared: PreparedTurn,
    overrides: SendOverrides,
    wait: FirstEventWait,
    attempts: Attempts,
    move_watch: MoveWatch,
    work: Option<Work>,
    /// Prediction for the replica, kept only if the request was sent once.
    expected: Option<Expected>,
    /// Arrival time of the last event since the stream began or was last resumed.
    last_event_at: Option<Instant>,
    tokens_per_event: u64,
    splitter: EventSplitter,
    /// Earlier request of the turn's stream, if this one resumes it.
    resumed_stream: Option<TurnId>,
    /// Events of the turn as they are included in later prompts.
    output: TurnOutput,
    /// Last event that the caller has from an earlier request, until the replica has repeated it.
    repeats_until: Option<String>,
    /// Number of events that the caller gets.
    events: u64,
    last_event_id: Option<String>,
    is_origin_recorded: bool,
    resumptions: u32,
    _in_flight: InFlight,
}

impl Relay {
    async fn run(mut self, mut source: Source, sender: BodySender) {
        let end = loop {
            match self.next_step(&mut source, &sender).await {
                Step::Data(bytes) => {
                    self.splitter.push(&bytes);
                    if let Err(reason) = self.forward_events(&source, &sender).await {
                        break self.log_end(reason);
                    }
                }
                Step::End if self.splitter.has_partial_event() => {
                    match self.resume(source, "cut_event").await {
                        Ok(next) => source = next,
                        Err(reason) => break self.log_end(reason),
                    }
                }
                Step::End => {
                    let Source {
                        headers,
                        lease,
                        backend,
                        run,
                        ..
                    } = source;
                    if lease.has_surplus().await {
                        run.doubted(DoubtReason::Surplus, &self.inbound).await;
                    } else {
                        run.answered();
                    }
                    lease.give_back(&headers);
                    let end = self.complete(&backend, sender).await;
                    self.log_end(end);
                    return;
                }
                Step::Broken(reason) => match self.resume(source, reason).await {
                    Ok(next) => source = next,
                    Err(reason) => break self.log_end(reason),
                },
                Step::CheckMove => match self.check_move(source, &sender).await {
                    Ok(same_or_next) => source = same_or_next,
                    Err(reason) => break self.log_end(reason),
                },
                Step::ReplicaStalled => self.report_stall(&source),
                Step::CallerDisconnected => {
                    self.note_whole(source).await;
                    break self.log_end("caller_gone");
                }
                Step::OutOfTime => break self.log_end("out_of_time"),
                Step::Aborted(bound) => break self.log_end(bound.as_str()),
            }
        };
        // Dropping the sender aborts the response, and dropping the source closes the connection to
        // the replica, which cancels the request there.
        tracing::debug!(id = self.inbound.id, end, "stream ended before completion");
    }

    /// Ends the run as answered if nothing but the end of the response was missing when the caller
    /// left.
    async fn note_whole(&self, mut source: Source) {
        if self.events == 0 || self.splitter.has_partial_event() {
            return;
        }
        let next = source.incoming.frame();
        if let Ok(None) = actix_rt::time::timeout(END_OF_RESPONSE_TIMEOUT, next).await {
            source.run.answered();
            source.lease.give_back(&source.headers);
        }
    }

    async fn next_step(&self, source: &mut Source, sender: &BodySender) -> Step {
        let left = self.inbound.remaining();
        tokio::select! {
            biased;
            () = sender.closed() => Step::CallerDisconnected,
            bound = self.inbound.held.wait_for_abort() => Step::Aborted(bound),
            frame = source.incoming.frame() => match frame {
                Some(Ok(frame)) => Step::Data(frame.into_data().unwrap_or_default()),
                Some(Err(error)) => {
                    tracing::debug!(id = self.inbound.id, %error, "reading a stream failed");
                    source.run.note_break(&error);
                    Step::Broken("broken")
                }
                None => Step::End,
            },
            () = self.move_watch.wait_for_check() => Step::CheckMove,
            () = actix_rt::time::sleep(left.min(DATA_STALL_INTERVAL)) => {
                if self.inbound.remaining().is_zero() {
                    Step::OutOfTime
                } else {
                    Step::ReplicaStalled
                }
            }
        }
    }

    /// Reports the replica as stalled, to the pool only where replicas are chosen by expected
    /// finish, so that other requests avoid it.
    fn report_stall(&self, source: &Source) {
        source.run.note_stalled();
        if self.work.is_none() {
            return;
        }
        let now = self.gateway.now();
        self.gateway
            .pool
            .borrow_mut()
            .note_failure(&source.backend.id, now);
    }

    /// Records the pause before an event that has just arrived.
    fn note_pause(&mut self, source: &Source) {
        let at = Instant::now();
        if let Some(before) = self.last_event_at.replace(at) {
            let mut pool = self.gateway.pool.borrow_mut();
            pool.note_step(&source.backend.id, at - before, self.gateway.now());
        }
    }

    fn note_expected(&self, measured: Duration) {
        let Some(expected) = &self.expected else {
            return;
        };
        let expected = expected.first_event();
        let metrics = &self.gateway.metrics;
        metrics.expected_seconds.observe(expected.as_secs_f64());
        let error = expected.abs_diff(measured).as_secs_f64();
        metrics.expectation_error_seconds.observe(error);
    }

    /// Forwards complete events to the caller. Returns the end reason if the stream cannot
    /// continue.
    async fn forward_events(
        &mut self,
        source: &Source,
        sender: &BodySender,
    ) -> Result<(), &'static str> {
        let mut batch = Vec::new();
        while let Some(event) = self.splitter.next_event() {
            let is_repeated = self.is_repeated(&event)?;
            self.note_event(&event, source, is_repeated);
            if !is_repeated {
                batch.extend_from_slice(&event.raw);
            }
        }
        let partial = self.splitter.buffered_bytes();
        if partial > MAX_EVENT_BYTES {
            self.note_too_long(source, partial);
            return Err(EVENT_TOO_LONG);
        }
        let held = &self.inbound.held;
        let buffered = (self.output.size() + batch.len() + partial) as u64 + sender.waiting_bytes();
        held.set_answer(buffered).map_err(HeldBytesLimit::as_str)?;
        if batch.is_empty() {
            return Ok(());
        }
        tokio::select! {
            biased;
            bound = held.wait_for_abort() => Err(bound.as_str()),
            is_taken = sender.send(Bytes::from(batch)) => {
                if is_taken { Ok(()) } else { Err("caller_gone") }
            }
            () = self.unread_timeout() => {
                held.note_aborted(CALLER_STALLED);
                Err(CALLER_STALLED)
            }
        }
    }

    /// Marks the replica of an event that is too long as failed, unless it has restarted since.
    fn note_too_long(&self, source: &Source, bytes: usize) {
        tracing::warn!(
            id = self.inbound.id,
            request = %self.inbound.fingerprint,
            replica = %source.backend.id,
            bytes,
            "event of a stream exceeds the limit"
        );
        note_cut(&self.gateway, &source.backend);
    }

    /// Waits for [`UNREAD_TIMEOUT`], or forever if the held-bytes feature is off.
    async fn unread_timeout(&self) {
        if !self.gateway.config.features.held_bytes() {
            return std::future::pending().await;
        }
        actix_rt::time::sleep(UNREAD_TIMEOUT).await;
    }

    /// Returns true if the caller has an event from an earlier request. Returns the end reason if the last
    /// event that it has does not come.
    fn is_repeated(&mut self, event: &StreamEvent) -> Result<bool, &'static str> {
        let Some(last) = &self.repeats_until else {
            return Ok(false);
        };
        let id = event.id.as_ref();
        if id == Some(last) {
            self.repeats_until = None;
        } else if id.is_some_and(|id| is_later_event(id, last)) {
            return Err(EVENT_NOT_REPEATED);
        }
        Ok(true)
    }

    fn note_event(&mut self, event: &StreamEvent, source: &Source, is_repeated: bool) {
        if event.id.is_some() {
            self.last_event_id.clone_from(&event.id);
        }
        self.note_output(event);
        self.note_origin(&source.backend);
        if event.data.is_none() {
            return;
        }
        self.move_watch.note_event(&self.inbound);
        self.note_pause(source);
        if !is_repeated {
            self.events += 1;
            if let Some(reservation) = &self.prepared.reservation {
                reservation.add_delivered(self.tokens_per_event);
            }
        }
        if let Some(time) = self.wait.note_event() {
            self.note_expected(time);
            if let Some(reservation) = &self.prepared.reservation {
                reservation.record_replica(&source.backend.id);
            }
            let mut pool = self.gateway.pool.borrow_mut();
            if !pool.has_restarted(&source.backend) {
                pool.succeeded(&source.backend.id, time);
            }
        }
    }

    /// Adds an event to the output of the turn.
    fn note_output(&mut self, event: &StreamEvent) {
        if !self.inbound.is_turn() {
            return;
        }
        // Only callers that may resume the stream name its events.
        let id = event.id.as_deref().filter(|_| self.inbound.route.resumable);
        if id.is_some() || event.data.is_some() {
            self.output.push(id, event.data.as_deref());
        }
    }

    /// Fixes the origin of the stream at its first event, and records it before the caller can
    /// resume the stream elsewhere.
    fn note_origin(&mut self, backend: &Backend) {
        if self.is_origin_recorded {
            return;
        }
        self.is_origin_recorded = true;
        let at_backend = || Rc::new(StreamOrigin::at(backend));
        let origin = self.attempts.origin.get_or_insert_with(at_backend);
        let resumed = self.resumed_stream.as_ref();
        let output = &mut self.output;
        stream_origins::record(&self.gateway, &self.inbound, origin, resumed, output);
    }

    /// Stores the turn, then ends the response as complete. Returns the end reason.
    async fn complete(&mut self, backend: &Backend, sender: BodySender) -> &'static str {
        if self.repeats_until.is_some() {
            return EVENT_NOT_REPEATED;
        }
        self.inbound.held.set_abortable(false);
        if self.inbound.route.keeps_history && !self.store_turn(backend).await {
            return "not_kept";
        }
        sender.finish();
        let mut lengths = self.gateway.answer_lengths.borrow_mut();
        lengths.note(&self.inbound.route.name, self.events);
        let elapsed = self.inbound.arrived.elapsed();
        self.gateway
            .note_run_time(&self.inbound.route.name, elapsed);
        "complete"
    }

    async fn store_turn(&mut self, backend: &Backend) -> bool {
        let Some(program) = &self.inbound.program else {
            return true;
        };
        let tokens = self.events * self.tokens_per_event;
        let turn = Rc::new(TurnRecord {
            id: self.inbound.turn(),
            program: program.name.clone(),
            ancestors: self
                .prepared
                .chain
                .iter()
                .map(|turn| turn.id.clone())
                .collect(),
            input: self.inbound.body.to_vec(),
            output: self.output.take_text(),
            served_by: Some(backend.id.clone()),
            retention_ms: self.inbound.record_retention_ms(),
        });
        let began = Instant::now();
        let deadline = self.inbound.deadline;
        let chain = &self.prepared.chain;
        let reservation = self.prepared.reservation.as_ref();
        let known = reservation.map(|reservation| reservation.account().clone());
        let known = known.unwrap_or_default();
        let turns = &self.gateway.turns;
        let kept = turns.keep(&turn, tokens, chain, &known, deadline).await;
        let seconds = began.elapsed().as_secs_f64();
        self.gateway.metrics.keep_seconds.observe(seconds);
        if let Err(error) = kept {
            tracing::warn!(id = self.inbound.id, %error, "storing a turn failed");
            return false;
        }
        if let Some(reservation) = &self.prepared.reservation {
            reservation.mark_settled();
        }
        self.gateway.turn_cache.borrow_mut().insert(turn);
        true
    }

    fn log_end(&self, end: &'static str) -> &'static str {
        self.gateway.metrics.streams.with_label_values(&[end]).inc();
        if let Some(first) = self.wait.delay() {
            let seconds = first.as_secs_f64();
            self.gateway.metrics.answer_seconds.observe(seconds);
        }
        let reservation = self.prepared.reservation.as_ref();
        tracing::info!(
            id = self.inbound.id,
            end,
            route = self.inbound.route.name,
            version = self.inbound.version,
            program = self
                .inbound
                .program
                .as_ref()
                .map(|program| tracing::field::display(&program.name)),
            chain = self.prepared.chain.len(),
            events = self.events,
            given = reservation.map(|reservation| reservation.delivered()),
            resumptions = self.resumptions,
            first_ms = self.wait.delay().map(milliseconds),
            ms = milliseconds(self.inbound.arrived.elapsed()),
            "stream"
        );
        end
    }
}
