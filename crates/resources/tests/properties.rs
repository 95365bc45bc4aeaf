//! Whatever operators do: revisions are one order, answers are stable, and every reader arrives.

use luglink_resources::{
    BudgetPolicy, CatchUp, Change, ChangeResponse, ConfigurationView, Operation, ProgramClass,
    Resource, ResourceKey, ResourceKind, ResourceStore, RevisionPrecondition, Tenant,
};
use luglink_types::{Budget, ChangeId, Priority, Revision};
use proptest::prelude::*;

fn resource() -> impl Strategy<Value = Resource> {
    let name = 0..4_u32;
    prop_oneof![
        (name.clone(), 0..3_u32).prop_map(|(name, weight)| Resource::Tenant(Tenant {
            name: format!("t{name}").as_str().into(),
            weight,
            max_concurrent_calls: 0,
            tokens_per_second: 0,
        })),
        (name.clone(), 1..9_u64).prop_map(|(name, tokens)| Resource::Budget(BudgetPolicy {
            name: format!("b{name}"),
            budget: Budget {
                tokens,
                ..Budget::default()
            },
        })),
        (name.clone(), name).prop_map(|(name, budget)| Resource::Class(ProgramClass {
            name: format!("c{name}").as_str().into(),
            priority: Priority::Normal,
            budget: format!("b{budget}"),
            idle_timeout_ms: 1_000,
            max_queued_calls: 10,
        })),
    ]
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        4 => resource().prop_map(Operation::Set),
        1 => (0..4_u32).prop_map(|name| Operation::Delete(ResourceKey {
            kind: ResourceKind::Budget,
            name: format!("b{name}"),
        })),
    ]
}

fn change() -> impl Strategy<Value = Change> {
    let expected = prop_oneof![
        Just(RevisionPrecondition::Current),
        (0..12_u64).prop_map(|revision| RevisionPrecondition::Exactly(Revision(revision))),
    ];
    let operations = proptest::collection::vec(operation(), 1..4);
    (0..30_u32, expected, operations).prop_map(|(id, expected, operations)| Change {
        change_id: ChangeId(format!("change-{id}")),
        operator: "operator".to_owned(),
        expected,
        operations,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_reader_arrives_and_never_goes_back(
        changes in proptest::collection::vec(change(), 1..60),
        looks in proptest::collection::vec(any::<bool>(), 60),
    ) {
        let mut store = ResourceStore::default();
        let mut often = ConfigurationView::default();
        let mut late_answers: Vec<CatchUp> = Vec::new();
        for (change, look) in changes.iter().zip(looks) {
            let before = store.revision();
            let answer = store.apply(change);
            prop_assert_eq!(&store.apply(change), &answer, "a resent change is answered the same");
            match answer {
                ChangeResponse::Accepted { revision } if store.revision() > before => {
                    prop_assert_eq!(revision, before.next());
                    let own = match change.expected {
                        RevisionPrecondition::Exactly(expected) => expected == before,
                        RevisionPrecondition::Current => true,
                    };
                    prop_assert!(own, "a stale change was accepted");
                }
                _ => prop_assert_eq!(store.revision(), before),
            }
            if look {
                let catch_up = store.catch_up(often.revision());
                late_answers.push(catch_up.clone());
                often.advance(catch_up);
            }
        }
        let mut never = ConfigurationView::default();
        for view in [&mut often, &mut never] {
            view.advance(store.catch_up(view.revision()));
            prop_assert_eq!(view.revision(), store.revision());
            let own: Vec<&Resource> = view.resources().collect();
            let expected: Vec<&Resource> = store.resources().values().collect();
            prop_assert_eq!(own, expected);
        }
        for late in late_answers {
            prop_assert!(!often.advance(late), "a late answer moved the view");
        }
    }

    /// No accepted change leaves a reference to something that is not there.
    #[test]
    fn references_always_hold(changes in proptest::collection::vec(change(), 1..60)) {
        let mut store = ResourceStore::default();
        for change in &changes {
            store.apply(change);
            for resource in store.resources().values() {
                let Resource::Class(class) = resource else { continue };
                let key = ResourceKey { kind: ResourceKind::Budget, name: class.budget.clone() };
                prop_assert!(class.budget.is_empty() || store.resources().contains_key(&key));
            }
        }
    }
}

/// A reader that is hundreds of revisions behind gets a snapshot, and the next one deltas.
#[test]
fn a_reader_hundreds_behind_gets_a_snapshot() {
    let mut store = ResourceStore::default();
    for number in 0..400_u64 {
        let change = Change {
            change_id: ChangeId(format!("c{number}")),
            operator: "o".to_owned(),
            expected: RevisionPrecondition::Exactly(Revision(number)),
            operations: vec![Operation::Set(Resource::Budget(BudgetPolicy {
                name: "b".to_owned(),
                budget: Budget {
                    tokens: number + 1,
                    ..Budget::default()
                },
            }))],
        };
        let accepted = ChangeResponse::Accepted {
            revision: Revision(number + 1),
        };
        assert_eq!(store.apply(&change), accepted);
    }
    let mut view = ConfigurationView::default();
    let far = store.catch_up(view.revision());
    assert!(matches!(far, CatchUp::Snapshot { .. }));
    assert!(view.advance(far));
    assert_eq!(view.revision(), Revision(400));
    assert!(matches!(store.catch_up(Revision(350)), CatchUp::Deltas(deltas) if deltas.len() == 50));
}
