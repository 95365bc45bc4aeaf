//! Fenced orders.

use luglink_engine_api::{OrderFence, OrderResponse};
use std::collections::BTreeMap;

/// The highest fence seen of each source.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fences {
    highest: BTreeMap<String, OrderFence>,
}

impl Fences {
    /// Admits an order, or says why not. The same fence twice is the same order sent again.
    pub(crate) fn admit(&mut self, source: &str, fence: OrderFence) -> Result<(), OrderResponse> {
        let highest = self.highest.entry(source.to_owned()).or_default();
        if fence < *highest {
            return Err(OrderResponse::Fenced { highest: *highest });
        }
        *highest = fence;
        Ok(())
    }
}
