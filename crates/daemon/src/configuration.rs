//! What the configuration says about a caller's request.

use crate::caller::ProgramDefaults;
use crate::daemon::Daemon;
use luglink_program::ProgramSpec;
use luglink_types::{Budget, ProgramId, Refusal, RefusalCode};
use std::time::Duration;

/// Aging when operators have not configured the priority.
const DEFAULT_AGING: Duration = Duration::from_secs(10);

impl Daemon {
    /// Fills in what the caller left open and checks that everything named exists.
    pub(crate) fn resolve_spec(
        &self,
        program: &ProgramDefaults,
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

    /// The ceiling that the program's class has now.
    pub(crate) fn class_budget(&self, spec: &ProgramSpec) -> Budget {
        self.configuration.class_budget(spec.class.as_str())
    }

    /// Waiting time after which a call of this priority counts as one priority higher.
    pub(crate) fn aging(&self, spec: &ProgramSpec) -> Duration {
        self.configuration
            .priority(spec.priority)
            .map_or(DEFAULT_AGING, |level| Duration::from_millis(level.aging_ms))
    }

    /// Calls of the program's class that may wait here.
    pub(crate) fn class_queue_limit(&self, spec: &ProgramSpec) -> usize {
        self.configuration
            .class(spec.class.as_str())
            .map_or(usize::MAX, |class| class.max_queued_calls as usize)
    }
}
