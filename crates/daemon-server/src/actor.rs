//! The actor that owns the daemon's logic.

use crate::engines::EngineClient;
use crate::metrics::DaemonMetrics;
use actix::prelude::*;
use luglink_control::{Request, Response};
use luglink_daemon::{Action, Answer, Daemon, Event, OperationId, TicketId};
use luglink_net::{Link, LinkEvent};
use luglink_settings::MemberAddress;
use luglink_types::{MemberId, Revision, Timestamp};
use luglink_wire::{ClientRole, Frame, Hello, PROTOCOL_VERSION, decode_body, encode_body};
use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};

/// Time between looks at timers.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Messages that may wait for the actor before senders are held back.
const MAILBOX_CAPACITY: usize = 65_536;

/// The time in microseconds since the Unix epoch.
fn now() -> Timestamp {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Timestamp::from_micros(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}

/// A caller that waits for an answer.
struct Waiting {
    answers: mpsc::UnboundedSender<Answer>,
    since: Instant,
    first_part_seen: bool,
}

/// Owns the daemon, its links and its waiting callers.
pub(crate) struct DaemonActor {
    daemon: Daemon,
    own: Hello,
    members: Vec<MemberAddress>,
    links: BTreeMap<MemberId, Link>,
    engines: Option<EngineClient>,
    waiting: BTreeMap<TicketId, Waiting>,
    metrics: DaemonMetrics,
    drained: Vec<oneshot::Sender<()>>,
    is_drained: bool,
    poll_interval: Duration,
}

impl DaemonActor {
    pub(crate) fn new(
        daemon: Daemon,
        id: u32,
        members: Vec<MemberAddress>,
        metrics: DaemonMetrics,
        poll_interval: Duration,
    ) -> Self {
        Self {
            daemon,
            own: Hello {
                version: PROTOCOL_VERSION,
                role: ClientRole::Daemon,
                id,
            },
            members,
            links: BTreeMap::new(),
            engines: None,
            waiting: BTreeMap::new(),
            metrics,
            drained: Vec::new(),
            is_drained: false,
            poll_interval,
        }
    }

    fn take(&mut self, event: Event) {
        let actions = self.daemon.handle(event, now());
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Answer { ticket, answer } => self.answer(ticket, answer),
            Action::Control {
                member,
                operation,
                request,
            } => self.send_to_member(member, operation, &request),
            Action::Dispatch(dispatch) => {
                if let Some(engines) = &mut self.engines {
                    engines.dispatch(*dispatch);
                }
            }
            Action::Cancel { attempt } => {
                if let Some(engines) = &mut self.engines {
                    engines.cancel(attempt);
                }
            }
            Action::Drained => {
                self.is_drained = true;
                for waiting in self.drained.drain(..) {
                    let _ = waiting.send(());
                }
            }
        }
    }

    fn answer(&mut self, ticket: TicketId, answer: Answer) {
        let is_part = matches!(answer, Answer::Part(_));
        if let Answer::Refused(refusal) = &answer {
            let code = refusal.code.as_str();
            self.metrics.refusals.with_label_values(&[code]).inc();
        }
        let Some(waiting) = self.waiting.get_mut(&ticket) else {
            return;
        };
        let elapsed = waiting.since.elapsed().as_secs_f64();
        if is_part && !waiting.first_part_seen {
            waiting.first_part_seen = true;
            self.metrics.first_token_seconds.observe(elapsed);
        }
        if matches!(answer, Answer::Completed { .. }) {
            self.metrics.call_seconds.observe(elapsed);
        }
        // A caller that is gone has dropped its end; `CallerGone` follows.
        let _ = waiting.answers.send(answer);
        if !is_part {
            self.waiting.remove(&ticket);
        }
    }

    fn send_to_member(&mut self, member: MemberId, operation: OperationId, request: &Request) {
        let body = match encode_body(request) {
            Ok(body) => body,
            Err(error) => {
                tracing::error!(%error, "cannot encode a request");
                return;
            }
        };
        let sent = self
            .links
            .get(&member)
            .is_some_and(|link| link.send(Frame::request(operation.0, body)));
        if !sent {
            // The logic waits and then asks another member.
            tracing::debug!(%member, "control member not reachable");
        }
    }

    fn open_links(&mut self, context: &mut Context<Self>) {
        for member in &self.members {
            let id = MemberId(member.id);
            let address = context.address();
            let link = Link::open(member.address, self.own, move |event| {
                address.do_send(FromMember { member: id, event });
            });
            self.links.insert(id, link);
        }
    }
}

