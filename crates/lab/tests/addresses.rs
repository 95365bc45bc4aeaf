//! Addresses that are reserved for components of one test process.

use luglink_lab::fleet::reserve_address;
use std::collections::BTreeSet;

const ADDRESSES: usize = 2_000;

#[test]
fn no_address_is_reserved_twice() {
    let addresses = (0..ADDRESSES).map(|_| reserve_address().expect("a port is free"));
    assert_eq!(addresses.collect::<BTreeSet<_>>().len(), ADDRESSES);
}
