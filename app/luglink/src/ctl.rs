//! `luglink ctl`: command-line client of the administration API.

use crate::exit::{Exit, Failure};
use crate::options::{CtlCommand, CtlOptions};
use luglink_admin_api::{
    AdminClient, ClientError, operation_from_proto, operation_to_proto, parse_resource_file,
    resource_from_proto, v1,
};
use luglink_resources::Resource;
use std::path::Path;

pub(crate) fn run(options: CtlOptions) -> Result<Exit, Failure> {
    let client = AdminClient::new(options.address)
        .map_err(|error| Failure::new(Exit::InvalidInput, error))?;
    actix_rt::System::new().block_on(execute(&client, options.command))
}

async fn execute(client: &AdminClient, command: CtlCommand) -> Result<Exit, Failure> {
    match command {
        CtlCommand::Apply {
            file,
            expected_revision,
            change_id,
            operator,
        } => {
            let operations = read_operations(&file)?;
            let request = v1::ApplyRequest {
                change_id,
                operator,
                expected_revision,
                operations,
            };
            apply(client, request).await
        }
        CtlCommand::Delete {
            expected_revision,
            change_id,
            kind,
            name,
        } => {
            let key = v1::ResourceKey {
                kind: parse_kind(&kind)?.into(),
                name,
            };
            let operation = v1::Operation {
                operation: Some(v1::operation::Operation::Delete(key)),
            };
            let request = v1::ApplyRequest {
                change_id,
                operator: "ctl".to_owned(),
                expected_revision,
                operations: vec![operation],
            };
            apply(client, request).await
        }
        CtlCommand::Get { kind, name } => get(client, kind.as_deref(), name).await,
        CtlCommand::Watch { after } => watch(client, after).await,
        CtlCommand::Status => Ok(status(client).await),
        CtlCommand::Drain => {
            client.drain().await.map_err(client_failure)?;
            println!("leadership transfer started");
            Ok(Exit::Success)
        }
        CtlCommand::Member {
            action,
            group,
            member,
            incarnation,
        } => {
            let request = v1::ChangeMembershipRequest {
                group,
                action: parse_action(&action)?.into(),
                peer: Some(v1::Peer {
                    member,
                    incarnation,
                }),
            };
            client
                .change_membership(request)
                .await
                .map_err(client_failure)?;
            println!("proposed");
            Ok(Exit::Success)
        }
    }
}

fn client_failure(error: ClientError) -> Failure {
    let exit = match error {
        ClientError::NoAddress => Exit::InvalidInput,
        ClientError::Refused { .. } => Exit::Refused,
        ClientError::Unreachable { .. } => Exit::Unavailable,
    };
    Failure::new(exit, error)
}

fn read_operations(file: &Path) -> Result<Vec<v1::Operation>, Failure> {
    let invalid_input = |error: String| {
        Failure::new(
            Exit::InvalidInput,
            format!("cannot read resources from {}: {error}", file.display()),
        )
    };
    let text = std::fs::read_to_string(file).map_err(|error| invalid_input(error.to_string()))?;
    let resources = parse_resource_file(&text).map_err(|error| invalid_input(error.to_string()))?;
    let operations = resources.into_operations();
    Ok(operations.iter().map(operation_to_proto).collect())
}

async fn apply(client: &AdminClient, request: v1::ApplyRequest) -> Result<Exit, Failure> {
    use v1::apply_response::Answer;
    let response = client.apply(request).await.map_err(client_failure)?;
    match response.answer {
        Some(Answer::AcceptedRevision(revision)) => {
            println!("accepted as revision {revision}");
            Ok(Exit::Success)
        }
        Some(Answer::StaleCurrentRevision(current)) => Err(Failure::new(
            Exit::Refused,
            format!("stale expected revision: the current revision is {current}; nothing changed"),
        )),
        Some(Answer::Invalid(violations)) => Err(Failure::new(
            Exit::Refused,
            format_violations(&violations.violations),
        )),
        Some(Answer::ChangeIdReused(_)) => Err(Failure::new(
            Exit::Refused,
            "the change id belongs to a different change; nothing changed",
        )),
        None => Err(Failure::new(
            Exit::Unavailable,
            "the control member sent an empty response",
        )),
    }
}

