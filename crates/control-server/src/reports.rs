//! Service of crash reports for gateways that reach no quorum of turn stores.

use crate::errors::ControlServerError;
use luglink_net::FrameSender;
use luglink_storage::FileDisk;
use luglink_turns::{Chain, CrashRequest, CrashResponse, HolderView, ReportHolder, StoreResponse};
use luglink_types::Timestamp;
use luglink_wire::{Frame, WireError, decode_with_parts, encode_body, encode_with_parts};
use std::collections::BTreeMap;
use std::time::Duration;

/// Opens the reports on disk.
pub(crate) type OpenReports =
    Box<dyn Fn(Timestamp) -> Result<ReportHolder<FileDisk>, ControlServerError>>;

/// Interval of attempts to open the reports on a disk that fails.
const REOPEN_INTERVAL: Duration = Duration::from_millis(250);

/// Crash reports of a member, and the gateways that are connected to it.
pub(crate) struct ReportService {
    open: OpenReports,
    /// The reports; `None` while the disk cannot be used.
    holder: Option<ReportHolder<FileDisk>>,
    reopen_at: Timestamp,
    clients: BTreeMap<u64, FrameSender>,
    /// Clients that the latest update of each gateway's session came from.
    sessions: BTreeMap<u64, u64>,
    /// Responses that acknowledge reports which are not synced yet.
    unsynced_replies: Vec<UnsyncedReply>,
}

/// Response that is sent once the reports are synced.
struct UnsyncedReply {
    client: u64,
    correlation: u64,
    response: CrashResponse,
}

/// Answer to a request, by when it may be sent.
enum Answer {
    Now(CrashResponse),
    OnceSynced(CrashResponse),
}

impl ReportService {
    pub(crate) fn new(open: OpenReports) -> Self {
        Self {
            open,
            holder: None,
            reopen_at: Timestamp::ZERO,
            clients: BTreeMap::new(),
            sessions: BTreeMap::new(),
            unsynced_replies: Vec::new(),
        }
    }

    pub(crate) fn connect(&mut self, client: u64, sender: FrameSender) {
        self.clients.insert(client, sender);
    }

    pub(crate) fn has_client(&self, client: u64) -> bool {
        self.clients.contains_key(&client)
    }

    /// Puts the runs of a gateway in doubt whose connection has ended, unless it has another one.
    pub(crate) fn disconnect(&mut self, client: u64, now: Timestamp) {
        self.clients.remove(&client);
        let ended = self.sessions.extract_if(.., |_, latest| *latest == client);
        let ended: Vec<u64> = ended.map(|(session, _)| session).collect();
        if let Some(holder) = &mut self.holder {
            for session in ended {
                holder.end_session(session, now);
            }
        }
    }

    /// Handles a frame of a gateway. `membership` is the version of the membership of the control
    /// members that this member knows; `None` if it knows none.
    pub(crate) fn on_frame(
        &mut self,
        client: u64,
        frame: Frame,
        membership: Option<u64>,
        now: Timestamp,
    ) {
        let Frame::Request {
            correlation, body, ..
        } = frame
        else {
            tracing::warn!(client, "unexpected frame from gateway");
            return;
        };
        match self.answer(client, &body, membership, now) {
            Ok(Answer::Now(response)) => {
                self.send(client, correlation, encode_response(&response));
            }
            Ok(Answer::OnceSynced(response)) => self.unsynced_replies.push(UnsyncedReply {
                client,
                correlation,
                response,
            }),
            Err(reason) => self.fail(client, correlation, reason),
        }
        self.note_events();
    }

    /// Returns true if [`ReportService::sync`] has something to do.
    pub(crate) fn awaits_sync(&self) -> bool {
        let holder = self.holder.as_ref();
        !self.unsynced_replies.is_empty() || holder.is_some_and(ReportHolder::awaits_sync)
    }

