//! Software versions of replicas, in deployments with builds that do not send them.

use luglink_fleet::{
    Backend, BackendId, BackendList, Incarnation, ListCopy, ListHistory, ReplicaVersion,
    SoftwareVersion,
};
use luglink_types::Timestamp;
use std::time::Duration;

fn backend(number: u16, version: Option<&str>) -> Backend {
    Backend {
        id: BackendId(format!("i-{number}")),
        service: "s".to_owned(),
        address: ([10, 0, 0, 1], 1_000 + number).into(),
        zone: "z".to_owned(),
        slots: 4,
        draining: false,
        incarnation: Incarnation(5),
        version: version.map(|version| SoftwareVersion(version.to_owned())),
    }
}

fn list(versions: &[Option<&str>]) -> BackendList {
    let numbered = (0..).zip(versions);
    let backends = numbered.map(|(number, version)| backend(number, *version));
    BackendList::new(backends.collect())
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + seconds * 1_000)
}

fn versions(list: &BackendList) -> Vec<Option<String>> {
    let versions = list.backends().map(|backend| backend.version.clone());
    versions.map(|version| Some(version?.0)).collect()
}

fn entry(number: u16, start: u64, version: &str) -> ReplicaVersion {
    ReplicaVersion {
        replica: BackendId(format!("i-{number}")),
        incarnation: Incarnation(start),
        version: SoftwareVersion(version.to_owned()),
    }
}

/// Sends the list of a member and the versions that the follower lacks over the wire format, which
/// has no versions in the list. Returns the number of versions sent.
fn query(follower: &mut ListCopy, member: &mut ListHistory, now: Timestamp) -> usize {
    let known = follower.known(now);
    let known_versions = follower.known_replica_versions();
    let known_incarnations = follower.known_incarnations();
    let report = member.report(&known, now);
    let incarnations = member.incarnations_after(known_incarnations, report.is_some());
    let lacking = member.versions_after(known_versions, report.is_some());
    if let Some(report) = report {
        let bytes = luglink_wire::encode_body(&report).unwrap();
        follower.follow(luglink_wire::decode_body(&bytes).unwrap(), now);
    }
    follower.merge_incarnations(&incarnations.unwrap_or_default());
    let lacking = lacking.unwrap_or_default();
    follower.merge_versions(&lacking);
    lacking.len()
}

#[test]
fn versions_are_not_part_of_fingerprints_and_encoded_lists() {
    let with = list(&[Some("v1"), Some("v2")]);
    let without = list(&[None, None]);
    assert_eq!(with.fingerprint(), without.fingerprint());
    assert_ne!(with.version_sum(), without.version_sum());
    let encoded = luglink_wire::encode_body(&with).unwrap();
    assert_eq!(encoded, luglink_wire::encode_body(&without).unwrap());
}

#[test]
fn a_follower_learns_all_versions_once_and_then_only_new_ones() {
    let (mut member, mut follower) = (ListHistory::default(), ListCopy::default());
    member.replace(list(&[Some("v1"), Some("v1")]), at(1));
    assert_eq!(query(&mut follower, &mut member, at(2)), 2);
    assert_eq!(query(&mut follower, &mut member, at(3)), 0);
    member.replace(list(&[Some("v1"), Some("v1"), Some("v2")]), at(4));
    assert_eq!(query(&mut follower, &mut member, at(5)), 1);
    let expected = [Some("v1"), Some("v1"), Some("v2")];
    assert_eq!(
        versions(follower.list()),
        expected.map(|v| v.map(str::to_owned))
    );
}

#[test]
fn a_list_of_a_build_without_versions_keeps_the_known_ones() {
    let mut copy = ListCopy::default();
    copy.replace(list(&[Some("v1"), Some("v2")]), at(1));
    copy.replace(list(&[None, None, None]), at(2));
    let expected = [Some("v1"), Some("v2"), None];
    assert_eq!(
        versions(copy.list()),
        expected.map(|v| v.map(str::to_owned))
    );
}

#[test]
fn the_version_of_an_earlier_incarnation_is_forgotten_at_a_restart() {
    let mut copy = ListCopy::default();
    copy.replace(list(&[Some("v1")]), at(1));
    let restarted = luglink_fleet::ReplicaIncarnation {
        replica: BackendId("i-0".to_owned()),
        incarnation: Incarnation(6),
    };
    copy.merge_incarnations(&[restarted]);
    assert_eq!(versions(copy.list()), [None]);
    assert!(copy.merge_versions(&[entry(0, 5, "v1")]).is_none());
    assert!(copy.merge_versions(&[entry(0, 6, "v2")]).is_some());
    assert_eq!(versions(copy.list()), [Some("v2".to_owned())]);
}

#[test]
fn a_list_lacks_versions_until_all_are_known() {
    let mut copy = ListCopy::default();
    copy.replace(list(&[Some("v1"), None]), at(1));
    assert!(copy.list().lacks_versions());
    copy.merge_versions(&[entry(1, 5, "v2")]);
    assert!(!copy.list().lacks_versions());
    copy.replace(list(&[Some("v1")]), at(2));
    assert!(!copy.list().lacks_versions());
    copy.replace(list(&[None, None, None]), at(3));
    assert!(copy.list().lacks_versions());
}

#[test]
fn versions_of_unlisted_replicas_are_ignored() {
    let mut copy = ListCopy::default();
    copy.replace(list(&[None]), at(1));
    assert!(copy.merge_versions(&[entry(9, 5, "v1")]).is_none());
    assert!(copy.merge_versions(&[]).is_none());
    assert_eq!(copy.age(at(1)), Some(Duration::ZERO));
}
