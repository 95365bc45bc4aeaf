//! Administration API over gRPC.

use crate::actor::{ControlActor, LocalRequest};
use actix::Addr;
use luglink_admin_api::v1::admin_server::Admin;
use luglink_admin_api::{
    LEADER_METADATA, answer_to_proto, change_from_proto, kind_from_proto, operation_to_proto,
    resource_to_proto, v1,
};
use luglink_control::{MemberStatus, Request as ControlRequest, Response as ControlResponse};
use luglink_raft::{Membership, MembershipChange, Peer};
use luglink_resources::{CatchUp, Operation};
use luglink_types::{GroupId, MemberId, Revision};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;
use tonic::metadata::MetadataValue;
use tonic::{Request, Response, Status};

/// Time after which a request without a decision by consensus fails.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Capacity of the queue of messages to a watcher.
const WATCH_QUEUE: usize = 16;

/// Implementation of the administration API.
pub(crate) struct AdminService {
    control: Addr<ControlActor>,
}

impl AdminService {
    pub(crate) fn new(control: Addr<ControlActor>) -> Self {
        Self { control }
    }

    async fn ask(&self, request: ControlRequest) -> Result<ControlResponse, Status> {
        ask(&self.control, request).await
    }
}

async fn ask(
    control: &Addr<ControlActor>,
    request: ControlRequest,
) -> Result<ControlResponse, Status> {
    let (answer, waiting) = oneshot::channel();
    control
        .try_send(LocalRequest { request, answer })
        .map_err(|_| Status::resource_exhausted("this member is overloaded; nothing ran"))?;
    let response = tokio::time::timeout(REQUEST_TIMEOUT, waiting)
        .await
        .map_err(|_| {
            Status::deadline_exceeded(
                "no quorum answered in time; send the same request again to learn its outcome",
            )
        })?
        .map_err(|_| Status::unavailable("this member is stopping"))?;
    match response {
        ControlResponse::NotLeader { leader, .. } => Err(not_leader(leader)),
        ControlResponse::Unavailable { reason } => Err(Status::unavailable(reason)),
        answer => Ok(answer),
    }
}

fn not_leader(leader: Option<MemberId>) -> Status {
    let mut status = Status::failed_precondition("this member does not lead; nothing ran here");
    if let Some(leader) = leader {
        let value = MetadataValue::from(leader.0);
        status.metadata_mut().insert(LEADER_METADATA, value);
    }
    status
}

fn unexpected() -> Status {
    Status::internal("the response does not belong to the request")
}

#[tonic::async_trait]
impl Admin for AdminService {
    async fn apply(
        &self,
        request: Request<v1::ApplyRequest>,
    ) -> Result<Response<v1::ApplyResponse>, Status> {
        let change = change_from_proto(request.into_inner())
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        match self.ask(ControlRequest::Change(change)).await? {
            ControlResponse::Change(answer) => Ok(Response::new(answer_to_proto(answer))),
            _ => Err(unexpected()),
        }
    }

    async fn get(
        &self,
        request: Request<v1::GetRequest>,
    ) -> Result<Response<v1::GetResponse>, Status> {
        let request = request.into_inner();
        let kind = kind_from_proto(request.kind());
        // No revision is this high, so the response is the whole configuration.
        let known = Revision(u64::MAX);
        let response = self
            .ask(ControlRequest::ReadConfiguration { known })
            .await?;
        let ControlResponse::Configuration(CatchUp::Snapshot {
            revision,
            resources,
        }) = response
        else {
            return Err(unexpected());
        };
        let wanted = resources.iter().filter(|resource| {
            let key = resource.key();
            kind.is_none_or(|kind| kind == key.kind)
                && (request.name.is_empty() || request.name == key.name)
        });
        Ok(Response::new(v1::GetResponse {
            revision: revision.0,
            resources: wanted.map(resource_to_proto).collect(),
        }))
    }

    type WatchStream = ReceiverStream<Result<v1::WatchResponse, Status>>;

    async fn watch(
        &self,
        request: Request<v1::WatchRequest>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let (sender, receiver) = mpsc::channel(WATCH_QUEUE);
        let after = Revision(request.into_inner().after_revision);
        tokio::spawn(run_watch(self.control.clone(), after, sender));
        Ok(Response::new(ReceiverStream::new(receiver)))
    }

