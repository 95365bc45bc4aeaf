//! The actor that owns the control node.

use crate::peers::Peers;
use crate::releases;
use crate::reports::ReportService;
use actix::prelude::*;
use luglink_control::{
    ControlError, ControlNode, Input, Leadership, Output, ReleaseOrder, Request, RequestParts,
    RequestToken, Response, ResponseParts,
};
use luglink_fleet::{BackendList, BackendReport, ReplicaIncarnation, ReplicaVersion};
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

/// Client number of requests from within this process.
const LOCAL_CLIENT: u64 = 0;

/// Interval at which the timers of the node are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Capacity of the mailbox. While it is full, queries wait and operator calls are refused.
const MAILBOX_CAPACITY: usize = 65_536;

/// Maximum number of release orders in flight at the same time.
const MAX_RELEASES_IN_FLIGHT: usize = 256;

/// Origin of the process's clock: the wall clock and the monotonic clock at the same moment.
static CLOCK_ORIGIN: OnceLock<(Duration, Instant)> = OnceLock::new();

/// Returns the time since the Unix epoch in microseconds: the wall clock when it was first read,
/// advanced by the monotonic clock. A step of the wall clock must not affect leases and elections.
pub(crate) fn now() -> Timestamp {
    let (at_start, start) = CLOCK_ORIGIN.get_or_init(|| {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        (wall.unwrap_or_default(), Instant::now())
    });
    let time = *at_start + start.elapsed();
    Timestamp::from_micros(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
}

/// Loads the node from its disk.
pub(crate) type Reopen = Box<dyn Fn() -> Result<ControlNode<FileDisk>, ControlError>>;

/// Interval of attempts to load the node from a failing disk. The pause spares the disk further
/// load.
const REOPEN_INTERVAL: Duration = Duration::from_millis(250);

/// Owns the node and the connections of its clients.
pub(crate) struct ControlActor {
    /// The node; `None` while its disk cannot be used.
    node: Option<ControlNode<FileDisk>>,
    reopen: Option<Reopen>,
    reopen_at: Timestamp,
    peers: Peers,
    /// Crash reports; `None` for a member with a fixed set of members, which has no gateways.
    reports: Option<ReportService>,
    clients: BTreeMap<u64, FrameSender>,
    local_requests: BTreeMap<u64, oneshot::Sender<Response>>,
    last_local_request: u64,
    http: awc::Client,
    releases_in_flight: BTreeSet<(ProgramId, EngineId)>,
    flush_queued: bool,
    /// Leadership that was last logged.
    logged_leadership: Leadership,
    failed: Option<oneshot::Sender<ControlError>>,
}

impl ControlActor {
    /// Creates an actor that stops when its disk fails.
    pub(crate) fn new(
        node: ControlNode<FileDisk>,
        peers: Peers,
        failed: oneshot::Sender<ControlError>,
    ) -> Self {
        Self::build(Some(node), peers, Some(failed), None, None)
    }

    /// Creates an actor without a node, which loads it from the disk at the start and after each
    /// disk failure. While there is no node, all requests are answered as unavailable.
    pub(crate) fn with_reopen(peers: Peers, reopen: Reopen, reports: ReportService) -> Self {
        Self::build(None, peers, None, Some(reopen), Some(reports))
    }

    fn build(
        node: Option<ControlNode<FileDisk>>,
        peers: Peers,
        failed: Option<oneshot::Sender<ControlError>>,
        reopen: Option<Reopen>,
        reports: Option<ReportService>,
    ) -> Self {
        Self {
            node,
            reopen,
            reopen_at: now(),
            peers,
            reports,
            clients: BTreeMap::new(),
            local_requests: BTreeMap::new(),
            last_local_request: 0,
            http: awc::Client::default(),
            releases_in_flight: BTreeSet::new(),
            flush_queued: false,
            logged_leadership: Leadership::default(),
            failed,
        }
    }

    /// Returns the node; `None` while its disk cannot be used.
    pub(crate) fn node(&self) -> Option<&ControlNode<FileDisk>> {
        self.node.as_ref()
    }

    /// Passes an input to the node. Its outputs are executed by a flush, which is queued behind all
    /// messages that are in the mailbox now.
    fn handle_input(&mut self, input: Input, context: &mut Context<Self>) {
        let Some(node) = self.node.as_mut() else {
            self.reject(input);
            return;
        };
        let result = node.handle(input, now());
        self.check_result(result, context);
        self.queue_flush(context);
    }

    /// Answers a request as unavailable: without its disk the member has no reliable state.
    fn reject(&mut self, input: Input) {
        if let Input::Request { token, .. } | Input::ExtendedRequest { token, .. } = input {
            let reason = "this member's disk cannot be used".to_owned();
            let response = Response::Unavailable { reason };
            self.reply(token, response, &ResponseParts::default());
        }
    }

    /// Loads the node again if there is none, at most once per `REOPEN_INTERVAL`.
    fn try_reopen(&mut self) {
        let Some(reopen) = self.reopen.as_ref() else {
            return;
        };
        if self.node.is_some() || now() < self.reopen_at {
            return;
        }
        self.reopen_at = now().plus(REOPEN_INTERVAL);
        match reopen() {
            Ok(node) => {
                tracing::info!(peer = %node.peer(), "control member loaded from disk");
                self.node = Some(node);
            }
            Err(error) => tracing::warn!(%error, "cannot load the control member from disk"),
        }
    }

    fn queue_report_sync(&mut self, context: &mut Context<Self>) {
        let reports = self.reports.as_ref();
        if reports.is_some_and(ReportService::awaits_sync) {
            self.queue_flush(context);
        }
    }

    fn queue_flush(&mut self, context: &mut Context<Self>) {
        if !self.flush_queued {
            self.flush_queued = true;
            context.notify(Flush);
        }
    }

    /// Handles a failure of the node. It is unknown then which writes are durable, so the actor
    /// either stops, or discards the node and loads it from the disk again.
    fn check_result<T>(
        &mut self,
        result: Result<T, ControlError>,
        context: &mut Context<Self>,
    ) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(error) if self.reopen.is_some() => {
                tracing::error!(%error, "control member failed, loading it from disk again");
                self.node = None;
                self.reopen_at = now().plus(REOPEN_INTERVAL);
                // Their responses would come from the discarded node and never arrive.
                self.local_requests.clear();
                None
            }
            Err(error) => {
                tracing::error!(%error, "control member failed, stopping it");
                if let Some(failed) = self.failed.take() {
                    let _ = failed.send(error);
                }
                context.stop();
                None
            }
        }
    }

    fn flush_node(&mut self, context: &mut Context<Self>) {
        let Some(result) = self.node.as_mut().map(ControlNode::flush) else {
            return;
        };
        let Some(outputs) = self.check_result(result, context) else {
            return;
        };
        for output in outputs {
            self.execute_output(output, context);
        }
        self.log_leadership();
    }

    /// Logs the leadership of the configuration group if it has changed.
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
            "leadership of the configuration group changed"
        );
    }

    fn execute_output(&mut self, output: Output, context: &mut Context<Self>) {
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
        if token.client == LOCAL_CLIENT {
            if let Some(waiting) = self.local_requests.remove(&token.request) {
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
        let full = self.releases_in_flight.len() >= MAX_RELEASES_IN_FLIGHT;
        if full || !self.releases_in_flight.insert(subject) {
            return;
        }
        let work = releases::send_order(self.http.clone(), order).into_actor(self);
        context.spawn(work.map(move |confirmed, actor, context| {
            actor.releases_in_flight.remove(&subject);
            if let Some(request) = confirmed {
                let token = actor.local_token();
                let request = Box::new(request);
                actor.handle_input(Input::Request { token, request }, context);
            }
        }));
    }

    fn local_token(&mut self) -> RequestToken {
        self.last_local_request += 1;
        RequestToken {
            client: LOCAL_CLIENT,
            request: self.last_local_request,
        }
    }

    /// Answers a request that cannot be decoded, which a newer build may have sent. Its sender then
    /// retries with another member at once instead of running into its timeout.
    fn reject_undecodable(&mut self, token: RequestToken, error: &WireError) {
        tracing::warn!(connection = token.client, %error, "cannot decode a request");
        let reason = format!("this build does not know the request: {error}");
        self.reply(
            token,
            Response::Unavailable { reason },
            &ResponseParts::default(),
        );
    }

    fn on_frame(&mut self, connection: u64, frame: Frame, context: &mut Context<Self>) {
        let reports = self.reports.as_mut();
        if let Some(reports) = reports.filter(|reports| reports.has_client(connection)) {
            let node = self.node.as_ref();
            let membership = node.and_then(ControlNode::membership_version);
            reports.on_frame(connection, frame, membership, now());
            self.queue_report_sync(context);
            return;
        }
        match frame {
            Frame::Peer { group, body, .. } => match decode_body(&body) {
                Ok(envelope) => {
                    let group = GroupId(group);
                    let envelope = Box::new(envelope);
                    self.handle_input(Input::Peer { group, envelope }, context);
                }
                Err(error) => tracing::warn!(%error, "cannot decode a consensus message"),
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
                        let parts = Box::new(decode_parts(&parts));
                        let input = Input::ExtendedRequest {
                            token,
                            request,
                            parts,
                        };
                        self.handle_input(input, context);
                    }
                    Err(error) => self.reject_undecodable(token, &error),
                }
            }
            Frame::Hello(_) | Frame::Response { .. } => {
                tracing::warn!(connection, "ignored an unexpected frame of a client");
            }
        }
    }
}

