//! Resolution API: refers callers to gateways.

use crate::actor::ControlActor;
use crate::metrics::MemberMetrics;
use crate::queries::{Directory, GetGatewayDirectory};
use actix::Addr;
use http::{HeaderValue, Request, Response, StatusCode, Uri, header};
use luglink_edge::Dialect;
use luglink_fleet::advertised_gateways;
use luglink_http::{Abort, Body, RequestBody, full_body};
use std::rc::Rc;
use std::time::Duration;

/// Handler of the resolution API.
#[derive(Clone, Debug)]
pub(crate) struct ResolutionService {
    pub(crate) control: Addr<ControlActor>,
    pub(crate) dialect: Rc<dyn Dialect>,
    /// Upper limit of the time for which callers may cache a resolution.
    pub(crate) max_validity: Duration,
    /// Salt of the choice of gateways. It differs between members, so that together they advertise
    /// more gateways than one response holds.
    pub(crate) salt: u64,
    pub(crate) metrics: MemberMetrics,
}

impl ResolutionService {
    /// Handles and counts a resolution.
    pub(crate) async fn handle(
        self,
        request: Request<RequestBody>,
    ) -> Result<Response<Body>, Abort> {
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
        let response = self
            .control
            .send(GetGatewayDirectory { zone: zone.clone() });
        let directory = response.await.unwrap_or_default();
        let Directory {
            gateways,
            advertised,
            ..
        } = directory;
        let gateways = advertised_gateways(gateways, zone.as_deref(), advertised, self.salt);
        if gateways.is_empty() {
            let detail = self.dialect.problem("no gateway is known yet");
            return json(StatusCode::SERVICE_UNAVAILABLE, detail);
        }
        let valid_for = directory.valid_for.min(self.max_validity);
        let answer = self.dialect.resolution_answer(&gateways, valid_for);
        json(StatusCode::OK, answer)
    }
}

/// Builds a JSON response.
pub(crate) fn json(status: StatusCode, body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
