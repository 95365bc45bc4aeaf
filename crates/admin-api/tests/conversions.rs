//! Resources survive the way through the schema, and input that makes no sense is named.

use luglink_admin_api::{
    change_from_proto, operation_from_proto, operation_to_proto, parse_resource_file,
    resource_from_proto, resource_to_proto, v1,
};
use luglink_resources::{
    Adapter, BudgetPolicy, Change, ChangeResponse, ModelPool, Operation, PriorityLevel,
    ProgramClass, Replica, Resource, ResourceStore, RevisionPrecondition, Service, Tenant,
};
use luglink_types::{Budget, ChangeId, EngineId, Priority, UNLIMITED};
use proptest::prelude::*;

fn name() -> impl Strategy<Value = String> {
    "[a-z][a-z0-9-]{0,12}"
}

fn priority() -> impl Strategy<Value = Priority> {
    prop_oneof![
        Just(Priority::Background),
        Just(Priority::Normal),
        Just(Priority::Interactive),
    ]
}

fn replicas() -> impl Strategy<Value = Vec<Replica>> {
    let replica = (any::<u32>(), any::<u16>(), name()).prop_map(|(engine, port, zone)| Replica {
        engine: EngineId(engine),
        address: format!("10.0.0.1:{port}"),
        zone: zone.as_str().into(),
    });
    proptest::collection::vec(replica, 0..4)
}

fn limit() -> impl Strategy<Value = u64> {
    prop_oneof![Just(UNLIMITED), 0..1_000_000_u64]
}

fn resource() -> impl Strategy<Value = Resource> {
    prop_oneof![
        (name(), any::<u32>(), any::<u32>(), any::<u64>()).prop_map(
            |(name, weight, calls, tokens)| {
                Resource::Tenant(Tenant {
                    name: name.as_str().into(),
                    weight,
                    max_concurrent_calls: calls,
                    tokens_per_second: tokens,
                })
            }
        ),
        (name(), priority(), name(), any::<u64>(), any::<u32>()).prop_map(
            |(name, priority, budget, idle_timeout_ms, max_queued_calls)| {
                Resource::Class(ProgramClass {
                    name: name.as_str().into(),
                    priority,
                    budget,
                    idle_timeout_ms,
                    max_queued_calls,
                })
            }
        ),
        (name(), name(), any::<u64>(), any::<u64>(), replicas()).prop_map(
            |(name, version, cost, tokens, replicas)| {
                Resource::ModelPool(ModelPool {
                    name: name.as_str().into(),
                    version,
                    cost_per_token_micros: cost,
                    max_output_tokens: tokens,
                    minimum_serving: 1,
                    replicas,
                })
            }
        ),
        (name(), name(), name()).prop_map(|(name, model, version)| Resource::Adapter(Adapter {
            name,
            model: model.as_str().into(),
            version,
        })),
        (priority(), any::<u64>())
            .prop_map(|(name, aging_ms)| Resource::Priority(PriorityLevel { name, aging_ms })),
        (name(), limit(), limit(), limit(), limit()).prop_map(
            |(name, calls, tokens, retries, deadline_ms)| {
                Resource::Budget(BudgetPolicy {
                    name,
                    budget: Budget {
                        calls,
                        tokens,
                        retries,
                        deadline_ms,
                        ..Budget::default()
                    },
                })
            }
        ),
        (name(), replicas()).prop_map(|(name, replicas)| Resource::Service(Service {
            name: name.as_str().into(),
            replicas,
        })),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(19),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn resources_come_back_as_they_went(resource in resource()) {
        let back = resource_from_proto(resource_to_proto(&resource)).unwrap();
        prop_assert_eq!(&back, &resource);
        let set = Operation::Set(resource.clone());
        prop_assert_eq!(operation_from_proto(operation_to_proto(&set)).unwrap(), set);
        let delete = Operation::Delete(resource.key());
        prop_assert_eq!(operation_from_proto(operation_to_proto(&delete)).unwrap(), delete);
    }

    #[test]
    fn no_resource_file_makes_it_panic(text in "(\\[\\[[a-z_]{1,12}\\]\\]\n([a-z_]{1,12} = ([0-9]+|\"[a-z]*\"|\\{\\})\n){0,4}){0,4}") {
        let _ = parse_resource_file(&text);
    }
}

#[test]
fn the_example_file_is_accepted_whole() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../etc/resources.toml");
    let text = std::fs::read_to_string(path).unwrap();
    let operations = parse_resource_file(&text).unwrap().into_operations();
    let mut kinds: Vec<_> = operations.iter().map(|it| it.key().kind).collect();
    kinds.sort_unstable();
    kinds.dedup();
    assert_eq!(kinds.len(), 7, "every kind is shown");
    let answer = ResourceStore::default().apply(&Change {
        change_id: ChangeId("example".to_owned()),
        operator: "test".to_owned(),
        expected: RevisionPrecondition::Current,
        operations,
    });
    assert!(
        matches!(answer, ChangeResponse::Accepted { .. }),
        "{answer:?}"
    );
}

#[test]
fn a_misspelt_key_names_its_line() {
    let error = parse_resource_file("[[tenant]]\nname = \"a\"\nwheight = 3\n").unwrap_err();
    let text = error.to_string();
    assert!(
        text.contains("line 3") && text.contains("wheight"),
        "{text}"
    );
}

#[test]
fn requests_without_content_are_refused_by_field() {
    let empty = v1::Operation { operation: None };
    assert!(operation_from_proto(empty).is_err());
    let nothing = v1::Resource { resource: None };
    assert!(resource_from_proto(nothing).is_err());
    let request = v1::ApplyRequest {
        change_id: String::new(),
        operator: "o".to_owned(),
        expected_revision: None,
        operations: Vec::new(),
    };
    let change = change_from_proto(request).unwrap();
    let answer = ResourceStore::default().apply(&change);
    let ChangeResponse::Invalid { violations } = answer else {
        panic!("expected violations, got {answer:?}");
    };
    assert!(violations.iter().any(|it| it.field == "change_id"));
    let unknown = v1::PriorityLevel {
        name: 77,
        aging_ms: 1,
    };
    let resource = v1::Resource {
        resource: Some(v1::resource::Resource::Priority(unknown)),
    };
    assert!(resource_from_proto(resource).is_err());
}
