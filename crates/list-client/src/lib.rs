//! Client for the platform's list of replicas.
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

/// Maximum size of a page, in bytes.
const MAX_PAGE_BYTES: usize = 4 << 20;

/// Maximum number of pages of a list; a list with more is assumed to have no end.
const MAX_PAGES: u32 = 1_000;

/// Failure to read the list.
#[derive(Debug, Snafu)]
pub enum ListError {
    /// Connecting to the platform failed.
    #[snafu(display("{source}"), context(false))]
    Connect {
        /// Cause.
        source: ConnectError,
    },
    /// The request failed.
    #[snafu(display("{source}"), context(false))]
    Send {
        /// Cause.
        source: SendError,
    },
    /// The platform rejected the request, for example because of its rate limit.
    #[snafu(display(
        "the platform rejected the request for the replica list with status {status}"
    ))]
    Rejected {
        /// Status of the response.
        status: StatusCode,
    },
    /// A page was cut short or exceeds the maximum size.
    #[snafu(display(
        "a page of the replica list is incomplete or longer than {MAX_PAGE_BYTES} bytes"
    ))]
    Page,
    /// A page cannot be parsed.
    #[snafu(display("{source}"), context(false))]
    Malformed {
        /// Cause.
        source: DialectError,
    },
    /// The request cannot be built.
    #[snafu(display("failed to build the request for the replica list: {source}"))]
    Request {
        /// Cause.
        source: hyper::http::Error,
    },
    /// The list was not read in time.
    #[snafu(display("the replica list was not read within {limit:?}"))]
    Timeout {
        /// Time limit of the read.
        limit: Duration,
    },
    /// The list has more pages than the maximum.
    #[snafu(display("the replica list has more than {MAX_PAGES} pages"))]
    TooLong,
}

/// First delay after a rate-limited request; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);

/// Maximum delay after a rate-limited request.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Reaction to a rate-limited request (status 429).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateLimitPolicy {
    /// Retries the page with exponential backoff: this process reads for all others.
    Wait,
    /// Aborts the read: other processes may read too.
    GiveUp,
}

/// A list with statistics of the read.
#[derive(Clone, Debug)]
pub struct FetchedList {
    /// The list.
    pub list: BackendList,
    /// Number of pages. Each took one call, and further ones if it was rate-limited.
    pub pages: u32,
    /// Number of entries that were skipped because they cannot be read.
    pub skipped_entries: u32,
}

impl ListError {
    /// Returns true if the platform rejected the request because of its rate limit.
    #[must_use]
    pub fn is_rate_limited(&self) -> bool {
        matches!(self, Self::Rejected { status } if *status == StatusCode::TOO_MANY_REQUESTS)
    }
}

/// Client that reads the full list. It reuses its connection.
#[derive(Debug)]
pub struct ListClient {
    address: SocketAddr,
    connection: Option<ClientConnection>,
}

impl ListClient {
    /// Creates a client for the platform at `address`.
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
    /// Returns an error if the read fails or takes longer than `limit`.
    pub async fn fetch(
        &mut self,
        dialect: &dyn Dialect,
        limit: Duration,
        policy: RateLimitPolicy,
    ) -> Result<FetchedList, ListError> {
        let read = self.fetch_pages(dialect, limit, policy);
        let fetched = actix_rt::time::timeout(limit, read).await;
        let result = fetched.ok().context(TimeoutSnafu { limit });
        // After an aborted read the connection may still receive a response: do not reuse it.
        if !matches!(result, Ok(Ok(_))) {
            self.connection = None;
        }
        result?
    }

    async fn fetch_pages(
        &mut self,
        dialect: &dyn Dialect,
        limit: Duration,
        policy: RateLimitPolicy,
    ) -> Result<FetchedList, ListError> {
        let mut delay = INITIAL_BACKOFF;
        let mut backends = Vec::new();
        let mut skipped_entries = 0_u32;
        let mut next = None;
        for pages in 1..=MAX_PAGES {
            let path = dialect.list_path(next.as_deref());
            let content = loop {
                match self.fetch_page(&path, limit).await {
                    Err(error) if error.is_rate_limited() && policy == RateLimitPolicy::Wait => {
                        actix_rt::time::sleep(delay).await;
                        delay = (delay * 2).min(MAX_BACKOFF);
                    }
                    result => break result?,
                }
            };
            let page = dialect.backend_page(&content)?;
            log_skipped(&page.skipped_entries, &path);
            skipped_entries = skipped_entries.saturating_add(page.skipped_entries.count);
            backends.extend(page.backends);
            match page.next {
                Some(token) => next = Some(token),
                None => {
                    let list = BackendList::new(backends);
                    return Ok(FetchedList {
                        list,
                        pages,
                        skipped_entries,
                    });
                }
            }
        }
        TooLongSnafu.fail()
    }

    async fn fetch_page(&mut self, path: &str, limit: Duration) -> Result<Bytes, ListError> {
        let mut connection = match self.connection.take() {
            Some(connection) if connection.is_ready() => connection,
            _ => connect(self.address, limit).await?,
        };
        let request = Request::get(path)
            .header(hyper::header::HOST, self.address.to_string())
            .body(empty_body())
            .context(RequestSnafu)?;
        let response = connection.send(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_PAGE_BYTES);
        let content = body.collect().await.ok().context(PageSnafu)?.to_bytes();
        if connection.wait_until_ready().await {
            self.connection = Some(connection);
        }
        ensure!(status == StatusCode::OK, RejectedSnafu { status });
        Ok(content)
    }
}

/// Logs the skipped entries of a page in one line.
fn log_skipped(skipped_entries: &SkippedEntries, path: &str) {
    if let Some(first_reason) = &skipped_entries.first_reason {
        let count = skipped_entries.count;
        tracing::warn!(
            path,
            count,
            first_reason,
            "skipped unreadable entries of the replica list"
        );
    }
}
