//! Reads the platform's list of replicas.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, StatusCode};
use luglink_edge::{Dialect, DialectError, SkippedEntries};
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

/// First pause after the platform said that it is asked too often; doubles with each such answer.
const FIRST_REFUSAL_PAUSE: Duration = Duration::from_millis(60);

/// Longest such pause.
const LONGEST_REFUSAL_PAUSE: Duration = Duration::from_secs(2);

/// What to do when the platform says that it is asked too often.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateLimitPolicy {
    /// Ask for the same page after a growing pause: this reader reads for all others.
    Wait,
    /// Give the reading up: others may read as well.
    GiveUp,
}

/// A list and what it cost.
#[derive(Clone, Debug)]
pub struct Fetched {
    /// The list.
    pub list: BackendList,
    /// Calls that it took.
    pub pages: u32,
    /// Entries that name no replica to use.
    pub skipped_entries: u32,
}

impl ListError {
    /// Whether the platform said that it is asked too often.
    #[must_use]
    pub fn is_rate_limited(&self) -> bool {
        matches!(self, Self::Refused { status } if *status == StatusCode::TOO_MANY_REQUESTS)
    }
}

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
        at_refusal: RateLimitPolicy,
    ) -> Result<Fetched, ListError> {
        let reading = self.fetch_pages(dialect, limit, at_refusal);
        let fetched = actix_rt::time::timeout(limit, reading).await;
        let result = fetched.ok().context(SilentSnafu { limit });
        // A reading that was given up may have left an answer on its way.
        if !matches!(result, Ok(Ok(_))) {
            self.connection = None;
        }
        result?
    }

    async fn fetch_pages(
        &mut self,
        dialect: &dyn Dialect,
        limit: Duration,
        at_refusal: RateLimitPolicy,
    ) -> Result<Fetched, ListError> {
        let mut pause = FIRST_REFUSAL_PAUSE;
        let mut backends = Vec::new();
        let mut skipped_entries = 0_u32;
        let mut next = None;
        for pages in 1..=MAX_PAGES {
            let path = dialect.list_path(next.as_deref());
            let content = loop {
                match self.fetch_page(&path, limit).await {
                    Err(error)
                        if error.is_rate_limited() && at_refusal == RateLimitPolicy::Wait =>
                    {
                        actix_rt::time::sleep(pause).await;
                        pause = (pause * 2).min(LONGEST_REFUSAL_PAUSE);
                    }
                    result => break result?,
                }
            };
            let page = dialect.backend_page(&content)?;
            log_passed_over(&page.skipped_entries, &path);
            skipped_entries = skipped_entries.saturating_add(page.skipped_entries.count);
            backends.extend(page.backends);
            match page.next {
                Some(token) => next = Some(token),
                None => {
                    let list = BackendList::new(backends);
                    return Ok(Fetched {
                        list,
                        pages,
                        skipped_entries,
                    });
                }
            }
        }
        EndlessSnafu.fail()
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

/// Writes one line for all entries of a page that were passed over.
fn log_passed_over(skipped_entries: &SkippedEntries, path: &str) {
    if let Some(first_reason) = &skipped_entries.first_reason {
        let count = skipped_entries.count;
        tracing::warn!(path, count, first_reason, "entries of the list passed over");
    }
}
