//! Copy of the configuration in a daemon.

use crate::change::Delta;
use crate::resource::{
    Adapter, ModelPool, PriorityLevel, ProgramClass, Resource, ResourceKey, ResourceKind, Service,
    Tenant,
};
use crate::store::CatchUp;
use crate::validate::apply_operation;
use luglink_types::{Budget, ModelName, Priority, Revision, ServiceName};
use std::collections::BTreeMap;

/// Copy of the configuration whose revision never decreases.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationView {
    revision: Revision,
    resources: BTreeMap<ResourceKey, Resource>,
}

impl ConfigurationView {
    /// Returns the revision of this copy.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the number of resources.
    #[must_use]
    pub fn len(&self) -> usize {
        self.resources.len()
    }

    /// Returns true if there are no resources.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.resources.is_empty()
    }

    /// Applies an update from a control member. Updates to earlier revisions are ignored, so that a
    /// delayed response does not revert the copy. Returns true if the copy changed.
    pub fn advance(&mut self, catch_up: CatchUp) -> bool {
        match catch_up {
            CatchUp::Current => false,
            CatchUp::Deltas(deltas) => {
                let before = self.revision;
                for delta in deltas {
                    self.apply_delta(&delta);
                }
                self.revision > before
            }
            CatchUp::Snapshot {
                revision,
                resources,
            } => {
                if revision <= self.revision {
                    return false;
                }
                self.revision = revision;
                self.resources = resources
                    .into_iter()
                    .map(|resource| (resource.key(), resource))
                    .collect();
                true
            }
        }
    }

    fn apply_delta(&mut self, delta: &Delta) {
        if delta.revision != self.revision.next() {
            return;
        }
        for operation in &delta.operations {
            apply_operation(&mut self.resources, operation);
        }
        self.revision = delta.revision;
    }

    /// Returns all resources.
    pub fn resources(&self) -> impl Iterator<Item = &Resource> {
        self.resources.values()
    }

    fn get(&self, kind: ResourceKind, name: &str) -> Option<&Resource> {
        self.resources.get(&ResourceKey {
            kind,
            name: name.to_owned(),
        })
    }

    /// Returns the tenant with this name.
    #[must_use]
    pub fn tenant(&self, name: &str) -> Option<&Tenant> {
        match self.get(ResourceKind::Tenant, name)? {
            Resource::Tenant(tenant) => Some(tenant),
            _ => None,
        }
    }

    /// Returns the program class with this name.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&ProgramClass> {
        match self.get(ResourceKind::Class, name)? {
            Resource::Class(class) => Some(class),
            _ => None,
        }
    }

    /// Returns the pool that serves this model.
    #[must_use]
    pub fn pool(&self, model: &ModelName) -> Option<&ModelPool> {
        match self.get(ResourceKind::ModelPool, model.as_str())? {
            Resource::ModelPool(pool) => Some(pool),
            _ => None,
        }
    }

    /// Returns the adapter with this name.
    #[must_use]
    pub fn adapter(&self, name: &str) -> Option<&Adapter> {
        match self.get(ResourceKind::Adapter, name)? {
            Resource::Adapter(adapter) => Some(adapter),
            _ => None,
        }
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        match self.get(ResourceKind::Service, name.as_str())? {
            Resource::Service(service) => Some(service),
            _ => None,
        }
    }

    /// Returns the parameters of a priority, if operators have set them.
    #[must_use]
    pub fn priority(&self, priority: Priority) -> Option<&PriorityLevel> {
        let name = crate::resource::priority_name(priority);
        match self.get(ResourceKind::Priority, name)? {
            Resource::Priority(level) => Some(level),
            _ => None,
        }
    }

    /// Returns the budget of the programs of a class. It is unlimited if the class does not exist, or
    /// names no budget or one that does not exist.
    #[must_use]
    pub fn class_budget(&self, class: &str) -> Budget {
        self.class(class)
            .and_then(|class| self.get(ResourceKind::Budget, &class.budget))
            .map_or_else(Budget::default, |resource| match resource {
                Resource::Budget(policy) => policy.budget.clone(),
                _ => Budget::default(),
            })
    }
}
