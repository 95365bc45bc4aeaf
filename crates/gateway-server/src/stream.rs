//! Requests answered by a series of events.

use crate::attempts::{Attempts, choose, next_replica};
use crate::exchange::{Answer, AtReplica, Extra, send};
use crate::failure::Failure;
use crate::first_event::FirstEventWait;
use crate::gateway::{Gateway, InFlight};
use crate::inbound::{InboundRequest, strip_hop_by_hop};
use crate::move_watch::{MoveWatch, Sent, refuse_hopeless};
use crate::program::{self, PreparedTurn};
use crate::refusal::Refusal;
use crate::unary::whole;
use crate::upstream::Lease;
use crate::work;
use bytes::Bytes;
use http::{HeaderMap, Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use luglink_edge::{EventSplitter, Service, StreamEvent};
use luglink_fleet::{Backend, BackendId};
use luglink_http::{Body, BodySender, stream_body};
use luglink_scheduling::{Expected, HeldBytesLimit, Work};
use luglink_telemetry::milliseconds;
use luglink_turns::TurnRecord;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest time for which a caller may leave its answer unread. A replica cuts an answer off that
/// stays unread for some seconds: one that is given up before frees it for others.
const UNREAD_LIMIT: Duration = Duration::from_secs(2);

/// Why a stream ends whose caller does not read.
const CALLER_STALLED: &str = "caller_stalled";

/// How often a stream goes on after a break.
const MAX_RESUMPTIONS: u32 = 3;

/// Pause before a stream goes on at the replica that broke it off.
const RESUMPTION_PAUSE: Duration = Duration::from_millis(10);

/// Silence between events after which, and between which, a replica counts as in trouble. Shorter
/// ones happen where a request is read again.
const SILENCE: Duration = Duration::from_secs(1);

/// Serves a streaming request. The answer's events are passed on by a task of their own.
pub(crate) async fn serve(
    gateway: &Rc<Gateway>,
    inbound: InboundRequest,
    in_flight: InFlight,
) -> Result<Response<Body>, Refusal> {
    refuse_hopeless(gateway, &inbound)?;
    let start = program::prepare_turn(gateway, &inbound).await?;
    refuse_hopeless(gateway, &inbound)?;
    let extra = Extra {
        body: start.prompt.clone(),
        last_event_id: None,
    };
    let wait = FirstEventWait::begin(gateway, &inbound);
    let work = work::estimate_turn(gateway, &inbound, &start);
    let mut attempts = Attempts::default().with_work(work);
    let cached_at = cached_at(gateway, &inbound, &start);
    let tokens_per_event = tokens_per_event(gateway, &inbound);
    let mut moves = MoveWatch::begin(gateway, &inbound, tokens_per_event);
    let mut moves_to = None;
    let answer = loop {
        let backend = match moves_to.take() {
            Some(backend) => backend,
            None => next_replica(gateway, &inbound, &mut attempts, cached_at.as_ref()).await?,
        };
        match moves.send(&inbound, &backend, &extra, &attempts).await {
            Sent::Answered(answer) if answer.response.status().is_success() => break *answer,
            Sent::Answered(answer) => match whole(gateway, &inbound, *answer).await {
                Ok(response) => return Ok(response),
                Err(failure) => attempts.note(&inbound, &backend, failure)?,
            },
            Sent::Failed(failure) => attempts.note(&inbound, &backend, failure)?,
            Sent::GivenUpFor(other) => {
                attempts.note_moved(&backend);
                moves_to = Some(other);
            }
        }
    };
    note_shared_part(gateway, work.as_ref(), &answer.backend);
    let expected = attempts.expected.take();
    // What was expected counts from the only send.
    let expected = expected.filter(|_| attempts.tried.is_empty());
    let waited = Waited {
        start,
        extra,
        wait,
        attempts,
        moves,
        tokens_per_event,
        work,
        expected,
    };
    Ok(relay(gateway, inbound, in_flight, waited, answer))
}

fn note_shared_part(gateway: &Gateway, work: Option<&Work>, backend: &Backend) {
    let Some(part) = work.and_then(|work| work.shared) else {
        return;
    };
    let mut pool = gateway.pool.borrow_mut();
    pool.note_shared_part(&backend.id, part.id, gateway.now());
}

/// The replica that holds the prompt's beginning: the one that served the turn before, or the
/// one that all gateways agree on for this program.
fn cached_at(
    gateway: &Gateway,
    inbound: &InboundRequest,
    start: &PreparedTurn,
) -> Option<BackendId> {
    let pool = gateway.pool.borrow();
    let known = start.preferred_replica.clone();
    known
        .filter(|id| pool.usable(id).is_some())
        .or_else(|| pool.home(&inbound.service, inbound.affinity_hash))
}

/// A turn whose answer's head has arrived.
struct Waited {
    start: PreparedTurn,
    extra: Extra,
    wait: FirstEventWait,
    attempts: Attempts,
    moves: MoveWatch,
    tokens_per_event: u64,
    work: Option<Work>,
    expected: Option<Expected>,
}

fn relay(
    gateway: &Rc<Gateway>,
    inbound: InboundRequest,
    in_flight: InFlight,
    waited: Waited,
    answer: Answer,
) -> Response<Body> {
    let (sender, body) = stream_body();
    let (head, incoming) = answer.response.into_parts();
    let mut shown = head.clone();
    strip_hop_by_hop(&mut shown.headers);
    shown.headers.remove(header::CONTENT_LENGTH);
    let relay = Relay {
        gateway: Rc::clone(gateway),
        inbound,
        start: waited.start,
        extra: waited.extra,
        wait: waited.wait,
        attempts: waited.attempts,
        moves: waited.moves,
        work: waited.work,
        expected: waited.expected,
        event_at: None,
        tokens_per_event: waited.tokens_per_event,
        splitter: EventSplitter::default(),
        output: Vec::new(),
        events: 0,
        last_event_id: None,
        resumptions: 0,
        _in_flight: in_flight,
    };
    // What a caller gets from now on ends visibly when it is cut.
    relay.inbound.held.set_abortable(true);
    let source = Source {
        incoming,
        headers: head.headers,
        lease: answer.lease,
        backend: answer.backend,
        _at_replica: answer.at_replica,
    };
    actix_rt::spawn(relay.run(source, sender));
    Response::from_parts(shown, body)
}

fn tokens_per_event(gateway: &Gateway, inbound: &InboundRequest) -> u64 {
    let of_engine = |service: &Service| {
        let engine = service.engine.as_ref();
        engine.map(|engine| engine.tokens_per_event)
    };
    let tokens = gateway.with_service(&inbound.service, of_engine).flatten();
    tokens.unwrap_or(1).max(1)
}

/// Where events come from.
struct Source {
    incoming: Incoming,
    headers: HeaderMap,
    lease: Lease,
    backend: Backend,
    _at_replica: AtReplica,
}

/// What the replica's side of a stream does next.
enum Step {
    Part(Bytes),
    End,
    Broken(&'static str),
    Silent,
    CallerGone,
    OutOfTime,
    /// The replica has been silent for so long that the stream may move.
    Look,
    /// It holds more than there is room for.
    Cut(HeldBytesLimit),
}

/// Passes the events of one answer on.
struct Relay {
    gateway: Rc<Gateway>,
    inbound: InboundRequest,
    start: PreparedTurn,
    extra: Extra,
    wait: FirstEventWait,
    attempts: Attempts,
    moves: MoveWatch,
    work: Option<Work>,
    /// What was expected of its replica.
    expected: Option<Expected>,
    /// When the last event came, since the stream began or went on.
    event_at: Option<Instant>,
    tokens_per_event: u64,
    splitter: EventSplitter,
    /// The answer as later prompts repeat it.
    output: Vec<u8>,
    events: u64,
    last_event_id: Option<String>,
    resumptions: u32,
    _in_flight: InFlight,
}

impl Relay {
    async fn run(mut self, mut source: Source, sender: BodySender) {
        let end = loop {
            match self.step(&mut source, &sender).await {
                Step::Part(bytes) => {
                    self.splitter.push(&bytes);
                    if let Err(reason) = self.pass_events_on(&source, &sender).await {
                        break self.finish_log(reason);
                    }
                }
                Step::End if self.splitter.has_partial_event() => {
                    match self.resume(source, "cut_event").await {
                        Ok(next) => source = next,
                        Err(reason) => break self.finish_log(reason),
                    }
                }
                Step::End => {
                    let Source {
                        headers,
                        lease,
                        backend,
                        ..
                    } = source;
                    lease.give_back(&headers);
                    let end = self.complete(&backend, sender).await;
                    self.finish_log(end);
                    return;
                }
                Step::Broken(reason) => match self.resume(source, reason).await {
                    Ok(next) => source = next,
                    Err(reason) => break self.finish_log(reason),
                },
                Step::Look => match self.look(source, &sender).await {
                    Ok(same_or_next) => source = same_or_next,
                    Err(reason) => break self.finish_log(reason),
                },
                Step::Silent => self.note_silence(&source),
                Step::CallerGone => break self.finish_log("caller_gone"),
                Step::OutOfTime => break self.finish_log("out_of_time"),
                Step::Cut(bound) => break self.finish_log(bound.as_str()),
            }
        };
        // Dropping the sender breaks the answer off, and dropping the source frees the replica.
        tracing::debug!(id = self.inbound.id, end, "stream over");
    }

    async fn step(&self, source: &mut Source, sender: &BodySender) -> Step {
        let left = self.inbound.remaining();
        tokio::select! {
            biased;
            () = sender.gone() => Step::CallerGone,
            bound = self.inbound.held.cut() => Step::Cut(bound),
            frame = source.incoming.frame() => match frame {
                Some(Ok(frame)) => Step::Part(frame.into_data().unwrap_or_default()),
                Some(Err(error)) => {
                    tracing::debug!(id = self.inbound.id, %error, "a stream broke");
                    Step::Broken("broken")
                }
                None => Step::End,
            },
            () = self.moves.until_look() => Step::Look,
            () = actix_rt::time::sleep(left.min(SILENCE)) => {
                if self.inbound.remaining().is_zero() {
                    Step::OutOfTime
                } else {
                    Step::Silent
                }
            }
        }
    }

    /// Lets others go elsewhere while a replica keeps this stream.
    fn note_silence(&self, source: &Source) {
        if self.work.is_none() {
            return;
        }
        let now = self.gateway.now();
        self.gateway
            .pool
            .borrow_mut()
            .note_failure(&source.backend.id, now);
    }

    /// Notes the pause before an event that has just come.
    fn note_pause(&mut self, source: &Source) {
        let at = Instant::now();
        if let Some(before) = self.event_at.replace(at) {
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

    /// Passes whole events on, or says why no more can be.
    async fn pass_events_on(
        &mut self,
        source: &Source,
        sender: &BodySender,
    ) -> Result<(), &'static str> {
        let mut together = Vec::new();
        while let Some(event) = self.splitter.next_event() {
            self.note(&event, source);
            together.extend_from_slice(&event.raw);
        }
        let held = &self.inbound.held;
        let here = (self.output.len() + together.len()) as u64 + sender.waiting_bytes();
        held.set_answer(here).map_err(HeldBytesLimit::as_str)?;
        if together.is_empty() {
            return Ok(());
        }
        tokio::select! {
            biased;
            bound = held.cut() => Err(bound.as_str()),
            is_taken = sender.send(Bytes::from(together)) => {
                if is_taken { Ok(()) } else { Err("caller_gone") }
            }
            () = self.unread_for_too_long() => {
                held.note_given_up(CALLER_STALLED);
                Err(CALLER_STALLED)
            }
        }
    }

    /// Ends once the caller has left its answer unread for too long, where that is looked at.
    async fn unread_for_too_long(&self) {
        if !self.gateway.config.features.held_bytes() {
            return std::future::pending().await;
        }
        actix_rt::time::sleep(UNREAD_LIMIT).await;
    }

    fn note(&mut self, event: &StreamEvent, source: &Source) {
        if event.id.is_some() {
            self.last_event_id.clone_from(&event.id);
        }
        let Some(data) = &event.data else { return };
        self.events += 1;
        self.moves.note_event(&self.inbound);
        self.note_pause(source);
        if let Some(reservation) = &self.start.reservation {
            reservation.add_delivered(self.tokens_per_event);
        }
        if self.inbound.route.keeps_history {
            self.output.extend_from_slice(data);
            self.output.push(b'\n');
        }
        if let Some(time) = self.wait.over() {
            self.note_expected(time);
            if let Some(reservation) = &self.start.reservation {
                reservation.record_replica(&source.backend.id);
            }
            let mut pool = self.gateway.pool.borrow_mut();
            if !pool.has_restarted(&source.backend) {
                pool.succeeded(&source.backend.id, time);
            }
        }
    }

    /// Makes a turn last before its answer ends as complete.
    async fn complete(&mut self, backend: &Backend, sender: BodySender) -> &'static str {
        self.inbound.held.set_abortable(false);
        if self.inbound.route.keeps_history && !self.keep(backend).await {
            return "not_kept";
        }
        sender.finish();
        let mut lengths = self.gateway.answer_lengths.borrow_mut();
        lengths.note(&self.inbound.route.name, self.events);
        "complete"
    }

    async fn keep(&mut self, backend: &Backend) -> bool {
        let Some(program) = &self.inbound.program else {
            return true;
        };
        let tokens = self.events * self.tokens_per_event;
        let turn = Rc::new(TurnRecord {
            id: self.inbound.turn(),
            program: program.name.clone(),
            ancestors: self
                .start
                .chain
                .iter()
                .map(|turn| turn.id.clone())
                .collect(),
            input: self.inbound.body.to_vec(),
            output: std::mem::take(&mut self.output),
            served_by: Some(backend.id.clone()),
            retention_ms: self.inbound.route.retention_ms,
        });
        let foreign = |turn: &&Rc<TurnRecord>| turn.program != program.name;
        let carried: Vec<Rc<TurnRecord>> =
            self.start.chain.iter().filter(foreign).cloned().collect();
        let began = Instant::now();
        let deadline = self.inbound.deadline;
        let kept = self
            .gateway
            .turns
            .keep(&turn, tokens, &carried, deadline)
            .await;
        let seconds = began.elapsed().as_secs_f64();
        self.gateway.metrics.keep_seconds.observe(seconds);
        if let Err(error) = kept {
            tracing::warn!(id = self.inbound.id, %error, "a turn could not be kept");
            return false;
        }
        if let Some(reservation) = &self.start.reservation {
            reservation.mark_settled();
        }
        self.gateway.turn_cache.borrow_mut().insert(turn);
        true
    }

    /// Lets a stream that broke go on where it broke, when it may: at the same replica, or at
    /// another one when that is gone, since a request counts as run at each replica that is
    /// still there.
    async fn resume(
        &mut self,
        broken: Source,
        reason: &'static str,
    ) -> Result<Source, &'static str> {
        let backend = broken.backend.clone();
        drop(broken);
        self.splitter.clear();
        self.event_at = None;
        if !self.inbound.route.resumable || self.resumptions >= MAX_RESUMPTIONS {
            let mut pool = self.gateway.pool.borrow_mut();
            if !pool.has_restarted(&backend) {
                pool.failed(&backend.id, self.gateway.now());
            }
            return Err(reason);
        }
        self.resumptions += 1;
        tracing::info!(
            id = self.inbound.id,
            replica = %backend.id,
            reason,
            events = self.events,
            "a stream goes on after a break"
        );
        self.extra.last_event_id.clone_from(&self.last_event_id);
        actix_rt::time::sleep(RESUMPTION_PAUSE).await;
        self.moves.note_sent(&self.inbound, &self.attempts);
        let failure = match self.resume_at(&backend).await {
            Ok(source) => return Ok(source),
            Err(failure) => failure,
        };
        let is_gone =
            failure == Failure::Unreachable || !self.gateway.pool.borrow().lists(&backend.id);
        if !is_gone {
            return Err("not_resumed");
        }
        let attempts = self.attempts.besides(backend.id).with_work(self.work);
        let other = choose(&self.gateway, &self.inbound, &attempts, None);
        let other = other.map_err(|_| "nowhere_to_resume")?;
        let resumed = self.resume_at(&other).await;
        resumed.map_err(|_| "not_resumed_elsewhere")
    }

    /// Moves the stream to another replica when its own has been silent for too long.
    async fn look(&mut self, source: Source, sender: &BodySender) -> Result<Source, &'static str> {
        let at = &source.backend;
        let Some(other) = self.moves.look(&self.inbound, at, &self.attempts) else {
            return Ok(source);
        };
        tokio::select! {
            biased;
            () = sender.gone() => Err("caller_gone"),
            moved = self.move_to(source, other) => moved,
        }
    }

    async fn move_to(&mut self, from: Source, mut to: Backend) -> Result<Source, &'static str> {
        self.attempts.note_moved(&from.backend);
        // Frees the former replica before another one goes on with the request.
        drop(from);
        self.splitter.clear();
        self.extra.last_event_id.clone_from(&self.last_event_id);
        loop {
            self.moves.note_sent(&self.inbound, &self.attempts);
            let failure = match self.resume_at(&to).await {
                Ok(source) => return Ok(source),
                Err(failure) => failure,
            };
            self.moves.note_failed(failure);
            let verdict = self.attempts.note(&self.inbound, &to, failure);
            verdict.map_err(|_| "not_moved")?;
            let next = next_replica(&self.gateway, &self.inbound, &mut self.attempts, None);
            to = next.await.map_err(|_| "nowhere_to_move")?;
        }
    }

    async fn resume_at(&self, backend: &Backend) -> Result<Source, Failure> {
        let answer = send(&self.gateway, &self.inbound, backend, &self.extra).await?;
        if !answer.response.status().is_success() {
            return Err(Failure::NotResumed);
        }
        let (head, incoming) = answer.response.into_parts();
        Ok(Source {
            incoming,
            headers: head.headers,
            lease: answer.lease,
            backend: answer.backend,
            _at_replica: answer.at_replica,
        })
    }

    fn finish_log(&self, end: &'static str) -> &'static str {
        self.gateway.metrics.streams.with_label_values(&[end]).inc();
        if let Some(first) = self.wait.delay() {
            let seconds = first.as_secs_f64();
            self.gateway.metrics.answer_seconds.observe(seconds);
        }
        let reservation = self.start.reservation.as_ref();
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
            chain = self.start.chain.len(),
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
