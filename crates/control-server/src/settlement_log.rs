//! Log lines and metric for the hand-over between turn stores.

use crate::metrics::MemberMetrics;
use luglink_fleet::SettlementProgress;

/// Logs each change of the progress of the hand-over at the leader.
#[derive(Debug, Default)]
pub(crate) struct SettlementLog {
    last: Option<SettlementProgress>,
}

impl SettlementLog {
    pub(crate) fn update(
        &mut self,
        progress: Option<&SettlementProgress>,
        metrics: &MemberMetrics,
    ) {
        if self.last.as_ref() == progress {
            return;
        }
        self.last = progress.cloned();
        let outstanding = progress.map_or(0, SettlementProgress::outstanding);
        metrics.hand_overs_outstanding.set(outstanding as f64);
        let Some(progress) = progress else {
            tracing::info!("the hand-over between turn stores is complete");
            return;
        };
        let SettlementProgress {
            handed_over,
            required,
            stores,
            missing,
        } = progress;
        if progress.is_blocked() {
            tracing::warn!(
                handed_over,
                required,
                stores,
                ?missing,
                "more turn stores are missing than tolerated: the hand-over waits for them"
            );
        } else {
            tracing::info!(
                handed_over,
                required,
                stores,
                ?missing,
                "the hand-over between turn stores is in progress"
            );
        }
    }
}
