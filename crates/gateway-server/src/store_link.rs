//! Client of one turn store.

use crate::announcements::Announcements;
use crate::stream_lookup::FoundStream;
use luglink_fleet::StoreName;
use luglink_net::RequestClient;
use luglink_turns::{
    ClientView, CrashRequest, CrashResponse, HolderView, KeepCheck, KeepReport, LogPosition,
    OriginRecord, OriginRequest, OriginResponse, OutputQuery, OutputResponse, StoreRequest,
    StoreResponse, TurnId, hint_query, hint_request, hinted_origin,
};
use luglink_wire::{
    ClientRole, Hello, PROTOCOL_VERSION, WireError, decode_body, decode_with_parts, encode_body,
    encode_with_parts,
};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeout of a request to a store.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);

/// Timeout of a report of a run.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a request for new crash reports, which a store holds for up to two seconds.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(3);

/// Weight of a new sample in the moving average of a store's response time.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Client of one turn store.
#[derive(Debug)]
pub(crate) struct StoreLink {
    name: StoreName,
    role: ClientRole,
    client: RequestClient,
    /// Moving average of the response time, in milliseconds.
    response_ms: Cell<f64>,
    is_unresponsive: Cell<bool>,
    /// Runs under way that the store is told of.
    pub(crate) announcements: Announcements,
}

impl StoreLink {
    /// Creates a client, which connects on first use.
    pub(crate) fn open(name: StoreName, address: SocketAddr) -> Self {
        Self::open_as(ClientRole::StoreClient, name, address)
    }

    /// Creates a client of the crash reports at a control member.
    pub(crate) fn open_to_member(name: StoreName, address: SocketAddr) -> Self {
        Self::open_as(ClientRole::ReportClient, name, address)
    }

    fn open_as(role: ClientRole, name: StoreName, address: SocketAddr) -> Self {
        let hello = Hello {
            version: PROTOCOL_VERSION,
            role,
            id: 0,
        };
        Self {
            name,
            role,
            client: RequestClient::open(address, hello),
            response_ms: Cell::new(0.0),
            is_unresponsive: Cell::new(false),
            announcements: Announcements::default(),
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.client.address()
    }

    /// Returns true if the store did not answer the latest request.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.is_unresponsive.get()
    }

    /// Returns the average response time in microseconds; 0 before the first request ends.
    pub(crate) fn response_micros(&self) -> u64 {
        (self.response_ms.get() * 1_000.0) as u64
    }

    /// Sends a request under a view of the stores; `None` if the store does not answer in time. The
    /// request is sent when the future is first polled, and dropping the future does not cancel it.
    pub(crate) fn send_under(
        self: Rc<Self>,
        view: ClientView,
        request: &StoreRequest,
    ) -> impl Future<Output = Option<StoreResponse>> + use<> {
        let parts = view.encode();
        let body = parts.and_then(|parts| encode_with_parts(request, &parts));
        async move { self.exchange(body.ok()?, decode_body).await }
    }

    /// Sends a turn to be stored, with what the writer knows about its program. Returns the response and
    /// what the store adds to it.
    pub(crate) async fn keep_under(
        self: Rc<Self>,
        view: ClientView,
        request: &StoreRequest,
        check: KeepCheck,
    ) -> Option<(StoreResponse, KeepReport)> {
        let mut parts = view.encode().ok()?;
        check.put(&mut parts).ok()?;
        let body = encode_with_parts(request, &parts).ok()?;
        let decode = |answer: &[u8]| {
            let (response, parts) = decode_with_parts(answer)?;
            Ok((response, KeepReport::decode(&parts)?))
        };
        self.exchange(body, decode).await
    }

    /// Sends a request like [`StoreLink::send_under`], but without a view.
    pub(crate) fn send(
        self: Rc<Self>,
        request: &StoreRequest,
    ) -> impl Future<Output = Option<StoreResponse>> + use<> {
        let body = encode_body(request).ok();
        async move { self.exchange(body?, decode_body).await }
    }

    /// Sends the origin of a stream, to a store of a build without origins as a hint.
    pub(crate) async fn record_origin(self: Rc<Self>, epoch: u64, record: Rc<OriginRecord>) {
        let request = OriginRequest::Record((*record).clone());
        if let Some(None) = self.exchange_origin(&request).await {
            self.send_hint(epoch, &record).await;
        }
    }

    /// Sends the origin of a stream and a part of its output. Returns the number of events that the store
    /// keeps; no number inside if it is of a build that keeps no outputs; `None` if it does not answer in
    /// time.
    pub(crate) async fn record_output(
        self: Rc<Self>,
        epoch: u64,
        record: &OriginRecord,
        request: OriginRequest,
    ) -> Option<Option<u64>> {
        let Some((_, output)) = self.exchange_origin(&request).await? else {
            self.send_hint(epoch, record).await;
            return Some(None);
        };
        Some(output.map(|output| output.kept_events))
    }

    async fn send_hint(self: Rc<Self>, epoch: u64, record: &OriginRecord) {
        if let Ok(hint) = hint_request(epoch, record) {
            self.send(&hint).await;
        }
    }

