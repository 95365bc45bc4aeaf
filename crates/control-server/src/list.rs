//! Reads the platform's list of replicas, at the member that leads.

use crate::actor::{ControlActor, LookAtFleet, TakeBackends};
use actix::Addr;
use luglink_edge::Dialect;
use luglink_list_client::ListClient;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Longest time for one reading.
const READ_LIMIT: Duration = Duration::from_millis(1_000);

/// Reads the list again and again while this member leads.
pub(crate) async fn poll(
    control: Addr<ControlActor>,
    dialect: Rc<dyn Dialect>,
    address: SocketAddr,
    interval: Duration,
) {
    let mut client = ListClient::new(address);
    let mut is_lost = false;
    loop {
        actix_rt::time::sleep(interval).await;
        let polls = control.send(LookAtFleet).await.is_ok_and(|look| look.polls);
        if !polls {
            continue;
        }
        match client.fetch(&*dialect, READ_LIMIT).await {
            Ok(list) => {
                if is_lost {
                    tracing::info!(
                        replicas = list.backends().len(),
                        "list of replicas regained"
                    );
                }
                is_lost = false;
                control.do_send(TakeBackends(list));
            }
            Err(error) => {
                if !is_lost {
                    tracing::warn!(%error, "list of replicas lost");
                }
                is_lost = true;
            }
        }
    }
}
