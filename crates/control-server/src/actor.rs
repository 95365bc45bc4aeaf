//! The actor that owns the member's logic.

use crate::peers::Peers;
use crate::releases;
use actix::prelude::*;
use luglink_control::{
    ControlError, ControlNode, Input, Leadership, Output, ReleaseOrder, Request, RequestParts,
    RequestToken, Response, ResponseParts,
};
use luglink_fleet::{BackendList, BackendReport, ReplicaIncarnation};
use luglink_net::{FrameSender, ListenerEvent};
use luglink_storage::FileDisk;
use luglink_types::{EngineId, GroupId, ProgramId, Timestamp};
use luglink_wire::{
    ClientRole, Frame, Parts, WireError, decode_body, decode_with_parts, encode_with_parts,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

/// The client number of requests that come from this process itself.
const OWN_CLIENT: u64 = 0;

/// Time between looks at timers.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Messages that may wait for the actor before senders are held back.
const MAILBOX_CAPACITY: usize = 65_536;

/// Release orders that are under way at once.
const MAX_ORDERS_UNDER_WAY: usize = 256;

/// Where this process's clock begins: the time of day, and the steady clock's at that moment.
static ORIGIN: OnceLock<(Duration, Instant)> = OnceLock::new();

/// The time in microseconds since the Unix epoch, as it was at the process's start and counted
/// steadily from there: a step of the time of day must not run into leases and elections.
pub(crate) fn now() -> Timestamp {
    let (at_start, start) = ORIGIN.get_or_init(|| {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        (wall.unwrap_or_default(), Instant::now())
    });
    let time = *at_start + start.elapsed();
    Timestamp::from_micros(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
}

/// Reads the member from its disk.
pub(crate) type Reopen = Box<dyn Fn() -> Result<ControlNode<FileDisk>, ControlError>>;

/// Time between tries to read the member from a disk that fails.
const REOPEN_INTERVAL: Duration = Duration::from_millis(250);

/// Owns the node and the queues of its clients.
pub(crate) struct ControlActor {
    /// The member; `None` while its disk cannot be used.
    node: Option<ControlNode<FileDisk>>,
    reopen: Option<Reopen>,
    reopen_due: Timestamp,
    peers: Peers,
    clients: BTreeMap<u64, FrameSender>,
    own_requests: BTreeMap<u64, oneshot::Sender<Response>>,
    last_own_request: u64,
    http: awc::Client,
    orders_under_way: BTreeSet<(ProgramId, EngineId)>,
    flush_queued: bool,
    /// The leadership that was last written to the log.
    logged_leadership: Leadership,
    failed: Option<oneshot::Sender<ControlError>>,
}

impl ControlActor {
    /// An actor that stops when its disk fails.
    pub(crate) fn new(
        node: ControlNode<FileDisk>,
        peers: Peers,
        failed: oneshot::Sender<ControlError>,
    ) -> Self {
        Self::with(Some(node), peers, Some(failed), None)
    }

    /// An actor that reads its member anew from its disk when that fails, and until then answers
    /// that it is not available. It may start without one.
    pub(crate) fn reopening(peers: Peers, reopen: Reopen) -> Self {
        Self::with(None, peers, None, Some(reopen))
    }

    fn with(
        node: Option<ControlNode<FileDisk>>,
        peers: Peers,
        failed: Option<oneshot::Sender<ControlError>>,
        reopen: Option<Reopen>,
    ) -> Self {
        Self {
            node,
            reopen,
            reopen_due: now(),
            peers,
            clients: BTreeMap::new(),
            own_requests: BTreeMap::new(),
            last_own_request: 0,
            http: awc::Client::default(),
            orders_under_way: BTreeSet::new(),
            flush_queued: false,
            logged_leadership: Leadership::default(),
            failed,
        }
    }

    /// The member; `None` while its disk cannot be used.
    pub(crate) fn node(&self) -> Option<&ControlNode<FileDisk>> {
        self.node.as_ref()
    }

    /// Gives the node an input. What it leads to comes out of the flush that is queued behind
    /// everything that waits in the mailbox now.
    fn take(&mut self, input: Input, context: &mut Context<Self>) {
        let Some(node) = self.node.as_mut() else {
            self.refuse(input);
            return;
        };
        let result = node.handle(input, now());
        self.check(result, context);
        self.queue_flush(context);
    }

    /// Without its disk the member knows nothing for certain.
    fn refuse(&mut self, input: Input) {
        if let Input::Request { token, .. } | Input::ExtendedRequest { token, .. } = input {
            let reason = "this member's disk cannot be used".to_owned();
            let response = Response::Unavailable { reason };
            self.reply(token, response, &ResponseParts::default());
        }
    }

    /// Reads the member anew, after a pause that leaves a failing disk alone.
    fn try_reopen(&mut self) {
        let Some(reopen) = self.reopen.as_ref() else {
            return;
        };
        if self.node.is_some() || now() < self.reopen_due {
            return;
        }
        self.reopen_due = now().plus(REOPEN_INTERVAL);
        match reopen() {
            Ok(node) => {
                tracing::info!(peer = %node.peer(), "the control member has read its disk");
                self.node = Some(node);
            }
            Err(error) => tracing::warn!(%error, "the control member cannot use its disk"),
        }
    }

    fn queue_flush(&mut self, context: &mut Context<Self>) {
        if !self.flush_queued {
            self.flush_queued = true;
            context.notify(Flush);
        }
    }

    /// After a disk failure nobody can tell what is durable: the member stops, or forgets what
    /// it holds in memory and goes on with what its disk gives back.
    fn check<T>(
        &mut self,
        result: Result<T, ControlError>,
        context: &mut Context<Self>,
    ) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(error) if self.reopen.is_some() => {
                tracing::error!(%error, "the control member lost its disk");
                self.node = None;
                self.reopen_due = now().plus(REOPEN_INTERVAL);
                // Those who wait for an answer of the lost state must not wait for ever.
                self.own_requests.clear();
                None
            }
            Err(error) => {
                tracing::error!(%error, "the control member stops");
                if let Some(failed) = self.failed.take() {
                    let _ = failed.send(error);
                }
                context.stop();
                None
            }
        }
    }

    /// Writes a changed leadership to the log.
    fn log_leadership(&mut self) {
        let Some(leadership) = self.node.as_ref().map(ControlNode::leadership) else {
            return;
        };
        if leadership == self.logged_leadership {
            return;
        }
        self.logged_leadership = leadership;
        tracing::info!(
            term = leadership.term,
            leader = leadership.leader.map(|leader| leader.to_string()),
            voters = leadership.voters,
            learners = leadership.learners,
            "leadership of the configuration"
        );
    }

    fn carry_out(&mut self, output: Output, context: &mut Context<Self>) {
        match output {
            Output::Peer { group, envelope } => self.peers.send(group, &envelope),
            Output::Reply {
                token,
                response,
                parts,
            } => self.reply(token, *response, &parts),
            Output::Release(order) => self.start_release(order, context),
        }
    }

    fn reply(&mut self, token: RequestToken, response: Response, parts: &ResponseParts) {
        if token.client == OWN_CLIENT {
            if let Some(waiting) = self.own_requests.remove(&token.request) {
                let _ = waiting.send(response);
            }
            return;
        }
        let Some(client) = self.clients.get(&token.client) else {
            return;
        };
        let encoded = parts.encode();
        match encoded.and_then(|parts| encode_with_parts(&response, &parts)) {
            Ok(body) => {
                client.send(Frame::response(token.request, body));
            }
            Err(error) => tracing::error!(%error, "cannot encode a response"),
        }
    }

    fn start_release(&mut self, order: ReleaseOrder, context: &mut Context<Self>) {
        let subject = (order.program, order.engine);
        let full = self.orders_under_way.len() >= MAX_ORDERS_UNDER_WAY;
        if full || !self.orders_under_way.insert(subject) {
            return;
        }
        let work = releases::order(self.http.clone(), order).into_actor(self);
        context.spawn(work.map(move |confirmed, actor, context| {
            actor.orders_under_way.remove(&subject);
            if let Some(request) = confirmed {
                let token = actor.own_token();
                let request = Box::new(request);
                actor.take(Input::Request { token, request }, context);
            }
        }));
    }

    fn own_token(&mut self) -> RequestToken {
        self.last_own_request += 1;
        RequestToken {
            client: OWN_CLIENT,
            request: self.last_own_request,
        }
    }

    /// Answers a request that a newer build may have sent: its sender asks another member at once
    /// instead of waiting for an answer that never comes.
    fn decline_unknown(&mut self, token: RequestToken, error: &WireError) {
        tracing::warn!(connection = token.client, %error, "a request cannot be understood");
        let reason = format!("this build does not know the request: {error}");
        self.reply(
            token,
            Response::Unavailable { reason },
            &ResponseParts::default(),
        );
    }

    fn on_frame(&mut self, connection: u64, frame: Frame, context: &mut Context<Self>) {
        match frame {
            Frame::Peer { group, body, .. } => match decode_body(&body) {
                Ok(envelope) => {
                    let group = GroupId(group);
                    let envelope = Box::new(envelope);
                    self.take(Input::Peer { group, envelope }, context);
                }
                Err(error) => tracing::warn!(%error, "malformed consensus message"),
            },
            Frame::Request {
                correlation, body, ..
            } => {
                let token = RequestToken {
                    client: connection,
                    request: correlation,
                };
                match decode_with_parts(&body) {
                    Ok((request, parts)) => {
                        let request = Box::new(request);
                        let parts = Box::new(read_parts(&parts));
                        let input = Input::ExtendedRequest {
                            token,
                            request,
                            parts,
                        };
                        self.take(input, context);
                    }
                    Err(error) => self.decline_unknown(token, &error),
                }
            }
            Frame::Hello(_) | Frame::Response { .. } => {
                tracing::warn!(connection, "unexpected frame");
            }
        }
    }
}

