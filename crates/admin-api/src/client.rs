//! A client of the administration API that finds the member that leads.

use crate::v1;
use crate::v1::admin_client::AdminClient as GeneratedClient;
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::Duration;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status};

/// Time to reach a member.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time a member has to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(12);

/// Pause before the members are asked again when none leads.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Rounds over all members before a request is given up.
const ROUNDS: usize = 40;

/// A request that no member answered.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClientError {
    /// No address was given.
    #[snafu(display("no address of a control member was given"))]
    NoAddress,
    /// A member refused the request for good.
    #[snafu(display("{}: {}", status.code(), status.message()))]
    Refused {
        /// Its answer.
        status: Box<Status>,
    },
    /// No member could answer.
    #[snafu(display("no control member answered; the last one said: {last}"))]
    Unreachable {
        /// What went wrong last.
        last: String,
    },
}

/// Asks the members one after the other until one answers.
#[derive(Clone, Debug)]
pub struct AdminClient {
    addresses: Vec<SocketAddr>,
}

macro_rules! leader_call {
    ($(#[$doc:meta])* $name:ident($request:ty) -> $response:ty) => {
        $(#[$doc])*
        ///
        /// # Errors
        /// The request was refused, or no member that leads could be found.
        pub async fn $name(&self, request: $request) -> Result<$response, ClientError> {
            let mut last = "nothing".to_owned();
            for _ in 0..ROUNDS {
                for address in &self.addresses {
                    let answered = match connect(*address).await {
                        Ok(mut client) => client.$name(request.clone()).await,
                        Err(status) => Err(status),
                    };
                    match answered {
                        Ok(response) => return Ok(response.into_inner()),
                        Err(status) if another_may_answer(&status) => {
                            last = status.message().to_owned();
                        }
                        Err(status) => {
                            return RefusedSnafu { status: Box::new(status) }.fail();
                        }
                    }
                }
                tokio::time::sleep(ROUND_PAUSE).await;
            }
            UnreachableSnafu { last }.fail()
        }
    };
}

impl AdminClient {
    /// A client of the members at these addresses.
    ///
    /// # Errors
    /// There are none.
    pub fn new(addresses: Vec<SocketAddr>) -> Result<Self, ClientError> {
        if addresses.is_empty() {
            return NoAddressSnafu.fail();
        }
        Ok(Self { addresses })
    }

    leader_call! {
        /// Applies a change. Safe to repeat under the same change id.
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

    /// Streams the configuration from the first member that answers.
    ///
    /// # Errors
    /// No member answered.
    pub async fn watch(
        &self,
        request: v1::WatchRequest,
    ) -> Result<tonic::Streaming<v1::WatchResponse>, ClientError> {
        let mut last = "nothing".to_owned();
        for address in &self.addresses {
            let answered = match connect_for_stream(*address).await {
                Ok(mut client) => client.watch(request).await,
                Err(status) => Err(status),
            };
            match answered {
                Ok(stream) => return Ok(stream.into_inner()),
                Err(status) => last = status.message().to_owned(),
            }
        }
        UnreachableSnafu { last }.fail()
    }

    /// Asks every member how it is.
    pub async fn status(&self) -> Vec<(SocketAddr, Result<v1::StatusResponse, Status>)> {
        let mut statuses = Vec::new();
        for address in &self.addresses {
            let answered = match connect(*address).await {
                Ok(mut client) => client.status(v1::StatusRequest {}).await,
                Err(status) => Err(status),
            };
            statuses.push((*address, answered.map(tonic::Response::into_inner)));
        }
        statuses
    }

    /// Tells the first member of this client to hand over everything it leads.
    ///
    /// # Errors
    /// It did not answer.
    pub async fn drain(&self) -> Result<(), ClientError> {
        let address = self.addresses[0];
        let drained = match connect(address).await {
            Ok(mut client) => client.drain(v1::DrainRequest {}).await,
            Err(status) => Err(status),
        };
        match drained {
            Ok(_) => Ok(()),
            Err(status) => RefusedSnafu {
                status: Box::new(status),
            }
            .fail(),
        }
    }
}

fn another_may_answer(status: &Status) -> bool {
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