    /// Syncs the reports that were kept since the last call, and sends the responses that waited for it.
    pub(crate) fn sync(&mut self) {
        let Some(holder) = &mut self.holder else {
            return;
        };
        let synced = holder.sync();
        for reply in std::mem::take(&mut self.unsynced_replies) {
            match &synced {
                Ok(()) => {
                    let body = encode_response(&reply.response);
                    self.send(reply.client, reply.correlation, body);
                }
                Err(error) => {
                    let reason = format!("cannot make crash reports durable: {error}");
                    self.fail(reply.client, reply.correlation, reason);
                }
            }
        }
        self.note_events();
    }

    fn fail(&self, client: u64, correlation: u64, reason: String) {
        let body = encode_body(&StoreResponse::Failed { reason });
        self.send(client, correlation, body);
    }

    fn send(&self, client: u64, correlation: u64, body: Result<Vec<u8>, WireError>) {
        match body {
            Ok(body) => {
                if let Some(sender) = self.clients.get(&client) {
                    sender.send(Frame::response(correlation, body));
                }
            }
            Err(error) => tracing::error!(%error, "cannot encode response to gateway"),
        }
    }

    fn answer(
        &mut self,
        client: u64,
        body: &[u8],
        membership: Option<u64>,
        now: Timestamp,
    ) -> Result<Answer, String> {
        let (request, client_membership) = decode_request(body).map_err(|error| {
            tracing::warn!(client, %error, "cannot decode request from gateway");
            error.to_string()
        })?;
        let request = request.ok_or("the request is not about crash reports")?;
        let membership = membership.ok_or("this member knows no other members")?;
        let holder = self.holder.as_mut();
        let holder = holder.ok_or("this member's disk cannot be used")?;
        if let CrashRequest::Update(update) = &request {
            self.sessions.insert(update.session, client);
        }
        let handled = holder.handle(client_membership, membership, &request, now);
        let response = handled.map_err(|error| {
            tracing::info!(
                %error,
                client_membership,
                membership,
                "refused a request about crash reports"
            );
            error.to_string()
        })?;
        Ok(match request.needs_sync() {
            true => Answer::OnceSynced(response),
            false => Answer::Now(response),
        })
    }

    /// Opens the reports if necessary, and puts runs of silent gateways in doubt.
    pub(crate) fn tick(&mut self, now: Timestamp) {
        match &mut self.holder {
            Some(holder) => {
                if let Err(error) = holder.tick(now) {
                    tracing::error!(%error, "cannot write that all crash reports are held");
                }
            }
            None if now >= self.reopen_at => self.try_open(now),
            None => {}
        }
        self.note_events();
    }

    fn try_open(&mut self, now: Timestamp) {
        self.reopen_at = now.plus(REOPEN_INTERVAL);
        match (self.open)(now) {
            Ok(holder) => {
                let requests = holder.report_count();
                tracing::info!(requests, "crash reports loaded from disk");
                self.holder = Some(holder);
            }
            Err(error) => tracing::warn!(%error, "cannot load crash reports from disk"),
        }
    }

    fn note_events(&mut self) {
        let Some(holder) = &mut self.holder else {
            return;
        };
        let events = holder.take_run_events();
        if events.lost_runs > 0 {
            let runs = events.lost_runs;
            tracing::info!(runs, "runs of a lost gateway are in doubt");
        }
        if let Some(error) = events.write_failure {
            tracing::error!(error, "cannot write reports of runs");
        }
    }
}

fn decode_request(body: &[u8]) -> Result<(Option<CrashRequest>, Option<u64>), WireError> {
    let (_, parts) = decode_with_parts::<luglink_turns::StoreRequest>(body)?;
    let membership = HolderView::decode_membership(&parts)?;
    Ok((CrashRequest::decode(&parts)?, membership))
}

fn encode_response(response: &CrashResponse) -> Result<Vec<u8>, WireError> {
    // The message that carries the parts, as at turn stores.
    let message = StoreResponse::Chain(Chain::Absent { incarnation: 0 });
    encode_with_parts(&message, &response.encode()?)
}