impl Actor for DaemonActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.set_mailbox_capacity(MAILBOX_CAPACITY);
        self.engines = Some(EngineClient::new(context.address(), self.poll_interval));
        self.open_links(context);
        self.take(Event::Tick);
        context.run_interval(TICK_INTERVAL, |actor, _| {
            if now() >= actor.daemon.next_deadline() {
                actor.take(Event::Tick);
            }
        });
        context.run_interval(self.poll_interval, |actor, _| {
            let replicas = actor.daemon.engine_replicas();
            if let Some(engines) = &mut actor.engines {
                engines.watch(replicas);
            }
        });
    }
}

/// News of a link.
#[derive(Message)]
#[rtype(result = "()")]
struct FromMember {
    member: MemberId,
    event: LinkEvent,
}

impl Handler<FromMember> for DaemonActor {
    type Result = ();

    fn handle(&mut self, message: FromMember, _: &mut Self::Context) {
        match message.event {
            LinkEvent::Disconnected => self.take(Event::MemberUnreachable {
                member: message.member,
            }),
            LinkEvent::Frame(Frame::Response {
                correlation, body, ..
            }) => match decode_body::<Response>(&body) {
                Ok(response) => self.take(Event::Control {
                    operation: OperationId(correlation),
                    response: Box::new(response),
                }),
                Err(error) => tracing::warn!(%error, "malformed response"),
            },
            LinkEvent::Frame(_) => tracing::warn!("unexpected frame from a control member"),
        }
    }
}

/// A caller's request.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct FromCaller {
    pub(crate) ticket: TicketId,
    pub(crate) event: Event,
    pub(crate) answers: mpsc::UnboundedSender<Answer>,
}

impl Handler<FromCaller> for DaemonActor {
    type Result = ();

    fn handle(&mut self, message: FromCaller, _: &mut Self::Context) {
        let waiting = Waiting {
            answers: message.answers,
            since: Instant::now(),
            first_part_seen: false,
        };
        self.waiting.insert(message.ticket, waiting);
        self.take(message.event);
    }
}

/// Any other event.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Happened(pub(crate) Event);

impl Handler<Happened> for DaemonActor {
    type Result = ();

    fn handle(&mut self, message: Happened, _: &mut Self::Context) {
        if let Event::CallerGone { ticket } = message.0 {
            self.waiting.remove(&ticket);
        }
        if let Event::Engine { attempt, ref event } = message.0 {
            let is_part = matches!(event, luglink_daemon::EngineEvent::Part(_));
            if let Some(engines) = self.engines.as_mut().filter(|_| !is_part) {
                engines.forget(attempt);
            }
        }
        self.take(message.0);
    }
}

/// Asks whether the daemon can serve.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct IsReady;

impl Handler<IsReady> for DaemonActor {
    type Result = bool;

    fn handle(&mut self, _: IsReady, _: &mut Self::Context) -> bool {
        self.daemon.is_ready()
    }
}

/// Asks for the revision of the configuration in force.
#[derive(Message)]
#[rtype(result = "Revision")]
pub(crate) struct AskRevision;

impl Handler<AskRevision> for DaemonActor {
    type Result = MessageResult<AskRevision>;

    fn handle(&mut self, _: AskRevision, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.daemon.configuration().revision())
    }
}

/// Asks for the metrics.
#[derive(Message)]
#[rtype(result = "Option<String>")]
pub(crate) struct RenderMetrics;

impl Handler<RenderMetrics> for DaemonActor {
    type Result = Option<String>;

    fn handle(&mut self, _: RenderMetrics, _: &mut Self::Context) -> Option<String> {
        let rendered = self.metrics.render(&self.daemon);
        if let Err(error) = &rendered {
            tracing::error!(%error, "cannot write metrics");
        }
        rendered.ok()
    }
}

/// Starts a planned stop; answered once every accepted request is.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Drain(pub(crate) oneshot::Sender<()>);

impl Handler<Drain> for DaemonActor {
    type Result = ();

    fn handle(&mut self, message: Drain, _: &mut Self::Context) {
        if self.is_drained {
            let _ = message.0.send(());
            return;
        }
        self.drained.push(message.0);
        self.take(Event::Drain);
    }
}

/// Stops at once.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Halt;

impl Handler<Halt> for DaemonActor {
    type Result = ();

    fn handle(&mut self, _: Halt, context: &mut Self::Context) {
        self.links.clear();
        self.engines = None;
        self.waiting.clear();
        context.stop();
    }
}
