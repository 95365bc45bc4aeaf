//! Lookups in the configuration for a caller's request.

use crate::caller::ProgramParameters;
use crate::daemon::Daemon;
use luglink_program::ProgramSpec;
use luglink_types::{Budget, ProgramId, Refusal, RefusalCode};
use std::time::Duration;

/// Aging interval of a priority that is not configured.
const DEFAULT_AGING: Duration = Duration::from_secs(10);

impl Daemon {
    /// Resolves the parameters of a new program: checks that every named resource exists and fills
    /// in defaults of the class.
    pub(crate) fn resolve_spec(
        &self,
        program: &ProgramParameters,
        parent: Option<ProgramId>,
    ) -> Result<ProgramSpec, Refusal> {
        let unknown = |kind: &str, name: &str| {
            Refusal::not_run(
                RefusalCode::UnknownResource,
                format!("no {kind} `{name}` is configured"),
            )
        };
        let configuration = &self.configuration;
        configuration
            .tenant(program.tenant.as_str())
            .ok_or_else(|| unknown("tenant", program.tenant.as_str()))?;
        let class = configuration
            .class(program.class.as_str())
            .ok_or_else(|| unknown("class", program.class.as_str()))?;
        configuration
            .pool(&program.model)
            .ok_or_else(|| unknown("model", program.model.as_str()))?;
        if let Some(name) = &program.adapter {
            configuration
                .adapter(name)
                .filter(|adapter| adapter.model == program.model)
                .ok_or_else(|| unknown("adapter of this model", name))?;
        }
        Ok(ProgramSpec {
            tenant: program.tenant.clone(),
            class: program.class.clone(),
            model: program.model.clone(),
            adapter: program.adapter.clone(),
            priority: program.priority.unwrap_or(class.priority),
            zone: self.config.zone.clone(),
            parent,
            budget: program.budget.clone(),
            idle_timeout_ms: class.idle_timeout_ms,
        })
    }

    /// Returns the current ceiling of the program's class.
    pub(crate) fn class_budget(&self, spec: &ProgramSpec) -> Budget {
        self.configuration.class_budget(spec.class.as_str())
    }

    /// Returns the waiting time after which a call of this priority is ranked one priority higher.
    pub(crate) fn aging(&self, spec: &ProgramSpec) -> Duration {
        self.configuration
            .priority(spec.priority)
            .map_or(DEFAULT_AGING, |level| Duration::from_millis(level.aging_ms))
    }

    /// Returns the limit on the queue length for calls of the program's class.
    pub(crate) fn class_queue_limit(&self, spec: &ProgramSpec) -> usize {
        self.configuration
            .class(spec.class.as_str())
            .map_or(usize::MAX, |class| class.max_queued_calls as usize)
    }
}