/// What follows a request. A part that cannot be read is passed over: the request stands without.
fn read_parts(parts: &Parts) -> RequestParts {
    RequestParts::decode(parts).unwrap_or_else(|error| {
        tracing::warn!(%error, "the parts behind a request cannot be read");
        RequestParts::default()
    })
}

impl Actor for ControlActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.set_mailbox_capacity(MAILBOX_CAPACITY);
        context.run_interval(TICK_INTERVAL, |actor, context| {
            let time = now();
            actor.peers.close_unused();
            actor.try_reopen();
            let due = actor
                .node
                .as_mut()
                .filter(|node| time >= node.next_deadline());
            if let Some(result) = due.map(|node| node.tick(time)) {
                actor.check(result, context);
                actor.queue_flush(context);
            }
        });
    }
}

/// Makes everything that was taken durable and carries out what follows.
#[derive(Message)]
#[rtype(result = "()")]
struct Flush;

impl Handler<Flush> for ControlActor {
    type Result = ();

    fn handle(&mut self, _: Flush, context: &mut Self::Context) {
        self.flush_queued = false;
        let Some(result) = self.node.as_mut().map(ControlNode::flush) else {
            return;
        };
        let Some(outputs) = self.check(result, context) else {
            return;
        };
        for output in outputs {
            self.carry_out(output, context);
        }
        self.log_leadership();
    }
}

