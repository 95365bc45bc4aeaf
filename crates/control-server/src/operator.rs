//! Operator API: the configuration as one document, and the retirement of turn stores.

use crate::actor::{ControlActor, LocalRequest};
use crate::metrics::MemberMetrics;
use crate::queries::GetFleetStatus;
use crate::resolution::json;
use actix::Addr;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use luglink_control::{Request as ControlRequest, Response as ControlResponse};
use luglink_edge::{Dialect, OperatorCall};
use luglink_fleet::{RetireResponse, RetireState, StoreName, VersionedDocument};
use luglink_http::{Abort, Body};
use luglink_types::MemberId;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Time after which a call without a decision by consensus fails with an unknown outcome.
const DECISION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Handler of the operator API.
#[derive(Clone, Debug)]
pub(crate) struct OperatorService {
    pub(crate) control: Addr<ControlActor>,
    pub(crate) dialect: Rc<dyn Dialect>,
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
    pub(crate) async fn handle(self, request: Request<Incoming>) -> Result<Response<Body>, Abort> {
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

    async fn answer(&self, call: OperatorCall, incoming: Incoming, path: &str) -> Response<Body> {
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

    async fn put(&self, incoming: Incoming) -> Result<Response<Body>, CallFailure> {
        let Ok(body) = Limited::new(incoming, MAX_BODY_BYTES).collect().await else {
            return Ok(self.problem(StatusCode::BAD_REQUEST, "the body is not whole"));
        };
        let content = body.to_bytes();
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
                content: content.to_vec(),
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

    fn problem(&self, status: StatusCode, detail: &str) -> Response<Body> {
        json(status, self.dialect.problem(detail))
    }
}
