//! Client of the administration API that finds the leader.

use crate::v1;
use crate::v1::admin_client::AdminClient as GeneratedClient;
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::Duration;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status};

/// Timeout for connecting to a member.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for the response of a member.
const CALL_TIMEOUT: Duration = Duration::from_secs(12);

/// Delay before the members are tried again if none of them leads.
const ROUND_DELAY: Duration = Duration::from_millis(200);

/// Number of rounds over all members before a request fails.
const MAX_ROUNDS: usize = 40;

/// Error of a request to the control members.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClientError {
    /// The client has no addresses.
    #[snafu(display("no address of a control member is configured"))]
    NoAddress,
    /// A request to a member failed, and no other member is tried.
    #[snafu(display("control member request failed: {}: {}", status.code(), status.message()))]
    Refused {
        /// Status of the request.
        status: Box<Status>,
    },
    /// No member processed the request.
    #[snafu(display("no control member processed the request, last error: {last_error}"))]
    Unreachable {
        /// Error of the last attempt.
        last_error: String,
    },
}

/// Client that sends a request to one member after the other until one processes it.
#[derive(Clone, Debug)]
pub struct AdminClient {
    addresses: Vec<SocketAddr>,
}

macro_rules! leader_call {
    ($(#[$doc:meta])* $name:ident($request:ty) -> $response:ty) => {
        $(#[$doc])*
        ///
        /// # Errors
        /// Returns an error if a member rejected the request, or if no leader was found.
        pub async fn $name(&self, request: $request) -> Result<$response, ClientError> {
            let mut last_error = "nothing".to_owned();
            for _ in 0..MAX_ROUNDS {
                for address in &self.addresses {
                    let result = match connect(*address).await {
                        Ok(mut client) => client.$name(request.clone()).await,
                        Err(status) => Err(status),
                    };
                    match result {
                        Ok(response) => return Ok(response.into_inner()),
                        Err(status) if may_succeed_elsewhere(&status) => {
                            last_error = status.message().to_owned();
                        }
                        Err(status) => {
                            return RefusedSnafu { status: Box::new(status) }.fail();
                        }
                    }
                }
                tokio::time::sleep(ROUND_DELAY).await;
            }
            UnreachableSnafu { last_error }.fail()
        }
    };
}

impl AdminClient {
    /// Creates a client of the members at these addresses.
    ///
    /// # Errors
    /// Returns an error if `addresses` is empty.
    pub fn new(addresses: Vec<SocketAddr>) -> Result<Self, ClientError> {
        if addresses.is_empty() {
            return NoAddressSnafu.fail();
        }
        Ok(Self { addresses })
    }

    leader_call! {
        /// Applies a change. A change may be sent again with the same change id.
        apply(v1::ApplyRequest) -> v1::ApplyResponse
    }

    leader_call! {
        /// Reads resources.
        get(v1::GetRequest) -> v1::GetResponse
    }

    leader_call! {
        /// Changes the members of a group.
        change_membership(v1::ChangeMembershipRequest) -> v1::ChangeMembershipResponse
    }

    /// Streams the configuration from the first member that accepts the request.
    ///
    /// # Errors
    /// Returns an error if no member accepted the request.
    pub async fn watch(
        &self,
        request: v1::WatchRequest,
    ) -> Result<tonic::Streaming<v1::WatchResponse>, ClientError> {
        let mut last_error = "nothing".to_owned();
        for address in &self.addresses {
            let result = match connect_for_stream(*address).await {
                Ok(mut client) => client.watch(request).await,
                Err(status) => Err(status),
            };
            match result {
                Ok(stream) => return Ok(stream.into_inner()),
                Err(status) => last_error = status.message().to_owned(),
            }
        }
        UnreachableSnafu { last_error }.fail()
    }

    /// Requests the status of all members.
    pub async fn status(&self) -> Vec<(SocketAddr, Result<v1::StatusResponse, Status>)> {
        let mut statuses = Vec::new();
        for address in &self.addresses {
            let result = match connect(*address).await {
                Ok(mut client) => client.status(v1::StatusRequest {}).await,
                Err(status) => Err(status),
            };
            statuses.push((*address, result.map(tonic::Response::into_inner)));
        }
        statuses
    }

    /// Makes the first member of this client transfer the leadership of all groups that it leads.
    ///
    /// # Errors
    /// Returns an error if the member is unreachable or rejects the request.
    pub async fn drain(&self) -> Result<(), ClientError> {
        let address = self.addresses[0];
        let result = match connect(address).await {
            Ok(mut client) => client.drain(v1::DrainRequest {}).await,
            Err(status) => Err(status),
        };
        match result {
            Ok(_) => Ok(()),
            Err(status) => RefusedSnafu {
                status: Box::new(status),
            }
            .fail(),
        }
    }
}

fn may_succeed_elsewhere(status: &Status) -> bool {
    matches!(
        status.code(),
        Code::FailedPrecondition | Code::Unavailable | Code::DeadlineExceeded
    )
}

async fn connect(address: SocketAddr) -> Result<GeneratedClient<Channel>, Status> {
    connect_endpoint(endpoint(address)?.timeout(CALL_TIMEOUT)).await
}

async fn connect_for_stream(address: SocketAddr) -> Result<GeneratedClient<Channel>, Status> {
    connect_endpoint(endpoint(address)?).await
}

fn endpoint(address: SocketAddr) -> Result<Endpoint, Status> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| Status::unavailable(error.to_string()))?;
    Ok(endpoint.connect_timeout(CONNECT_TIMEOUT))
}

async fn connect_endpoint(endpoint: Endpoint) -> Result<GeneratedClient<Channel>, Status> {
    let channel = endpoint
        .connect()
        .await
        .map_err(|error| Status::unavailable(format!("{}: {error}", endpoint.uri())))?;
    Ok(GeneratedClient::new(channel))
}
