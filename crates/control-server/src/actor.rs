//! The actor that owns the member's logic.

use crate::peers::Peers;
use crate::releases;
use actix::prelude::*;
use luglink_control::{
    ControlError, ControlNode, Input, Output, ReleaseOrder, Request, RequestToken, Response,
};
use luglink_net::{Accepted, FrameSender};
use luglink_storage::FileDisk;
use luglink_types::{EngineId, GroupId, ProgramId, Timestamp};
use luglink_wire::{ClientRole, Frame, decode_body, encode_body};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

/// The client number of requests that come from this process itself.
const OWN_CLIENT: u64 = 0;

/// Time between looks at timers.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Messages that may wait for the actor before senders are held back.
const MAILBOX_CAPACITY: usize = 65_536;

/// Release orders that are under way at once.
const MAX_ORDERS_UNDER_WAY: usize = 256;

/// The time in microseconds since the Unix epoch.
pub(crate) fn now() -> Timestamp {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Timestamp::from_micros(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}

/// Owns the node and the queues of its clients.
pub(crate) struct ControlActor {
    node: ControlNode<FileDisk>,
    peers: Peers,
    clients: BTreeMap<u64, FrameSender>,
    own_requests: BTreeMap<u64, oneshot::Sender<Response>>,
    last_own_request: u64,
    http: awc::Client,
    orders_under_way: BTreeSet<(ProgramId, EngineId)>,
    flush_queued: bool,
    failed: Option<oneshot::Sender<ControlError>>,
}

impl ControlActor {
    pub(crate) fn new(
        node: ControlNode<FileDisk>,
        peers: Peers,
        failed: oneshot::Sender<ControlError>,
    ) -> Self {
        Self {
            node,
            peers,
            clients: BTreeMap::new(),
            own_requests: BTreeMap::new(),
            last_own_request: 0,
            http: awc::Client::default(),
            orders_under_way: BTreeSet::new(),
            flush_queued: false,
            failed: Some(failed),
        }
    }

    /// Gives the node an input. What it leads to comes out of the flush that is queued behind
    /// everything that waits in the mailbox now.
    fn take(&mut self, input: Input, context: &mut Context<Self>) {
        let result = self.node.handle(input, now());
        self.check(result, context);
        self.queue_flush(context);
    }

    fn queue_flush(&mut self, context: &mut Context<Self>) {
        if !self.flush_queued {
            self.flush_queued = true;
            context.notify(Flush);
        }
    }

    /// After a disk failure nobody can tell what is durable: the member stops.
    fn check<T>(
        &mut self,
        result: Result<T, ControlError>,
        context: &mut Context<Self>,
    ) -> Option<T> {
        match result {
            Ok(value) => Some(value),
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

    fn carry_out(&mut self, output: Output, context: &mut Context<Self>) {
        match output {
            Output::Peer { group, envelope } => self.peers.send(group, &envelope),
            Output::Reply { token, response } => self.reply(token, *response),
            Output::Release(order) => self.start_release(order, context),
        }
    }

    fn reply(&mut self, token: RequestToken, response: Response) {
        if token.client == OWN_CLIENT {
            if let Some(waiting) = self.own_requests.remove(&token.request) {
                let _ = waiting.send(response);
            }
            return;
        }
        let Some(client) = self.clients.get(&token.client) else {
            return;
        };
        match encode_body(&response) {
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
            } => match decode_body(&body) {
                Ok(request) => {
                    let token = RequestToken {
                        client: connection,
                        request: correlation,
                    };
                    let request = Box::new(request);
                    self.take(Input::Request { token, request }, context);
                }
                Err(error) => tracing::warn!(%error, "malformed request"),
            },
            Frame::Hello(_) | Frame::Response { .. } => {
                tracing::warn!(connection, "unexpected frame");
            }
        }
    }
}

impl Actor for ControlActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.set_mailbox_capacity(MAILBOX_CAPACITY);
        context.run_interval(TICK_INTERVAL, |actor, context| {
            let time = now();
            if time >= actor.node.next_deadline() {
                let result = actor.node.tick(time);
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
        let result = self.node.flush();
        let Some(outputs) = self.check(result, context) else {
            return;
        };
        for output in outputs {
            self.carry_out(output, context);
        }
    }
}

/// Something happened on the listening socket.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct SocketEvent(pub(crate) Accepted);

impl Handler<SocketEvent> for ControlActor {
    type Result = ();

    fn handle(&mut self, event: SocketEvent, context: &mut Self::Context) {
        match event.0 {
            Accepted::Opened {
                connection,
                hello,
                sender,
            } => {
                if hello.role == ClientRole::Daemon {
                    self.clients.insert(connection, sender);
                }
            }
            Accepted::Frame { connection, frame } => self.on_frame(connection, frame, context),
            Accepted::Closed { connection } => {
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
