//! Reads the platform's list of replicas.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, StatusCode};
use luglink_edge::{Dialect, DialectError};
use luglink_fleet::BackendList;
use luglink_http::{ClientConnection, ConnectError, SendError, connect, empty_body};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest page, in bytes.
const MAX_PAGE_BYTES: usize = 4 << 20;

/// Most pages of one list; more would mean that the list never ends.
const MAX_PAGES: u32 = 1_000;

/// The list cannot be had.
#[derive(Debug, Snafu)]
pub enum ListError {
    /// There is no connection.
    #[snafu(display("{source}"), context(false))]
    Connect {
        /// Why not.
        source: ConnectError,
    },
    /// The question was not answered.
    #[snafu(display("{source}"), context(false))]
    Send {
        /// Why not.
        source: SendError,
    },
    /// The platform refuses, for example because it is asked too often.
    #[snafu(display("status {status}"))]
    Refused {
        /// What it answered.
        status: StatusCode,
    },
    /// A page did not arrive whole.
    #[snafu(display("the page is incomplete or too long"))]
    Page,
    /// A page cannot be understood.
    #[snafu(display("{source}"), context(false))]
    Malformed {
        /// Why not.
        source: DialectError,
    },
    /// The question cannot be formed.
    #[snafu(display("{source}"))]
    Question {
        /// Why not.
        source: hyper::http::Error,
    },
    /// There was no answer in time.
    #[snafu(display("no list within {limit:?}"))]
    Silent {
        /// What was waited.
        limit: Duration,
    },
    /// The list does not end.
    #[snafu(display("more than {MAX_PAGES} pages"))]
    Endless,
}

/// Pause after the platform said that it is asked too often.
const REFUSAL_PAUSE: Duration = Duration::from_millis(60);

/// A list and what it cost.
#[derive(Clone, Debug)]
pub struct Fetched {
    /// The list.
    pub list: BackendList,
    /// Calls that it took.
    pub pages: u32,
}

impl Fetched {
    /// Time between two readings that keeps a reader within `calls_per_s` calls a second, and
    /// at least `shortest`.
    #[must_use]
    pub fn interval(&self, calls_per_s: f64, shortest: Duration) -> Duration {
        let paced = f64::from(self.pages) / calls_per_s.max(0.01);
        shortest.max(Duration::from_secs_f64(paced.min(MAX_INTERVAL_S)))
    }
}

/// Longest time between two readings, in seconds, whatever they cost.
const MAX_INTERVAL_S: f64 = 60.0;

/// Reads the whole list. The connection is kept from one look to the next.
#[derive(Debug)]
pub struct ListClient {
    address: SocketAddr,
    connection: Option<ClientConnection>,
}

impl ListClient {
    /// A client of the list at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Reads the list.
    ///
    /// # Errors
    /// It cannot be had within `limit`.
    pub async fn fetch(
        &mut self,
        dialect: &dyn Dialect,
        limit: Duration,
    ) -> Result<Fetched, ListError> {
        let fetched = actix_rt::time::timeout(limit, self.fetch_pages(dialect, limit)).await;
        let result = fetched.ok().context(SilentSnafu { limit })?;
        if result.is_err() {
            self.connection = None;
        }
        result
    }

    async fn fetch_pages(
        &mut self,
        dialect: &dyn Dialect,
        limit: Duration,
    ) -> Result<Fetched, ListError> {
        let mut backends = Vec::new();
        let mut next = None;
        for pages in 1..=MAX_PAGES {
            let content = self
                .fetch_patiently(&dialect.list_path(next.as_deref()), limit)
                .await?;
            let page = dialect.backend_page(&content)?;
            backends.extend(page.backends);
            match page.next {
                Some(token) => next = Some(token),
                None => {
                    let list = BackendList::new(backends);
                    return Ok(Fetched { list, pages });
                }
            }
        }
        EndlessSnafu.fail()
    }

    /// Reads a page; a platform that is asked too often is asked again a little later, since
    /// to begin anew would only ask it more.
    async fn fetch_patiently(&mut self, path: &str, limit: Duration) -> Result<Bytes, ListError> {
        loop {
            match self.fetch_page(path, limit).await {
                Err(ListError::Refused {
                    status: StatusCode::TOO_MANY_REQUESTS,
                }) => actix_rt::time::sleep(REFUSAL_PAUSE).await,
                result => return result,
            }
        }
    }

    async fn fetch_page(&mut self, path: &str, limit: Duration) -> Result<Bytes, ListError> {
        let mut connection = match self.connection.take() {
            Some(connection) if connection.is_ready() => connection,
            _ => connect(self.address, limit).await?,
        };
        let request = Request::get(path)
            .header(hyper::header::HOST, self.address.to_string())
            .body(empty_body())
            .context(QuestionSnafu)?;
        let response = connection.send(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_PAGE_BYTES);
        let content = body.collect().await.ok().context(PageSnafu)?.to_bytes();
        if connection.rest().await {
            self.connection = Some(connection);
        }
        ensure!(status == StatusCode::OK, RefusedSnafu { status });
        Ok(content)
    }
}
