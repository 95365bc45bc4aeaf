//! Resource files of operators: TOML with one table for each resource.

use crate::errors::{ResourceFileError, ResourceFileSnafu};
use luglink_resources::{
    Adapter, BudgetPolicy, ModelPool, Operation, PriorityLevel, ProgramClass, Resource, Service,
    Tenant,
};
use serde::Deserialize;
use snafu::ResultExt;

/// Resources of a file. References point to earlier fields only.
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
    /// Returns the operations that set all resources of the file.
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

/// Parses a resource file.
///
/// # Errors
/// Returns an error with the line, the column and the cause, also for unknown keys.
pub fn parse_resource_file(text: &str) -> Result<ResourceFile, ResourceFileError> {
    toml_edit::de::from_str(text).context(ResourceFileSnafu)
}
