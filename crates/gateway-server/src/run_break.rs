//! Runs whose connection broke: whether their replicas have ended.

use crate::crash_ledger::in_state;
use crate::doubtful_runs::DoubtReason;
use crate::gateway::Gateway;
use crate::placement;
use luglink_fleet::Incarnation;
use luglink_http::ConnectionState;
use luglink_turns::{RunReport, RunState};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time after which the connections of a process that has ended are usually closed here too.
pub(crate) const CONFIRMATION_DELAY: Duration = Duration::from_millis(10);

/// Result of looking at a replica just after a connection to it broke.
enum BreakCause {
    /// No other connection to the replica is open, and it does not report the same incarnation.
    Ended,
    /// It may have ended, or end soon. These connections to it are open.
    InDoubt(Vec<ConnectionState>),
}

/// Records whether a replica ended when a connection to it broke.
pub(crate) async fn confirm_crash(
    gateway: Rc<Gateway>,
    report: RunReport,
    reason: DoubtReason,
    deadline: Instant,
) {
    let cause = find_break_cause(&gateway, &report).await;
    let has_ended = matches!(cause, BreakCause::Ended);
    let open_connections = match cause {
        BreakCause::Ended => {
            gateway.metrics.crashes.inc();
            let crashed = in_state(&report, RunState::Crashed);
            gateway.crashes.borrow_mut().review_later(crashed.clone());
            gateway.report_run(&crashed).await;
            0
        }
        BreakCause::InDoubt(witnesses) => {
            let open_connections = witnesses.len();
            gateway.doubt_with(&report, reason, deadline, witnesses);
            gateway.report_doubt(&report).await;
            open_connections
        }
    };
    tracing::info!(
        request = %report.request,
        replica = %report.replica,
        started_ms = report.incarnation.0,
        has_ended,
        open_connections,
        crashes = gateway.crashes_under(report.request),
        "connection to a replica broke during a run"
    );
}

/// Looks at a replica whose connection has just broken. If it has ended, all connections to it
/// usually close. If none was open, its report shows whether it has restarted since. Without a
/// report, it counts as ended.
async fn find_break_cause(gateway: &Gateway, report: &RunReport) -> BreakCause {
    let broke_at = Instant::now();
    actix_rt::time::sleep(CONFIRMATION_DELAY).await;
    let open = gateway.upstream.open_since(&report.replica, broke_at);
    if !open.is_empty() {
        return BreakCause::InDoubt(open);
    }
    let listed = gateway.pool.borrow().listed(&report.replica).cloned();
    let Some(replica) = listed.filter(|_| report.incarnation != Incarnation::UNKNOWN) else {
        return BreakCause::Ended;
    };
    let reported = placement::query_incarnation(gateway, &replica).await;
    if reported == Some(report.incarnation) {
        BreakCause::InDoubt(Vec::new())
    } else {
        BreakCause::Ended
    }
}
