//! Changes reach a fleet of hollow daemons in time and cheaply.

use luglink_lab::hollow::{HollowConfig, run_hollow};

#[test]
fn changes_reach_every_daemon_while_a_zone_and_a_region_are_lost() {
    let report = run_hollow(&HollowConfig {
        daemons_per_zone: 8,
        replicas: 100,
        changes: 12,
        seed: 1,
    })
    .unwrap();
    assert_eq!(report.daemons, 56);
    assert_eq!(report.accepted, 13, "the setup and twelve changes");
    assert!(report.in_force_last_ms > 0, "nothing was measured");
    assert!(report.holds(), "{report:#?}");
}
