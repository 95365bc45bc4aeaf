//! Polls the platform's list of live and leaving machines. The list is delayed, so it only excludes
//! leaving replicas from routing. The health of replicas is judged from their own responses.

use crate::actor::{DaemonActor, DaemonEvent};
use actix::Addr;
use luglink_daemon::Event;
use luglink_types::EngineId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Response to `GET /machines` of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// Engines that are leaving.
    pub leaving: Vec<u32>,
    /// Engines that are alive.
    pub live: Vec<u32>,
}

/// Time between two polls. From three seconds after it is listed as leaving, a replica must get no
/// new work.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Polls the platform's list and passes the leaving replicas to the daemon.
pub(crate) async fn follow_machines(daemon: Addr<DaemonActor>, platform: SocketAddr) {
    let http = awc::Client::builder().timeout(POLL_INTERVAL * 2).finish();
    loop {
        let result = http.get(format!("http://{platform}/machines")).send().await;
        let list = match result {
            Ok(mut response) => response.json::<MachineList>().await.ok(),
            Err(_) => None,
        };
        if let Some(list) = list {
            let engines = list.leaving.into_iter().map(EngineId).collect();
            daemon.do_send(DaemonEvent(Event::Leaving { engines }));
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}
