//! The configuration as a daemon holds it.

use crate::change::Delta;
use crate::resource::{
    Adapter, ModelPool, PriorityLevel, ProgramClass, Resource, ResourceKey, ResourceKind, Service,
    Tenant,
};
use crate::store::CatchUp;
use crate::validate::apply_operation;
use luglink_types::{Budget, ModelName, Priority, Revision, ServiceName};
use std::collections::BTreeMap;

/// A copy of the configuration that only moves forward.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationView {
    revision: Revision,
    resources: BTreeMap<ResourceKey, Resource>,
}

impl ConfigurationView {
    /// The revision of this copy.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Number of resources.
    #[must_use]
    pub fn len(&self) -> usize {
        self.resources.len()
    }

    /// Whether there are no resources.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.resources.is_empty()
    }

    /// Moves forward by what a control member sent. Whatever would move back is ignored, so
    /// that a late answer never reverts a revision. Returns whether anything changed.
    pub fn advance(&mut self, catch_up: CatchUp) -> bool {
        match catch_up {
            CatchUp::Current => false,
            CatchUp::Deltas(deltas) => {
                let before = self.revision;
                for delta in deltas {
                    self.advance_by(&delta);
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

    fn advance_by(&mut self, delta: &Delta) {
        if delta.revision != self.revision.next() {
            return;
        }
        for operation in &delta.operations {
            apply_operation(&mut self.resources, operation);
        }
        self.revision = delta.revision;
    }

    /// Every resource.
    pub fn resources(&self) -> impl Iterator<Item = &Resource> {
        self.resources.values()
    }

    fn get(&self, kind: ResourceKind, name: &str) -> Option<&Resource> {
        self.resources.get(&ResourceKey {
            kind,
            name: name.to_owned(),
        })
    }

    /// A tenant by name.
    #[must_use]
    pub fn tenant(&self, name: &str) -> Option<&Tenant> {
        match self.get(ResourceKind::Tenant, name)? {
            Resource::Tenant(tenant) => Some(tenant),
            _ => None,
        }
    }

    /// A program class by name.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&ProgramClass> {
        match self.get(ResourceKind::Class, name)? {
            Resource::Class(class) => Some(class),
            _ => None,
        }
    }

    /// A model pool by the model's name.
    #[must_use]
    pub fn pool(&self, model: &ModelName) -> Option<&ModelPool> {
        match self.get(ResourceKind::ModelPool, model.as_str())? {
            Resource::ModelPool(pool) => Some(pool),
            _ => None,
        }
    }

    /// An adapter by name.
    #[must_use]
    pub fn adapter(&self, name: &str) -> Option<&Adapter> {
        match self.get(ResourceKind::Adapter, name)? {
            Resource::Adapter(adapter) => Some(adapter),
            _ => None,
        }
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        match self.get(ResourceKind::Service, name.as_str())? {
            Resource::Service(service) => Some(service),
            _ => None,
        }
    }

    /// What a priority means, when operators have said so.
    #[must_use]
    pub fn priority(&self, priority: Priority) -> Option<&PriorityLevel> {
        let name = crate::resource::priority_name(priority);
        match self.get(ResourceKind::Priority, name)? {
            Resource::Priority(level) => Some(level),
            _ => None,
        }
    }

    /// The ceiling of programs of a class: that of the budget the class names, or none.
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
