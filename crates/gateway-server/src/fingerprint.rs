//! Identity of a request over the attempts of its caller.
//!
//! It covers what a replica gets to run: the method, host and target, the body, and the program and
//! turn that the request belongs to, or else the parts of its prompt. It leaves out what differs
//! between attempts, such as their identifiers and the time left. Tenants do not share identities.

use crate::gateway::Gateway;
use crate::inbound::tenant_name;
use http::header::HOST;
use http::request::Parts;
use http::{HeaderMap, HeaderName};
use luglink_edge::Caller;
use luglink_turns::RequestFingerprint;
use xxhash_rust::xxh3::Xxh3;

/// Returns the identity of a request.
pub(crate) fn of(
    gateway: &Gateway,
    caller: &Caller,
    head: &Parts,
    body: &[u8],
) -> RequestFingerprint {
    let names = gateway.dialect.headers();
    let tenant = tenant_name(caller).map_or("", |tenant| tenant.as_str());
    let target = head.uri.path_and_query();
    let target = target.map_or("", |target| target.as_str());
    let context = if head.headers.contains_key(&names.program) {
        [&names.program, &names.previous_turn]
    } else {
        [&names.prompt_parts, &names.previous_turn]
    };
    let mut hasher = Xxh3::new();
    add(&mut hasher, tenant.as_bytes());
    add(&mut hasher, head.method.as_str().as_bytes());
    add(&mut hasher, value(&head.headers, &HOST));
    add(&mut hasher, target.as_bytes());
    for name in context {
        add(&mut hasher, value(&head.headers, name));
    }
    add(&mut hasher, body);
    let hash = hasher.digest128();
    RequestFingerprint((hash >> 64) as u64, hash as u64)
}

fn value<'headers>(headers: &'headers HeaderMap, name: &HeaderName) -> &'headers [u8] {
    headers.get(name).map_or(&[], |value| value.as_bytes())
}

/// Adds a field with its length, so that adjacent fields cannot be confused.
fn add(hasher: &mut Xxh3, field: &[u8]) {
    hasher.update(&(field.len() as u64).to_le_bytes());
    hasher.update(field);
}
