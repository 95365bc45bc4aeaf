//! Operator API: the configuration as one document, and the retirement of turn stores.

use crate::actor::{ControlActor, LocalRequest};
use crate::metrics::MemberMetrics;
use crate::queries::GetFleetStatus;
use crate::resolution::json;
use actix::Addr;
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use luglink_control::{Request as ControlRequest, Response as ControlResponse};
use luglink_edge::{Dialect, OperatorCall};
use luglink_fleet::{RetireResponse, RetireState, StoreName, VersionedDocument};
use luglink_http::{Abort, Body, BodyFailure, BodyLimits, RequestBody, declared_length, read_body};
use luglink_net::{ByteAccount, ByteGuard};
use luglink_types::MemberId;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Time within which a body must be complete.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after which an operator whose body found no memory should call again.
const MEMORY_RETRY_AFTER_SECONDS: &str = "1";

/// Time after which a call without a decision by consensus fails with an unknown outcome.
const DECISION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Handler of the operator API.
#[derive(Clone, Debug)]
pub(crate) struct OperatorService {
    pub(crate) control: Addr<ControlActor>,
    pub(crate) dialect: Rc<dyn Dialect>,
    /// Bytes that all peers make this member hold.
    pub(crate) held: Rc<ByteAccount>,
    /// Port of the operator API at every member, for redirects.
    pub(crate) port: u16,
    pub(crate) metrics: MemberMetrics,
}

/// Cause for which a call has no result.
enum CallFailure {
    /// Another member leads.
    NotLeader(MemberId),
    /// The call cannot be served now.
    Unavailable(&'static str),
}

impl OperatorService {
    /// Handles, counts and logs a call.
    pub(crate) async fn handle(
        self,
        request: Request<RequestBody>,
    ) -> Result<Response<Body>, Abort> {
        let began = Instant::now();
        let (head, incoming) = request.into_parts();
        let path = head.uri.path().to_owned();
        let response = match self.dialect.operator_call(&head.method, &path) {
            Some(call) => self.answer(call, incoming, &path).await,
            None => self.problem(StatusCode::NOT_FOUND, "no such call"),
        };
        let calls = &self.metrics.operator_calls;
        let status = response.status();
        calls.with_label_values(&[status.as_str()]).inc();
        let seconds = began.elapsed().as_secs_f64();
        self.metrics.operator_seconds.observe(seconds);
        tracing::info!(
            method = %head.method,
            path,
            status = response.status().as_u16(),
            ms = luglink_telemetry::milliseconds(began.elapsed()),
            "operator call"
        );
        Ok(response)
    }

    async fn answer(
        &self,
        call: OperatorCall,
        incoming: RequestBody,
        path: &str,
    ) -> Response<Body> {
        let result = match call {
            OperatorCall::PutConfiguration => self.put(incoming).await,
            OperatorCall::GetConfiguration => self.get().await,
            OperatorCall::StartRetirement(name) => self.retire(name).await,
            OperatorCall::GetRetirement(name) => self.retirement(name).await,
        };
        match result {
            Ok(response) => response,
            Err(CallFailure::NotLeader(leader)) => self.redirect(leader, path),
            Err(CallFailure::Unavailable(detail)) => {
                self.problem(StatusCode::SERVICE_UNAVAILABLE, detail)
            }
        }
    }

    async fn put(&self, incoming: RequestBody) -> Result<Response<Body>, CallFailure> {
        let (content, _held) = match self.receive(incoming).await {
            Ok(received) => received,
            Err(failure) => return Ok(self.body_problem(failure)),
        };
        let configuration = match self.dialect.configuration(&content) {
            Ok(configuration) => configuration,
            Err(error) => return Ok(self.invalid(&error.to_string())),
        };
        let violations = configuration.violations();
        if !violations.is_empty() {
            let lines: Vec<String> = violations.iter().map(ToString::to_string).collect();
            return Ok(self.invalid(&lines.join("; ")));
        }
        let version = configuration.version;
        let status = self.control.send(GetFleetStatus).await;
        // The version that a member has applied is committed, so a document that does not exceed it
        // needs no log entry.
        let is_superseded =
            status.is_ok_and(|status| status.is_fresh_leader && status.document_version >= version);
        if !is_superseded {
            let document = VersionedDocument {
                version,
                content: content.into(),
            };
            match self.ask(ControlRequest::PutDocument(document)).await? {
                ControlResponse::DocumentHeld { version: held } => {
                    tracing::info!(version, held, "configuration document stored");
                }
                _ => {
                    return Err(CallFailure::Unavailable(
                        "the answer does not belong to the call",
                    ));
                }
            }
        }
        Ok(json(StatusCode::OK, b"{}".to_vec()))
    }

