//! Tells callers which gateways to go to.

use crate::actor::ControlActor;
use crate::looks::{Directory, LookAtGateways};
use crate::metrics::MemberMetrics;
use actix::Addr;
use http::{HeaderValue, Request, Response, StatusCode, Uri, header};
use hyper::body::Incoming;
use luglink_edge::Dialect;
use luglink_fleet::advertised_gateways;
use luglink_http::{Abort, Body, full_body};
use std::rc::Rc;
use std::time::Duration;

/// Answers callers that ask where to go.
#[derive(Clone, Debug)]
pub(crate) struct ResolutionService {
    pub(crate) control: Addr<ControlActor>,
    pub(crate) dialect: Rc<dyn Dialect>,
    /// Longest time for which callers rely on an answer.
    pub(crate) longest: Duration,
    /// Differs between members, so that together they name more gateways than one answer holds.
    pub(crate) salt: u64,
    pub(crate) metrics: MemberMetrics,
}

impl ResolutionService {
    /// Answers a question where to go.
    pub(crate) async fn handle(self, request: Request<Incoming>) -> Result<Response<Body>, Abort> {
        let response = self.answer(request.uri()).await;
        let status = response.status();
        let resolutions = &self.metrics.resolutions;
        resolutions.with_label_values(&[status.as_str()]).inc();
        Ok(response)
    }

    async fn answer(&self, uri: &Uri) -> Response<Body> {
        let query = uri.query().unwrap_or_default();
        let Some(query) = self.dialect.resolution(uri.path(), query) else {
            return json(StatusCode::NOT_FOUND, self.dialect.problem("no such call"));
        };
        let zone = query.zone;
        let asked = self.control.send(LookAtGateways { zone: zone.clone() });
        let directory = asked.await.unwrap_or_default();
        let Directory {
            gateways, named, ..
        } = directory;
        let gateways = advertised_gateways(gateways, zone.as_deref(), named, self.salt);
        if gateways.is_empty() {
            let detail = self.dialect.problem("no gateway is known yet");
            return json(StatusCode::SERVICE_UNAVAILABLE, detail);
        }
        let valid_for = directory.valid_for.min(self.longest);
        let answer = self.dialect.resolution_answer(&gateways, valid_for);
        json(StatusCode::OK, answer)
    }
}

pub(crate) fn json(status: StatusCode, body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
