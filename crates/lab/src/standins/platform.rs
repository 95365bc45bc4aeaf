//! The platform's list of live and leaving machines. What it says is some time old.

use crate::standins::StandinServer;
use actix_web::web::Data;
use actix_web::{HttpResponse, web};
use luglink_daemon_server::MachineList;
use luglink_types::EngineId;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Age of what the list says.
const LAG: Duration = Duration::from_millis(900);

#[derive(Default)]
struct State {
    changes: Vec<(Instant, MachineList)>,
}

/// The platform.
pub struct PlatformServer {
    /// The server.
    pub server: StandinServer,
    state: Arc<Mutex<State>>,
}

impl PlatformServer {
    /// Starts the platform on the current actix thread.
    ///
    /// # Errors
    /// The address is taken.
    pub fn start(listen: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Data::new(Arc::clone(&state));
        let server = StandinServer::start(listen, move |config| {
            config
                .app_data(shared.clone())
                .route("/machines", web::get().to(list));
        })?;
        Ok(Self { server, state })
    }

    /// Notes that a machine begins to leave, or is back.
    pub fn set_leaving(&self, engine: EngineId, leaving: bool) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let mut list = state
            .changes
            .last()
            .map(|(_, list)| list.clone())
            .unwrap_or_default();
        list.leaving.retain(|other| *other != engine.0);
        if leaving {
            list.leaving.push(engine.0);
        }
        state.changes.push((Instant::now(), list));
    }
}

async fn list(state: Data<Arc<Mutex<State>>>) -> HttpResponse {
    let state = state.lock().unwrap_or_else(PoisonError::into_inner);
    let old_enough = state
        .changes
        .iter()
        .rev()
        .find(|(at, _)| at.elapsed() >= LAG);
    HttpResponse::Ok().json(old_enough.map(|(_, list)| list.clone()).unwrap_or_default())
}
