//! Delivery of release orders to engines.

use luglink_control::{ReleaseOrder, Request};
use luglink_engine_api::{EngineOrder, OrderFence, OrderKind, OrderResponse};
use luglink_program::{Command, ConfirmRelease};
use std::time::Duration;

/// Timeout of an order to an engine.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Converts a release order to the engine API. The program is the source of the order, so that
/// engines compare its fence only with fences of orders for the same program.
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

/// Sends a release order to its engine. Returns the request that records the confirmation, if the
/// engine confirmed the order.
pub(crate) async fn send_order(client: awc::Client, release: ReleaseOrder) -> Option<Request> {
    let confirmed = Request::Program(Command::ConfirmRelease(ConfirmRelease {
        program: release.program,
        engine: release.engine,
    }));
    let Some(address) = &release.address else {
        // An engine that is no longer configured serves no calls and holds no memory for programs.
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
            tracing::debug!(%error, program = %release.program, "cannot deliver a release order");
            None
        }
    };
    matches!(answer, Some(OrderResponse::Done)).then_some(confirmed)
}
