//! Connections of one caller, which stay open until their gateways close them.

use crate::fleet::Fleet;
use luglink_http::{ClientConnection, connect};
use std::collections::HashMap;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections by gateway.
#[derive(Default)]
pub struct Connections(HashMap<usize, ClientConnection>);

impl Connections {
    /// Returns the open connection to a gateway, or a new one.
    pub async fn take(&mut self, fleet: &Fleet, gateway: usize) -> Option<ClientConnection> {
        if let Some(mut open) = self.0.remove(&gateway)
            && open.wait_until_ready().await
        {
            return Some(open);
        }
        let address = fleet.addresses[gateway];
        connect(address, CONNECT_TIMEOUT).await.ok()
    }

    pub fn give_back(&mut self, gateway: usize, connection: ClientConnection) {
        self.0.insert(gateway, connection);
    }
}
