//! A link to one turn store.

use luglink_fleet::StoreName;
use luglink_net::RequestClient;
use luglink_turns::{StoreRequest, StoreResponse};
use luglink_wire::{ClientRole, Hello, PROTOCOL_VERSION, decode_body, encode_body};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest wait for one store.
const ANSWER_LIMIT: Duration = Duration::from_millis(600);

/// Weight of a new sample in a store's average answer time.
const SAMPLE_WEIGHT: f64 = 0.2;

/// A link to one store.
#[derive(Debug)]
pub(crate) struct StoreLink {
    name: StoreName,
    client: RequestClient,
    /// Average time to an answer, in milliseconds.
    answer_ms: Cell<f64>,
    is_lost: Cell<bool>,
}

impl StoreLink {
    /// Opens a link; it connects when it is used.
    pub(crate) fn open(name: StoreName, address: SocketAddr) -> Self {
        let hello = Hello {
            version: PROTOCOL_VERSION,
            role: ClientRole::StoreClient,
            id: 0,
        };
        Self {
            name,
            client: RequestClient::open(address, hello),
            answer_ms: Cell::new(0.0),
            is_lost: Cell::new(false),
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.client.address()
    }

    /// Whether the store did not answer last time.
    pub(crate) fn is_lost(&self) -> bool {
        self.is_lost.get()
    }

    /// Average time to an answer, in microseconds; 0 before the first one.
    pub(crate) fn answer_micros(&self) -> u64 {
        (self.answer_ms.get() * 1_000.0) as u64
    }

    /// Asks the store; `None` when it does not answer. The request is on its way once the future
    /// is polled first, and stays so when the future is dropped.
    pub(crate) fn ask(
        self: Rc<Self>,
        request: &StoreRequest,
    ) -> impl Future<Output = Option<StoreResponse>> + use<> {
        let body = encode_body(request).ok();
        async move {
            let began = Instant::now();
            let answer = self.client.request(body?, ANSWER_LIMIT).await.ok();
            let response = answer.and_then(|answer| decode_body(&answer).ok());
            self.note(began.elapsed(), response.is_some());
            response
        }
    }

    fn note(&self, time: Duration, answered: bool) {
        if self.is_lost.replace(!answered) == answered {
            if answered {
                tracing::info!(store = %self.name, "turn store regained");
            } else {
                tracing::warn!(store = %self.name, "turn store lost");
            }
        }
        let sample = time.as_secs_f64() * 1_000.0;
        let average = self.answer_ms.get();
        self.answer_ms.set(if average > 0.0 {
            average + SAMPLE_WEIGHT * (sample - average)
        } else {
            sample
        });
    }
}
