//! Operators: changes of the configuration over gRPC.

use crate::fleet::budget_from_change;
use crate::observe::{ChangeRecord, Observer};
use crate::trace::{ChangeEvent, ExpectedRevision};
use luglink_admin_api::{AdminClient, operation_to_proto, resource_from_proto, v1};
use luglink_resources::{Operation, Resource};
use luglink_types::{Revision, Timestamp};
use std::time::Instant;

/// Applies one change of a trace and notes when it was accepted.
///
/// # Errors
/// The change means nothing, or no control member answered.
pub(crate) async fn apply(
    admin: &AdminClient,
    observer: &Observer,
    started: Instant,
    event: &ChangeEvent,
) -> Result<String, String> {
    let sent_at = Timestamp::ZERO.plus(started.elapsed());
    let current = admin
        .get(v1::GetRequest {
            kind: v1::ResourceKind::Budget.into(),
            name: event.set.name.clone(),
        })
        .await
        .map_err(|error| error.to_string())?;
    let budget = current
        .resources
        .into_iter()
        .find_map(|resource| match &resource.resource {
            Some(v1::resource::Resource::Budget(_)) => resource_from_proto(resource).ok(),
            _ => None,
        })
        .and_then(|resource| match resource {
            Resource::Budget(policy) => Some(policy),
            _ => None,
        });
    let policy = budget_from_change(&event.set, budget)?;
    let expected_revision = match event.expected_revision {
        ExpectedRevision::Current => None,
        ExpectedRevision::Exactly(revision) => Some(revision),
    };
    let answer = admin
        .apply(v1::ApplyRequest {
            change_id: event.change_id.clone(),
            operator: event.operator.clone(),
            expected_revision,
            operations: vec![operation_to_proto(&Operation::Set(Resource::Budget(
                policy.clone(),
            )))],
        })
        .await
        .map_err(|error| error.to_string())?;
    let now = Timestamp::ZERO.plus(started.elapsed());
    let accepted = match answer.answer {
        Some(v1::apply_response::Answer::AcceptedRevision(revision)) => {
            Some((now, Revision(revision)))
        }
        _ => None,
    };
    observer.note(|history| {
        history.changes.push(ChangeRecord {
            change_id: event.change_id.clone(),
            sent_at,
            expected: expected_revision.map(Revision),
            budget: Some(policy),
            accepted,
            answered: true,
        });
    });
    Ok(format!("{answer:?}"))
}
