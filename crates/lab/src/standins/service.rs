//! A plain service, such as channel-api or portal-app: answers with the name it was asked for.

use crate::observe::Observer;
use crate::standins::StandinServer;
use actix_web::web::{Data, Path};
use actix_web::{HttpResponse, web};
use std::net::SocketAddr;
use std::time::Duration;

/// Time the service takes.
const SERVICE_TIME: Duration = Duration::from_millis(4);

/// A replica of a plain service.
pub struct ServiceServer;

impl ServiceServer {
    /// Starts a replica on the current actix thread.
    ///
    /// # Errors
    /// The address is taken.
    pub fn start(listen: SocketAddr, observer: Observer) -> std::io::Result<StandinServer> {
        let observer = Data::new(observer);
        StandinServer::start(listen, move |config| {
            config
                .app_data(observer.clone())
                .route("/lookup/{request}", web::route().to(answer));
        })
    }
}

async fn answer(observer: Data<Observer>, request: Path<String>) -> HttpResponse {
    let request = request.into_inner();
    observer.note(|history| history.service_runs.push(request.clone()));
    actix_rt::time::sleep(SERVICE_TIME).await;
    HttpResponse::Ok().body(format!("answer to {request}"))
}
