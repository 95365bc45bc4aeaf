//! Stand-ins for the outside systems that are not engines.

mod platform;
mod service;
mod tools;
mod weights;

pub use platform::PlatformServer;
pub use service::ServiceServer;
pub use tools::ToolServer;
pub use weights::WeightStore;

use actix_web::dev::ServerHandle;
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpServer};
use std::net::{SocketAddr, TcpListener};

/// A stand-in's HTTP server.
pub struct StandinServer {
    /// Its address.
    pub address: SocketAddr,
    handle: ServerHandle,
}

impl StandinServer {
    /// Starts a server on the current actix thread.
    ///
    /// # Errors
    /// The address is taken.
    pub(crate) fn start(
        listen: SocketAddr,
        configure: impl Fn(&mut ServiceConfig) + Send + Clone + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let server = HttpServer::new(move || App::new().configure(configure.clone()))
            .workers(1)
            .disable_signals()
            .listen(listener)?
            .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(Self { address, handle })
    }

    /// Stops it.
    pub async fn stop(&self) {
        self.handle.stop(false).await;
    }
}