fn format_violations(violations: &[v1::Violation]) -> String {
    let lines = violations.iter().map(|violation| {
        format!(
            "\n  {}: invalid value `{}`: {}",
            violation.field, violation.value, violation.rule
        )
    });
    format!(
        "invalid change; nothing changed{}",
        lines.collect::<String>()
    )
}

async fn get(
    client: &AdminClient,
    kind: Option<&str>,
    name: Option<String>,
) -> Result<Exit, Failure> {
    let kind = kind
        .map(parse_kind)
        .transpose()?
        .unwrap_or(v1::ResourceKind::Unspecified);
    let response = client
        .get(v1::GetRequest {
            kind: kind.into(),
            name: name.unwrap_or_default(),
        })
        .await
        .map_err(client_failure)?;
    println!("revision {}", response.revision);
    for resource in response.resources {
        match resource_from_proto(resource) {
            Ok(resource) => println!("{}", format_resource(&resource)),
            Err(error) => println!("cannot decode resource: {error}"),
        }
    }
    Ok(Exit::Success)
}

fn format_resource(resource: &Resource) -> String {
    serde_json::to_string(resource).unwrap_or_else(|error| error.to_string())
}

async fn watch(client: &AdminClient, after: u64) -> Result<Exit, Failure> {
    let request = v1::WatchRequest {
        after_revision: after,
    };
    let mut stream = client.watch(request).await.map_err(client_failure)?;
    loop {
        let message = stream
            .message()
            .await
            .map_err(|status| Failure::new(Exit::Unavailable, status.message()))?;
        let Some(message) = message else {
            return Ok(Exit::Success);
        };
        let kind = if message.snapshot {
            "snapshot"
        } else {
            "change"
        };
        println!("revision {} ({kind})", message.revision);
        for operation in message.operations {
            match operation_from_proto(operation) {
                Ok(operation) => println!("  {}", format_operation(&operation)),
                Err(error) => println!("  cannot decode operation: {error}"),
            }
        }
    }
}

fn format_operation(operation: &luglink_resources::Operation) -> String {
    serde_json::to_string(operation).unwrap_or_else(|error| error.to_string())
}

async fn status(client: &AdminClient) -> Exit {
    let mut is_reachable = false;
    for (address, status) in client.status().await {
        match status {
            Err(status) => println!("{address}: {}", status.message()),
            Ok(status) => {
                is_reachable = true;
                print_status(&status);
            }
        }
    }
    if is_reachable {
        Exit::Success
    } else {
        Exit::Unavailable
    }
}

fn print_status(status: &v1::StatusResponse) {
    println!(
        "member {} incarnation {} revision {} programs {} pending releases {}",
        status.member,
        status.incarnation,
        status.revision,
        status.programs,
        status.pending_releases
    );
    for group in &status.groups {
        let leader = group
            .leader
            .map_or_else(|| "none".to_owned(), |leader| leader.to_string());
        println!(
            "  group {} term {} leader {leader} commit {} entries {} voters {} learners {}",
            group.group,
            group.term,
            group.commit,
            group.log_entries,
            format_peers(&group.voters),
            format_peers(&group.learners)
        );
    }
}

fn format_peers(peers: &[v1::Peer]) -> String {
    let names: Vec<String> = peers
        .iter()
        .map(|peer| format!("{}/{}", peer.member, peer.incarnation))
        .collect();
    format!("[{}]", names.join(" "))
}

fn parse_kind(text: &str) -> Result<v1::ResourceKind, Failure> {
    let name = format!("RESOURCE_KIND_{}", text.to_uppercase());
    v1::ResourceKind::from_str_name(&name)
        .filter(|kind| *kind != v1::ResourceKind::Unspecified)
        .ok_or_else(|| {
            Failure::new(
                Exit::InvalidInput,
                format!(
                    "unknown resource kind `{text}`: expected tenant, class, model_pool, adapter, priority, \
                     budget or service"
                ),
            )
        })
}

fn parse_action(text: &str) -> Result<v1::MembershipAction, Failure> {
    match text {
        "add-learner" => Ok(v1::MembershipAction::AddLearner),
        "promote" => Ok(v1::MembershipAction::Promote),
        "remove" => Ok(v1::MembershipAction::Remove),
        _ => Err(Failure::new(
            Exit::InvalidInput,
            format!("unknown membership action `{text}`: expected add-learner, promote or remove"),
        )),
    }
}