    /// Queries the origin of a stream, of a store of a build without origins as a hint, and with `query`
    /// its output. Returns `None` if the store does not answer in time.
    pub(crate) async fn find_stream(
        self: Rc<Self>,
        epoch: u64,
        stream: TurnId,
        query: Option<OutputQuery>,
    ) -> Option<FoundStream> {
        let request = match query {
            Some(query) => OriginRequest::FindOutput(stream.clone(), query),
            None => OriginRequest::Find(stream.clone()),
        };
        match self.exchange_origin(&request).await? {
            Some((response, output)) => Some(FoundStream {
                origin: response.origin,
                output: output.and_then(|output| output.known),
            }),
            None => {
                let response = self.send(&hint_query(epoch, &stream)).await?;
                Some(FoundStream {
                    origin: hinted_origin(&response),
                    output: None,
                })
            }
        }
    }

    /// Sends a request about a stream. Returns no response inside the answer if the store is of a build
    /// without origins.
    async fn exchange_origin(
        &self,
        request: &OriginRequest,
    ) -> Option<Option<(OriginResponse, Option<OutputResponse>)>> {
        let parts = request.encode().ok()?;
        let body = encode_with_parts(&OriginRequest::message(), &parts).ok()?;
        let decode = |answer: &[u8]| {
            let (_, parts) = decode_with_parts::<StoreResponse>(answer)?;
            let output = OutputResponse::decode(&parts)?;
            Ok(OriginResponse::decode(&parts)?.map(|origin| (origin, output)))
        };
        self.exchange(body, decode).await
    }

    /// Sends a request about crash reports. Returns no response inside the answer if the store is
    /// of a build without them; `None` if it does not answer in time, or its response could not count.
    pub(crate) async fn exchange_crashes(
        &self,
        holder: HolderView,
        request: &CrashRequest,
    ) -> Option<Option<CrashResponse>> {
        let body = encode_crash_request(holder, request)?;
        self.exchange(body, decode_crash_response).await?
    }

    /// Waits for crash reports from a position on, under a lease. Unlike the time of other requests, that of this
    /// one does not count as the store's response time.
    pub(crate) async fn follow_crashes(
        &self,
        view: ClientView,
        position: LogPosition,
    ) -> Option<Option<CrashResponse>> {
        let request = CrashRequest::FollowLeased(position);
        let body = encode_crash_request(HolderView::Stores(view), &request)?;
        let answer = self.client.request(body, FOLLOW_TIMEOUT).await.ok()?;
        decode_crash_response(&answer).ok()?
    }

    /// Sends a report of a run. The store acknowledges it once the gateways with a lease have it, so
    /// the time does not count as the store's response time.
    pub(crate) async fn report_run(
        &self,
        holder: HolderView,
        request: &CrashRequest,
    ) -> Option<Option<CrashResponse>> {
        let body = encode_crash_request(holder, request)?;
        let answer = self.client.request(body, REPORT_TIMEOUT).await.ok()?;
        decode_crash_response(&answer).ok()?
    }

    async fn exchange<Response>(
        &self,
        body: Vec<u8>,
        decode: impl FnOnce(&[u8]) -> Result<Response, WireError>,
    ) -> Option<Response> {
        let started_at = Instant::now();
        let answer = self.client.request(body, REQUEST_TIMEOUT).await.ok();
        let response = answer.and_then(|answer| decode(&answer).ok());
        self.record_response(started_at.elapsed(), response.is_some());
        response
    }

    fn record_response(&self, time: Duration, answered: bool) {
        if self.is_unresponsive.replace(!answered) == answered {
            self.log_responsiveness(answered);
        }
        let sample = time.as_secs_f64() * 1_000.0;
        let average = self.response_ms.get();
        self.response_ms.set(if average > 0.0 {
            average + SAMPLE_WEIGHT * (sample - average)
        } else {
            sample
        });
    }

    fn log_responsiveness(&self, answered: bool) {
        let name = &self.name;
        match (self.role, answered) {
            (ClientRole::ReportClient, true) => {
                tracing::info!(member = %name, "control member answers about crash reports again");
            }
            (ClientRole::ReportClient, false) => {
                tracing::warn!(member = %name, "control member does not answer about crash reports");
            }
            (_, true) => tracing::info!(store = %name, "turn store is responding again"),
            (_, false) => tracing::warn!(store = %name, "turn store is not responding"),
        }
    }
}

fn encode_crash_request(holder: HolderView, request: &CrashRequest) -> Option<Vec<u8>> {
    let parts = request.encode_for(holder).ok()?;
    encode_with_parts(&OriginRequest::message(), &parts).ok()
}

/// Decodes the answer to a request about crash reports. Returns `None` if the request failed, and no
/// response inside if the store is of a build without crash reports.
fn decode_crash_response(answer: &[u8]) -> Result<Option<Option<CrashResponse>>, WireError> {
    let (response, parts) = decode_with_parts::<StoreResponse>(answer)?;
    match response {
        StoreResponse::Failed { .. } => Ok(None),
        _ => CrashResponse::decode(&parts).map(Some),
    }
}