/// Something happened on the listening socket.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct SocketEvent(pub(crate) ListenerEvent);

impl Handler<SocketEvent> for ControlActor {
    type Result = ();

    fn handle(&mut self, event: SocketEvent, context: &mut Self::Context) {
        match event.0 {
            ListenerEvent::Opened {
                connection,
                hello,
                sender,
            } => {
                if hello.role != ClientRole::Member {
                    self.clients.insert(connection, sender);
                }
            }
            ListenerEvent::Frame { connection, frame } => self.on_frame(connection, frame, context),
            ListenerEvent::Closed { connection } => {
                self.clients.remove(&connection);
                self.take(Input::ClientGone { client: connection }, context);
            }
        }
    }
}

/// A request from this process.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct OwnRequest {
    pub(crate) request: Request,
    pub(crate) answer: oneshot::Sender<Response>,
}

impl Handler<OwnRequest> for ControlActor {
    type Result = ();

    fn handle(&mut self, own: OwnRequest, context: &mut Self::Context) {
        let token = self.own_token();
        self.own_requests.insert(token.request, own.answer);
        let request = Box::new(own.request);
        self.take(Input::Request { token, request }, context);
    }
}

/// Stops the actor without a word to anyone, as a crash would.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Halt;

impl Handler<Halt> for ControlActor {
    type Result = ();

    fn handle(&mut self, _: Halt, context: &mut Self::Context) {
        context.stop();
    }
}

/// What the leader told.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct TakeLeaderNews {
    pub(crate) report: Option<BackendReport>,
    pub(crate) gateways: u32,
    pub(crate) incarnations: Vec<ReplicaIncarnation>,
}

impl Handler<TakeLeaderNews> for ControlActor {
    type Result = ();

    fn handle(&mut self, news: TakeLeaderNews, context: &mut Self::Context) {
        let TakeLeaderNews {
            report,
            gateways,
            incarnations,
        } = news;
        self.take(Input::LeaderNews { report, gateways }, context);
        if !incarnations.is_empty() {
            self.take(Input::LeaderIncarnations(incarnations), context);
        }
    }
}

/// The platform's list as it was just read.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct TakeBackends {
    pub(crate) list: BackendList,
    /// Time since the reading began.
    pub(crate) age: Duration,
}

impl Handler<TakeBackends> for ControlActor {
    type Result = ();

    fn handle(&mut self, taken: TakeBackends, context: &mut Self::Context) {
        let TakeBackends { list, age } = taken;
        self.take(Input::Backends { list, age }, context);
    }
}