/// Decodes the optional parts of a request. If one cannot be decoded, the request is handled
/// without parts.
fn decode_parts(parts: &Parts) -> RequestParts {
    RequestParts::decode(parts).unwrap_or_else(|error| {
        tracing::warn!(%error, "cannot decode the optional parts of a request");
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
            if let Some(reports) = &mut actor.reports {
                reports.tick(time);
            }
            actor.queue_report_sync(context);
            let due = actor
                .node
                .as_mut()
                .filter(|node| time >= node.next_deadline());
            if let Some(result) = due.map(|node| node.tick(time)) {
                actor.check_result(result, context);
                actor.queue_flush(context);
            }
        });
    }
}

/// Persists the handled inputs and crash reports, and executes the outputs.
#[derive(Message)]
#[rtype(result = "()")]
struct Flush;

impl Handler<Flush> for ControlActor {
    type Result = ();

    fn handle(&mut self, _: Flush, context: &mut Self::Context) {
        self.flush_queued = false;
        self.flush_node(context);
        if let Some(reports) = &mut self.reports
            && reports.awaits_sync()
        {
            reports.sync();
        }
    }
}

/// Event of the listening socket.
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
            } => match (hello.role, &mut self.reports) {
                (ClientRole::Member, _) => {}
                (ClientRole::ReportClient, Some(reports)) => reports.connect(connection, sender),
                _ => {
                    self.clients.insert(connection, sender);
                }
            },
            ListenerEvent::Frame { connection, frame } => self.on_frame(connection, frame, context),
            ListenerEvent::Closed { connection } => {
                if let Some(reports) = &mut self.reports {
                    reports.disconnect(connection, now());
                }
                self.queue_report_sync(context);
                self.clients.remove(&connection);
                self.handle_input(Input::ClientDisconnected { client: connection }, context);
            }
        }
    }
}

