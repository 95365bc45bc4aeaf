//! Registry of turn stores, document store, and placement.

use luglink_fleet::{
    DocumentStore, RetireResponse, RetireState, StoreCommand, StoreName, StoreRegistry, StoreState,
    VersionedDocument, owners,
};
use proptest::prelude::*;
use std::net::SocketAddr;

fn name(text: &str) -> StoreName {
    StoreName(text.to_owned())
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn join(text: &str, incarnation: u64, founding: bool) -> StoreCommand {
    StoreCommand::Join {
        name: name(text),
        address: address(1),
        zone: "z".to_owned(),
        incarnation,
        founding,
    }
}

fn founded(names: &[&str]) -> StoreRegistry {
    let mut registry = StoreRegistry::default();
    for text in names {
        registry.apply(&join(text, 1, true));
    }
    registry
}

fn state(registry: &StoreRegistry, text: &str) -> StoreState {
    registry.view().members[&name(text)].state
}

#[test]
fn founding_stores_are_active_at_once_and_later_ones_must_be_filled() {
    let mut registry = founded(&["a", "b", "c"]);
    registry.apply(&join("d", 9, false));
    assert_eq!(state(&registry, "a"), StoreState::Active);
    assert_eq!(state(&registry, "d"), StoreState::Joining);
    registry.apply(&StoreCommand::Activate {
        name: name("d"),
        incarnation: 9,
    });
    assert_eq!(state(&registry, "d"), StoreState::Active);
}

#[test]
fn a_founding_store_that_lost_its_disk_must_be_filled() {
    let mut registry = founded(&["a", "b", "c"]);
    registry.apply(&join("a", 2, true));
    assert_eq!(state(&registry, "a"), StoreState::Joining);
    // An activation of the old disk must not activate the new one.
    registry.apply(&StoreCommand::Activate {
        name: name("a"),
        incarnation: 1,
    });
    assert_eq!(state(&registry, "a"), StoreState::Joining);
}

#[test]
fn a_lost_store_that_returns_must_be_filled() {
    let mut registry = founded(&["a", "b", "c", "d"]);
    registry.apply(&StoreCommand::Lose { name: name("a") });
    assert_eq!(state(&registry, "a"), StoreState::Lost);
    registry.apply(&join("a", 1, true));
    assert_eq!(state(&registry, "a"), StoreState::Joining);
}

#[test]
fn repeated_commands_do_not_change_the_epoch() {
    let mut registry = founded(&["a", "b", "c"]);
    let epoch = registry.view().epoch;
    registry.apply(&join("a", 1, true));
    registry.apply(&StoreCommand::Activate {
        name: name("a"),
        incarnation: 1,
    });
    assert_eq!(registry.view().epoch, epoch);
}

#[test]
fn retirement_is_rejected_if_too_few_stores_would_remain_and_can_be_repeated() {
    let retire = |text: &str| StoreCommand::Retire {
        name: name(text),
        minimum: 3,
    };
    let mut registry = founded(&["a", "b", "c"]);
    assert_eq!(registry.apply(&retire("a")), RetireResponse::TooFew);
    assert_eq!(registry.apply(&retire("x")), RetireResponse::Unknown);
    registry.apply(&join("d", 1, false));
    let running = RetireResponse::State(RetireState::Running);
    assert_eq!(registry.apply(&retire("a")), running);
    assert_eq!(registry.apply(&retire("a")), running);
    assert_eq!(state(&registry, "a"), StoreState::Leaving);
    registry.apply(&StoreCommand::Remove { name: name("a") });
    let completed = RetireResponse::State(RetireState::Completed);
    assert_eq!(registry.apply(&retire("a")), completed);
}

#[test]
fn a_leaving_store_that_restarts_empty_does_not_accept_writes_again() {
    let mut registry = founded(&["a", "b", "c", "d"]);
    registry.apply(&StoreCommand::Retire {
        name: name("a"),
        minimum: 3,
    });
    registry.apply(&join("a", 7, false));
    assert_eq!(state(&registry, "a"), StoreState::Leaving);
    assert!(!owners(registry.view(), "key", 4).contains(&name("a")));
}

#[test]
fn only_an_active_store_with_the_known_disk_is_authoritative() {
    let mut registry = founded(&["a", "b"]);
    assert!(registry.view().is_authoritative(&name("a"), 1));
    assert!(!registry.view().is_authoritative(&name("a"), 2));
    registry.apply(&join("c", 5, false));
    assert!(!registry.view().is_authoritative(&name("c"), 5));
}

#[test]
fn the_highest_version_is_stored_and_its_content_never_changes() {
    let document = |version: u64, text: &str| VersionedDocument {
        version,
        content: text.as_bytes().to_vec(),
    };
    let mut store = DocumentStore::default();
    assert!(store.put(&document(5, "five")));
    assert!(!store.put(&document(5, "other five")));
    assert!(!store.put(&document(4, "four")));
    assert_eq!(store.held(), Some(&document(5, "five")));
    assert!(store.put(&document(9, "nine")));
    assert_eq!(store.version(), 9);
}

proptest! {
    /// A new store takes over keys from the others, but no keys move between the others.
    #[test]
    fn a_new_store_moves_no_keys_between_the_others(key in "[a-z]{1,12}", copies in 1_usize..4) {
        let mut registry = founded(&["a", "b", "c", "d"]);
        let before = owners(registry.view(), &key, copies);
        registry.apply(&join("e", 1, false));
        let after = owners(registry.view(), &key, copies);
        prop_assert_eq!(after.len(), copies);
        for owner in after.iter().filter(|owner| **owner != name("e")) {
            prop_assert!(before.contains(owner));
        }
    }
}
