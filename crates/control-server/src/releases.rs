//! Release orders to engines.

use luglink_control::{ReleaseOrder, Request};
use luglink_engine_api::{EngineOrder, OrderFence, OrderKind, OrderResponse};
use luglink_program::{Command, ConfirmRelease};
use std::time::Duration;

/// Time an engine has to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// The order as engines take it. Fences of one program's orders are compared with each other.
#[must_use]
pub fn engine_order(release: &ReleaseOrder) -> EngineOrder {
    EngineOrder {
        fence: OrderFence {
            epoch: release.fence.epoch,
            sequence: release.fence.sequence,
        },
        source: format!("program/{}", release.program),
        order: OrderKind::ReleaseProgram {
            program: release.program.to_string(),
        },
    }
}

/// Gives an engine the order. Returns the request that records its confirmation, if it gave one.
pub(crate) async fn order(client: awc::Client, release: ReleaseOrder) -> Option<Request> {
    let confirmed = Request::Program(Command::ConfirmRelease(ConfirmRelease {
        program: release.program,
        engine: release.engine,
    }));
    let Some(address) = &release.address else {
        // The engine is no longer configured: it serves nobody and holds nothing for us.
        return Some(confirmed);
    };
    let order = engine_order(&release);
    let request = client
        .post(format!("http://{address}/orders"))
        .timeout(ORDER_TIMEOUT)
        .send_json(&order);
    let answer = match request.await {
        Ok(mut response) => response.json::<OrderResponse>().await.ok(),
        Err(error) => {
            tracing::debug!(%error, program = %release.program, "release order not delivered");
            None
        }
    };
    matches!(answer, Some(OrderResponse::Done)).then_some(confirmed)
}
