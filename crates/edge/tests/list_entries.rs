//! Lists with malformed entries: no entry may make the other replicas of its page unavailable.

use luglink_edge::{BackendPage, Dialect, LuglinkDialect};
use proptest::prelude::*;

const GOOD_ENTRY: &str = r#"{"id":"i-GOOD","service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"draining":false}"#;

/// Parses a page that has the entry `foreign` before, between and after two valid entries.
fn parse_page_with(foreign: &[u8]) -> BackendPage {
    let mut page = b"{\"replicas\":[".to_vec();
    for name in ["1", "2"] {
        page.extend(foreign);
        page.push(b',');
        page.extend(GOOD_ENTRY.replace("GOOD", name).bytes());
        page.push(b',');
    }
    page.extend(foreign);
    page.extend(b"],\"next\":\"p-2\"}");
    LuglinkDialect::default().backend_page(&page).unwrap()
}

fn has_only_the_valid_entries(page: &BackendPage) -> bool {
    let names: Vec<&str> = page
        .backends
        .iter()
        .map(|backend| backend.id.0.as_str())
        .collect();
    names == ["i-1", "i-2"]
        && page.next.as_deref() == Some("p-2")
        && page.skipped_entries.count == 3
}

fn without(field: &str) -> String {
    let mut entry: serde_json::Value = serde_json::from_str(GOOD_ENTRY).unwrap();
    entry.as_object_mut().unwrap().remove(field);
    entry.to_string()
}

fn with(field: &str, value: serde_json::Value) -> String {
    let mut entry: serde_json::Value = serde_json::from_str(GOOD_ENTRY).unwrap();
    entry[field] = value;
    entry.to_string()
}

#[test]
fn entries_without_a_required_field_are_skipped() {
    for field in ["id", "service", "address", "zone", "slots", "draining"] {
        let page = parse_page_with(without(field).as_bytes());
        assert!(has_only_the_valid_entries(&page), "{field}: {page:?}");
    }
}

#[test]
fn entries_with_a_field_of_another_type_are_skipped() {
    let values = ["null", "[]", "{}", "-1", "1.5", "[[\"]\"]]", "1e99"];
    for field in ["id", "service", "address", "zone", "slots", "draining"] {
        for value in values {
            let entry = with(field, serde_json::from_str(value).unwrap());
            let page = parse_page_with(entry.as_bytes());
            assert!(has_only_the_valid_entries(&page), "{field}: {value}");
        }
    }
}

#[test]
fn an_unknown_field_may_have_any_value() {
    let entry = with("other", serde_json::json!([{"a": null}]));
    assert_eq!(parse_page_with(entry.as_bytes()).backends.len(), 5);
}

#[test]
fn invalid_utf8_affects_only_its_own_entry() {
    let hidden = GOOD_ENTRY.replace("\"zone\"", "\"other\":\"BYTES\",\"zone\"");
    let entries = [
        GOOD_ENTRY.replace("\"z\"", "\"BYTES\""),
        hidden,
        "BYTES".into(),
    ];
    for entry in entries {
        let parts: Vec<&str> = entry.split("BYTES").collect();
        let foreign = [
            parts[0].as_bytes(),
            b"\xff\xfe\x80\x00",
            parts[1].as_bytes(),
        ]
        .concat();
        let page = parse_page_with(&foreign);
        assert!(has_only_the_valid_entries(&page), "{entry}: {page:?}");
    }
}

#[test]
fn huge_or_deeply_nested_entries_are_skipped() {
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let deep_field = GOOD_ENTRY.replace("\"z\"", &deep);
    let huge = GOOD_ENTRY.replace("\"z\"", &format!("\"{}\"", "z".repeat(1 << 20)));
    for foreign in [deep, deep_field, huge] {
        let page = parse_page_with(foreign.as_bytes());
        assert!(has_only_the_valid_entries(&page));
        assert!(page.skipped_entries.first_reason.unwrap().len() < 1_000);
    }
}

#[test]
fn a_page_that_is_no_list_or_is_truncated_is_an_error() {
    let dialect = LuglinkDialect::default();
    let whole = format!("{{\"replicas\":[{GOOD_ENTRY},{GOOD_ENTRY}],\"next\":null}}");
    assert_eq!(
        dialect
            .backend_page(whole.as_bytes())
            .unwrap()
            .backends
            .len(),
        2
    );
    for end in 0..whole.len() {
        let cut = &whole.as_bytes()[..end];
        assert!(dialect.backend_page(cut).is_err(), "truncated at {end}");
    }
    let others = ["{}", "[]", "5", "{\"replicas\":{}}", "{\"replicas\":null}"];
    for other in others {
        assert!(dialect.backend_page(other.as_bytes()).is_err(), "{other}");
    }
    let bad_next = format!("{{\"replicas\":[{GOOD_ENTRY}],\"next\":5}}");
    assert!(dialect.backend_page(bad_next.as_bytes()).is_err());
}

/// Arbitrary JSON values, some of them nested.
fn any_json() -> impl Strategy<Value = serde_json::Value> {
    let leaf = prop_oneof![
        Just(serde_json::Value::Null),
        any::<bool>().prop_map(Into::into),
        any::<i64>().prop_map(Into::into),
        any::<f64>().prop_map(Into::into),
        any::<String>().prop_map(Into::into),
    ];
    leaf.prop_recursive(4, 32, 4, |inner| {
        let object = prop::collection::vec((any::<String>(), inner.clone()), 0..4);
        prop_oneof![
            prop::collection::vec(inner, 0..4).prop_map(Into::into),
            object.prop_map(|members| members.into_iter().collect()),
        ]
    })
}

proptest! {
    #[test]
    fn valid_entries_are_kept_next_to_any_value(value in any_json()) {
        let page = parse_page_with(value.to_string().as_bytes());
        prop_assert!(has_only_the_valid_entries(&page));
    }

    #[test]
    fn valid_entries_are_kept_next_to_any_value_in_any_field(
        value in any_json(),
        field in prop::sample::select(vec!["id", "service", "address", "zone", "slots", "draining"]),
    ) {
        let page = parse_page_with(with(field, value).as_bytes());
        let names: Vec<&str> = page.backends.iter().map(|backend| backend.id.0.as_str()).collect();
        prop_assert!(names.contains(&"i-1") && names.contains(&"i-2"));
        prop_assert_eq!(page.next.as_deref(), Some("p-2"));
    }

    #[test]
    fn valid_entries_are_kept_next_to_swapped_fields(order in Just(vec![0, 1, 2, 3, 4, 5]).prop_shuffle()) {
        let entry: serde_json::Value = serde_json::from_str(GOOD_ENTRY).unwrap();
        let entry = entry.as_object().unwrap();
        let keys: Vec<&String> = entry.keys().collect();
        let values: Vec<&serde_json::Value> = entry.values().collect();
        let swapped = keys.iter().zip(order).map(|(key, index)| ((*key).clone(), values[index].clone()));
        let swapped: serde_json::Map<String, serde_json::Value> = swapped.collect();
        let page = parse_page_with(serde_json::Value::from(swapped).to_string().as_bytes());
        let names: Vec<&str> = page.backends.iter().map(|backend| backend.id.0.as_str()).collect();
        prop_assert!(names.contains(&"i-1") && names.contains(&"i-2"));
    }
}
