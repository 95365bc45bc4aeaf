//! Services whose replicas have had a single software version for a while.
//!
//! Every stream of such a service that is under way began at that version, so a stream whose origin
//! is not known may continue there.

use luglink_fleet::SoftwareVersion;
use luglink_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Services with a single software version, and the time from which they have had no other.
#[derive(Clone, Debug, Default)]
pub struct SoleVersions {
    services: HashMap<String, SoleVersion>,
    has_list: bool,
    /// Time as of which the latest list was known.
    last_seen: Option<Timestamp>,
}

#[derive(Clone, Debug)]
struct SoleVersion {
    version: SoftwareVersion,
    since: Timestamp,
    /// True if the service has had no other version since the first list.
    is_initial: bool,
}

impl SoleVersions {
    /// Records that the list is known as of `seen`. If none was known for longer than `max_gap` before,
    /// versions that have come and gone meanwhile were missed.
    pub fn note_list(&mut self, seen: Timestamp, max_gap: Duration) {
        let last_seen = self.last_seen.replace(seen);
        if last_seen.is_some_and(|last_seen| seen.since(last_seen) > max_gap) {
            self.services.clear();
        }
    }

    /// Sets the services that have a single version in the present list. All others have several,
    /// or unknown ones.
    pub fn update<'list>(
        &mut self,
        services: impl Iterator<Item = (&'list str, &'list SoftwareVersion)>,
        now: Timestamp,
    ) {
        let mut before = std::mem::take(&mut self.services);
        let is_initial = !std::mem::replace(&mut self.has_list, true);
        for (service, version) in services {
            let same = before.remove_entry(service);
            let same = same.filter(|(_, sole)| sole.version == *version);
            let (service, sole) = same.unwrap_or_else(|| {
                let version = version.clone();
                let sole = SoleVersion {
                    version,
                    since: now,
                    is_initial,
                };
                (service.to_owned(), sole)
            });
            self.services.insert(service, sole);
        }
    }

    /// Returns the single version of a service, if it has had no other for `duration`. A list that
    /// names no versions is of a fleet that has none, for any time.
    #[must_use]
    pub fn held_for(
        &self,
        service: &str,
        duration: Duration,
        now: Timestamp,
    ) -> Option<&SoftwareVersion> {
        let sole = self.services.get(service)?;
        let is_unnamed = sole.version == SoftwareVersion::default();
        let is_held = now.since(sole.since) >= duration;
        (is_unnamed || is_held).then_some(&sole.version)
    }

    /// Returns the single version of a service, if it has had no other since the first list.
    #[must_use]
    pub fn held_since_first_list(&self, service: &str) -> Option<&SoftwareVersion> {
        let sole = self.services.get(service)?;
        sole.is_initial.then_some(&sole.version)
    }
}