    async fn status(
        &self,
        _: Request<v1::StatusRequest>,
    ) -> Result<Response<v1::StatusResponse>, Status> {
        match self.ask(ControlRequest::Status).await? {
            ControlResponse::Status(status) => Ok(Response::new(status_to_proto(status))),
            _ => Err(unexpected()),
        }
    }

    async fn change_membership(
        &self,
        request: Request<v1::ChangeMembershipRequest>,
    ) -> Result<Response<v1::ChangeMembershipResponse>, Status> {
        let request = request.into_inner();
        let peer = request
            .peer
            .map(|peer| Peer {
                member: MemberId(peer.member),
                incarnation: peer.incarnation,
            })
            .ok_or_else(|| Status::invalid_argument("peer: must be set"))?;
        let change = match request.action() {
            v1::MembershipAction::AddLearner => MembershipChange::AddLearner(peer),
            v1::MembershipAction::Promote => MembershipChange::Promote(peer),
            v1::MembershipAction::Remove => MembershipChange::Remove(peer),
            v1::MembershipAction::Unspecified => {
                return Err(Status::invalid_argument(
                    "action: must be add_learner, promote or remove",
                ));
            }
        };
        let group = GroupId(request.group);
        let request = ControlRequest::ChangeMembership { group, change };
        match self.ask(request).await? {
            ControlResponse::Done => Ok(Response::new(v1::ChangeMembershipResponse {})),
            _ => Err(unexpected()),
        }
    }

    async fn drain(
        &self,
        _: Request<v1::DrainRequest>,
    ) -> Result<Response<v1::DrainResponse>, Status> {
        match self.ask(ControlRequest::TransferLeadership).await? {
            ControlResponse::Done => Ok(Response::new(v1::DrainResponse {})),
            _ => Err(unexpected()),
        }
    }
}

/// Sends changes of the configuration until the watcher disconnects or a request fails.
async fn run_watch(
    control: Addr<ControlActor>,
    mut known: Revision,
    sender: mpsc::Sender<Result<v1::WatchResponse, Status>>,
) {
    loop {
        let watch = ControlRequest::WatchConfiguration { known, hold: true };
        let response = ask(&control, watch).await;
        let messages = match response {
            Ok(ControlResponse::Configuration(catch_up)) => watch_messages(catch_up),
            Ok(_) => vec![Err(unexpected())],
            Err(status) => vec![Err(status)],
        };
        for message in messages {
            let failed = message.is_err();
            if let Ok(message) = &message {
                known = Revision(message.revision);
            }
            if sender.send(message).await.is_err() || failed {
                return;
            }
        }
        if sender.is_closed() {
            return;
        }
    }
}

fn watch_messages(catch_up: CatchUp) -> Vec<Result<v1::WatchResponse, Status>> {
    match catch_up {
        CatchUp::Current => Vec::new(),
        CatchUp::Deltas(deltas) => deltas
            .into_iter()
            .map(|delta| {
                Ok(v1::WatchResponse {
                    revision: delta.revision.0,
                    snapshot: false,
                    operations: delta.operations.iter().map(operation_to_proto).collect(),
                })
            })
            .collect(),
        CatchUp::Snapshot {
            revision,
            resources,
        } => {
            let operations = resources.into_iter().map(Operation::Set);
            vec![Ok(v1::WatchResponse {
                revision: revision.0,
                snapshot: true,
                operations: operations.map(|step| operation_to_proto(&step)).collect(),
            })]
        }
    }
}

fn status_to_proto(status: MemberStatus) -> v1::StatusResponse {
    v1::StatusResponse {
        member: status.member.0,
        incarnation: status.incarnation,
        revision: status.revision.0,
        programs: status.programs,
        pending_releases: status.pending_releases,
        groups: status
            .groups
            .into_iter()
            .map(|group| v1::GroupStatus {
                group: group.group.0,
                term: group.term,
                leader: group.leader.map(|leader| leader.0),
                commit: group.commit,
                log_entries: group.log_entries,
                voters: peers(&group.membership, true),
                learners: peers(&group.membership, false),
            })
            .collect(),
    }
}

fn peers(membership: &Membership, voters: bool) -> Vec<v1::Peer> {
    let set = if voters {
        &membership.voters
    } else {
        &membership.learners
    };
    set.iter()
        .map(|peer| v1::Peer {
            member: peer.member.0,
            incarnation: peer.incarnation,
        })
        .collect()
}
