//! The file in which operators describe resources: TOML, one table for each.

use crate::errors::{ResourceFileError, ResourceFileSnafu};
use luglink_resources::{
    Adapter, BudgetPolicy, ModelPool, Operation, PriorityLevel, ProgramClass, Resource, Service,
    Tenant,
};
use serde::Deserialize;
use snafu::ResultExt;

/// Every resource of a file, in the order in which references need them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ResourceFile {
    /// `[[tenant]]` tables.
    pub tenant: Vec<Tenant>,
    /// `[[budget]]` tables.
    pub budget: Vec<BudgetPolicy>,
    /// `[[priority]]` tables.
    pub priority: Vec<PriorityLevel>,
    /// `[[class]]` tables.
    pub class: Vec<ProgramClass>,
    /// `[[model_pool]]` tables.
    pub model_pool: Vec<ModelPool>,
    /// `[[adapter]]` tables.
    pub adapter: Vec<Adapter>,
    /// `[[service]]` tables.
    pub service: Vec<Service>,
}

impl ResourceFile {
    /// The operations that set every resource of the file.
    #[must_use]
    pub fn into_operations(self) -> Vec<Operation> {
        let tenants = self.tenant.into_iter().map(Resource::Tenant);
        let budgets = self.budget.into_iter().map(Resource::Budget);
        let priorities = self.priority.into_iter().map(Resource::Priority);
        let classes = self.class.into_iter().map(Resource::Class);
        let pools = self.model_pool.into_iter().map(Resource::ModelPool);
        let adapters = self.adapter.into_iter().map(Resource::Adapter);
        let services = self.service.into_iter().map(Resource::Service);
        tenants
            .chain(budgets)
            .chain(priorities)
            .chain(classes)
            .chain(pools)
            .chain(adapters)
            .chain(services)
            .map(Operation::Set)
            .collect()
    }
}

/// Reads a resource file.
///
/// # Errors
/// Names the line, the column and the rule; unknown keys are refused.
pub fn parse_resource_file(text: &str) -> Result<ResourceFile, ResourceFileError> {
    toml_edit::de::from_str(text).context(ResourceFileSnafu)
}
