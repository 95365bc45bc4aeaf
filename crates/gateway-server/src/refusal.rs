//! Error responses that the gateway itself generates.

use http::{HeaderValue, Response, StatusCode, header};
use luglink_edge::Dialect;
use luglink_http::{Body, full_body};
use std::time::Duration;

/// Error response that the gateway sends in place of a replica's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    pub(crate) detail: &'static str,
    /// Delay after which the caller should retry. Set only if the request has not run.
    pub(crate) retry_after: Option<Duration>,
}

/// Retry delay after which a replica is likely to have capacity.
const SHORT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Retry delay after which a gateway that has just started, or has lost its control members or
/// stores, is likely to serve again. It covers an election and the distribution of its result.
const RECOVERY_RETRY_AFTER: Duration = Duration::from_millis(800);

impl Refusal {
    pub(crate) fn new(status: StatusCode, detail: &'static str) -> Self {
        Self {
            status,
            detail,
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that has not run and will not run. The caller may retry it.
    pub(crate) fn not_run(detail: &'static str) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            detail,
            retry_after: Some(SHORT_RETRY_AFTER),
        }
    }

    /// Creates a refusal of a request that has not run and will not run. The caller may retry it
    /// after `pause`.
    pub(crate) fn not_run_retry_after(detail: &'static str, pause: Duration) -> Self {
        Self {
            retry_after: Some(pause),
            ..Self::not_run(detail)
        }
    }

    /// Creates a refusal of a request that has not run, will not run, and would be refused again if
    /// the caller retried it.
    pub(crate) fn not_run_at_all(detail: &'static str) -> Self {
        Self {
            retry_after: None,
            ..Self::not_run(detail)
        }
    }

    /// Creates a refusal of a request whose body exceeds the limit. Its connection ends with the
    /// response, because the rest of the body is not read.
    pub(crate) fn too_long() -> Self {
        Self::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long")
    }

    /// Creates a refusal of a request that does not fit into the memory left for requests. It has
    /// not run and will not run.
    pub(crate) fn memory_exhausted() -> Self {
        Self::not_run("the gateway has no memory left for the request")
    }

    /// Creates a refusal of a request that has not run and will not run because processes that the
    /// gateway depends on are unavailable. The caller may retry once they are likely to have
    /// recovered.
    pub(crate) fn recovering(detail: &'static str) -> Self {
        Self {
            retry_after: Some(RECOVERY_RETRY_AFTER),
            ..Self::not_run(detail)
        }
    }

    /// Creates a refusal of a request that may have run and whose response is lost.
    pub(crate) fn uncertain(detail: &'static str) -> Self {
        Self::new(StatusCode::BAD_GATEWAY, detail)
    }

    /// Creates a refusal of a request that may have run and whose deadline has passed.
    pub(crate) fn timed_out(detail: &'static str) -> Self {
        Self::new(StatusCode::GATEWAY_TIMEOUT, detail)
    }

    pub(crate) fn into_response(self, dialect: &dyn Dialect) -> Response<Body> {
        let mut response = Response::new(full_body(dialect.problem(self.detail)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if self.status == StatusCode::PAYLOAD_TOO_LARGE {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        if let Some(pause) = self.retry_after
            && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", pause.as_secs_f64()))
        {
            headers.insert(dialect.headers().retry_after.clone(), value);
        }
        response
    }
}
