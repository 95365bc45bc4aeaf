//! The weight store: gives out models and adapters at a limited rate, shared by all readers.

use crate::standins::StandinServer;
use actix_web::web::{Bytes, Data, Path};
use actix_web::{HttpResponse, web};
use futures_util::stream;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Size of one piece.
const PIECE_BYTES: usize = 64 << 10;

/// A rate that all readers share: each piece is given a place in time.
struct Rate {
    bytes_per_second: u64,
    next_free: Mutex<Instant>,
}

impl Rate {
    /// How long the next piece must wait.
    fn reserve(&self, bytes: usize) -> Duration {
        let now = Instant::now();
        let mut next_free = self
            .next_free
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let start = (*next_free).max(now);
        *next_free = start + Duration::from_secs_f64(bytes as f64 / self.bytes_per_second as f64);
        next_free.saturating_duration_since(now)
    }
}

/// The weight store.
pub struct WeightStore;

impl WeightStore {
    /// Starts the store on the current actix thread. Every object has `object_bytes` bytes.
    ///
    /// # Errors
    /// The address is taken.
    pub fn start(
        listen: SocketAddr,
        bytes_per_second: u64,
        object_bytes: usize,
    ) -> std::io::Result<StandinServer> {
        let rate = Data::new(Rate {
            bytes_per_second: bytes_per_second.max(1),
            next_free: Mutex::new(Instant::now()),
        });
        let size = Data::new(ObjectSize(object_bytes));
        StandinServer::start(listen, move |config| {
            config
                .app_data(rate.clone())
                .app_data(size.clone())
                .route("/weights/{object:.*}", web::get().to(read));
        })
    }
}

struct ObjectSize(usize);

async fn read(rate: Data<Rate>, size: Data<ObjectSize>, _object: Path<String>) -> HttpResponse {
    let pieces = stream::unfold((rate, size.0), |(rate, left)| async move {
        if left == 0 {
            return None;
        }
        let bytes = left.min(PIECE_BYTES);
        actix_rt::time::sleep(rate.reserve(bytes)).await;
        let piece = Bytes::from(vec![0; bytes]);
        Some((Ok::<_, Infallible>(piece), (rate, left - bytes)))
    });
    HttpResponse::Ok().streaming(Box::pin(pieces))
}