/// Request from within this process.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct LocalRequest {
    pub(crate) request: Request,
    pub(crate) answer: oneshot::Sender<Response>,
}

impl Handler<LocalRequest> for ControlActor {
    type Result = ();

    fn handle(&mut self, local: LocalRequest, context: &mut Self::Context) {
        let token = self.local_token();
        self.local_requests.insert(token.request, local.answer);
        let request = Box::new(local.request);
        self.handle_input(Input::Request { token, request }, context);
    }
}

/// Stops the actor at once, as a crash would.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Halt;

impl Handler<Halt> for ControlActor {
    type Result = ();

    fn handle(&mut self, _: Halt, context: &mut Self::Context) {
        context.stop();
    }
}

/// Applies an update that the leader sent.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ApplyLeaderUpdate {
    pub(crate) report: Option<BackendReport>,
    pub(crate) gateways: u32,
    pub(crate) incarnations: Vec<ReplicaIncarnation>,
    pub(crate) replica_versions: Vec<ReplicaVersion>,
}

impl Handler<ApplyLeaderUpdate> for ControlActor {
    type Result = ();

    fn handle(&mut self, update: ApplyLeaderUpdate, context: &mut Self::Context) {
        let ApplyLeaderUpdate {
            report,
            gateways,
            incarnations,
            replica_versions,
        } = update;
        self.handle_input(Input::LeaderUpdate { report, gateways }, context);
        if !incarnations.is_empty() {
            self.handle_input(Input::LeaderIncarnations(incarnations), context);
        }
        if !replica_versions.is_empty() {
            let versions = Input::LeaderReplicaVersions(replica_versions);
            self.handle_input(versions, context);
        }
    }
}

/// Applies the platform's list of replicas, as it was just read.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ApplyBackendList {
    pub(crate) list: BackendList,
    /// Time since the read began.
    pub(crate) age: Duration,
}

impl Handler<ApplyBackendList> for ControlActor {
    type Result = ();

    fn handle(&mut self, update: ApplyBackendList, context: &mut Self::Context) {
        let ApplyBackendList { list, age } = update;
        self.handle_input(Input::Backends { list, age }, context);
    }
}
