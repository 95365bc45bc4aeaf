//! Lists of replicas: changes instead of whole lists.

use luglink_fleet::{Backend, BackendHistory, BackendId, BackendList, BackendUpdate};
use proptest::prelude::*;

fn backend(number: u16, draining: bool) -> Backend {
    Backend {
        id: BackendId(format!("i-{number}")),
        service: "s".to_owned(),
        address: ([10, 0, 0, 1], 1_000 + number).into(),
        zone: "z".to_owned(),
        slots: 4,
        draining,
    }
}

fn list(backends: impl IntoIterator<Item = (u16, bool)>) -> BackendList {
    let backends: std::collections::BTreeMap<u16, bool> = backends.into_iter().collect();
    let backends = backends.into_iter();
    BackendList::new(
        backends
            .map(|(number, draining)| backend(number, draining))
            .collect(),
    )
}

/// At the size we design for every gateway is told of every change: what is told must not grow
/// with the list.
#[test]
fn a_change_costs_what_has_changed() {
    let all = |leaving: u16| (0..3_000).map(move |number| (number, number == leaving));
    let mut history = BackendHistory::default();
    let first = list(all(u16::MAX));
    history.push(first.clone());
    history.push(list(all(7)));
    let BackendUpdate::Changes(changes) = history.update_from(first.fingerprint()) else {
        panic!("the first list is remembered");
    };
    assert_eq!(changes.changed, [backend(7, true)]);
    assert!(changes.removed.is_empty());
    let BackendUpdate::Whole(whole) = history.update_from(1) else {
        panic!("nothing is known of that list");
    };
    assert_eq!(Some(&whole), history.latest());
    assert_eq!(
        history.update_from(whole.fingerprint()),
        BackendUpdate::None
    );
}

#[test]
fn changes_of_another_list_are_not_taken() {
    let first = list([(1, false)]);
    let second = list([(1, true)]);
    let third = list([(2, false)]);
    assert_eq!(third.changed(&first.changes_to(&second)), None);
}

proptest! {
    #[test]
    fn changes_lead_from_any_list_to_any_other(
        before in prop::collection::vec((0_u16..30, any::<bool>()), 0..30),
        after in prop::collection::vec((0_u16..30, any::<bool>()), 0..30),
    ) {
        let (before, after) = (list(before), list(after));
        let changed = before.changed(&before.changes_to(&after));
        prop_assert_eq!(changed, Some(after));
    }
}
