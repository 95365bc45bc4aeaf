//! A tool service: takes the time it is told to take.

use crate::standins::StandinServer;
use actix_web::web::Query;
use actix_web::{HttpResponse, web};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time a tool runs, in milliseconds.
const MAX_TOOL_MS: u64 = 600_000;

/// The tool service.
pub struct ToolServer;

impl ToolServer {
    /// Starts the service on the current actix thread.
    ///
    /// # Errors
    /// The address is taken.
    pub fn start(listen: SocketAddr) -> std::io::Result<StandinServer> {
        StandinServer::start(listen, |config| {
            config.route("/run", web::post().to(run));
        })
    }
}

#[derive(Deserialize)]
struct Run {
    milliseconds: u64,
}

async fn run(query: Query<Run>) -> HttpResponse {
    let time = Duration::from_millis(query.milliseconds.min(MAX_TOOL_MS));
    actix_rt::time::sleep(time).await;
    HttpResponse::Ok().body("done")
}