    /// Reads a body. Its bytes are counted until the guard is dropped.
    async fn receive(&self, incoming: RequestBody) -> Result<(Bytes, ByteGuard), BodyFailure> {
        let max_holder_bytes = self.held.max_holder_bytes();
        let max_bytes = MAX_BODY_BYTES.min(usize::try_from(max_holder_bytes).unwrap_or(usize::MAX));
        let declared = declared_length(&incoming);
        if declared > max_bytes as u64 {
            tracing::info!(
                declared,
                max_bytes,
                "body refused: its length exceeds the limit"
            );
            return Err(BodyFailure::TooLong);
        }
        let held = self.held.admit("operator", None, declared);
        let held = held.map_err(|_| BodyFailure::NoMemory)?;
        let limits = BodyLimits {
            max_bytes,
            timeout: BODY_TIMEOUT,
        };
        let content = tokio::select! {
            content = read_body(incoming, limits, |bytes| held.resize(bytes)) => content?,
            _ = held.wait_for_abort() => return Err(BodyFailure::NoMemory),
        };
        held.set_abortable(false);
        Ok((content, held))
    }

    async fn get(&self) -> Result<Response<Body>, CallFailure> {
        match self.ask(ControlRequest::ReadDocument).await? {
            ControlResponse::Document(Some(document)) => Ok(json(StatusCode::OK, document.content)),
            _ => Err(CallFailure::Unavailable("there is no configuration yet")),
        }
    }

    async fn retire(&self, name: StoreName) -> Result<Response<Body>, CallFailure> {
        let answer = self.ask(ControlRequest::Retire(name)).await?;
        Ok(match answer {
            ControlResponse::Retirement(RetireResponse::State(state)) => self.state(state),
            ControlResponse::Retirement(RetireResponse::TooFew) => {
                self.problem(StatusCode::CONFLICT, "too few stores would remain")
            }
            _ => self.problem(StatusCode::NOT_FOUND, "no such store"),
        })
    }

    async fn retirement(&self, name: StoreName) -> Result<Response<Body>, CallFailure> {
        let answer = self.ask(ControlRequest::ReadRetirement(name)).await?;
        Ok(match answer {
            ControlResponse::Retirement(RetireResponse::State(state)) => self.state(state),
            _ => self.problem(StatusCode::NOT_FOUND, "no retirement of that store"),
        })
    }

    async fn ask(&self, request: ControlRequest) -> Result<ControlResponse, CallFailure> {
        let (answer, waiting) = oneshot::channel();
        self.control
            .try_send(LocalRequest { request, answer })
            .map_err(|_| CallFailure::Unavailable("this member is overloaded"))?;
        let response = actix_rt::time::timeout(DECISION_TIMEOUT, waiting)
            .await
            .map_err(|_| CallFailure::Unavailable("no quorum answered in time"))?
            .map_err(|_| CallFailure::Unavailable("this member is stopping"))?;
        match response {
            ControlResponse::NotLeader {
                leader: Some(leader),
                ..
            } => Err(CallFailure::NotLeader(leader)),
            ControlResponse::NotLeader { .. } => {
                Err(CallFailure::Unavailable("no leader is known"))
            }
            ControlResponse::Unavailable { .. } => {
                Err(CallFailure::Unavailable("not available now"))
            }
            answer => Ok(answer),
        }
    }

    fn redirect(&self, leader: MemberId, path: &str) -> Response<Body> {
        let address = SocketAddr::from((Ipv4Addr::from(leader.0), self.port));
        let mut response = self.problem(StatusCode::TEMPORARY_REDIRECT, "another member leads");
        if let Ok(location) = HeaderValue::from_str(&format!("http://{address}{path}")) {
            response.headers_mut().insert(header::LOCATION, location);
        }
        response
    }

    fn state(&self, state: RetireState) -> Response<Body> {
        json(StatusCode::OK, self.dialect.retirement_answer(state))
    }

    fn invalid(&self, detail: &str) -> Response<Body> {
        tracing::info!(detail, "rejected an invalid configuration document");
        json(StatusCode::BAD_REQUEST, self.dialect.problem(detail))
    }

    fn body_problem(&self, failure: BodyFailure) -> Response<Body> {
        let status = match failure {
            BodyFailure::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            BodyFailure::Broken => StatusCode::BAD_REQUEST,
            BodyFailure::TimedOut => StatusCode::REQUEST_TIMEOUT,
            BodyFailure::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = self.problem(status, &failure.to_string());
        let headers = response.headers_mut();
        if failure == BodyFailure::TooLong {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        if failure == BodyFailure::NoMemory {
            let delay = HeaderValue::from_static(MEMORY_RETRY_AFTER_SECONDS);
            headers.insert(header::RETRY_AFTER, delay);
        }
        response
    }

    fn problem(&self, status: StatusCode, detail: &str) -> Response<Body> {
        json(status, self.dialect.problem(detail))
    }
}
