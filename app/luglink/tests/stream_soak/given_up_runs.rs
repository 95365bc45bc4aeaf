//! Requests that end their replicas after their callers, or their gateways, have given the run up.

use crate::callers::{Received, message};
use crate::fleet::{CALL_PATH, Fleet, KEPT_PATH, LONG_PATH, MOVABLE_PATH, PATHS};
use crate::random::Random;
use crate::replicas::Faults;
use crate::uninformed::{
    assert_innocent_requests_are_served, assert_limited, is_served, kill, restart_gateways_in_turn,
};
use http::HeaderValue;
use http_body_util::BodyExt;
use luglink_http::connect;
use std::cell::Cell;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;

/// Requests at the same moment, several for each gateway and replica.
const WARM_UP_REQUESTS: usize = 120;

/// Tokens of the prompt of a turn, and its ceiling.
const TOKEN_USAGE: HeaderValue = HeaderValue::from_static("20,12");

/// Budget of a program, enough for all attempts.
const TOKEN_BUDGET: HeaderValue = HeaderValue::from_static("100000");

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause of a caller between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(30);

/// Time after which an impatient caller gives an attempt up.
const PATIENCE: Duration = Duration::from_millis(500);

/// Time that a caller states for each attempt.
const SHORT_TIME: Duration = Duration::from_secs(4);

const LONG_TIME: Duration = Duration::from_secs(16);

/// Time for which the caller comes back, beyond the time that it states.
const EXTRA_DURATION: Duration = Duration::from_secs(8);

/// Time after which the replicas of the last runs have ended.
const SETTLING_DURATION: Duration = Duration::from_secs(4);

/// Caller that sends the same bytes again and again.
struct Caller {
    name: &'static str,
    path: &'static str,
    /// Time stated for each attempt.
    time: Duration,
    /// Time after which an attempt is given up.
    patience: Duration,
}

impl Caller {
    async fn insist(&self, fleet: &Fleet, random: &mut Random) {
        let end = Instant::now() + self.time + EXTRA_DURATION;
        for attempt in 0.. {
            if Instant::now() >= end {
                return;
            }
            let gateway = random.below(fleet.addresses.len());
            let attempt = format!("{}-{attempt}", self.name);
            let exchange = self.exchange(fleet, gateway, &attempt);
            let _ = actix_rt::time::timeout(self.patience, exchange).await;
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn exchange(&self, fleet: &Fleet, gateway: usize, request: &str) {
        let Ok(mut connection) = connect(fleet.addresses[gateway], CONNECT_TIMEOUT).await else {
            return;
        };
        let path = format!("{}?{}", self.path, self.name);
        let mut message = message(&path, request, self.time, &Received::default());
        if self.path == KEPT_PATH {
            let headers = message.headers_mut();
            headers.insert("luglink-program", HeaderValue::from_static(self.name));
            headers.insert("luglink-session", HeaderValue::from_static(self.name));
            headers.insert("luglink-token-usage", TOKEN_USAGE);
            headers.insert("luglink-token-budget", TOKEN_BUDGET);
        }
        if let Ok(response) = connection.send(message).await {
            let _ = response.into_body().collect().await;
        }
    }

    /// Asserts that the limit holds beside a disturbance, and that innocent requests are served.
    async fn assert_limited_beside(
        &self,
        fleet: &Fleet,
        disturbance: impl AsyncFnOnce(&Fleet, Duration),
    ) {
        open_connections(fleet).await;
        let is_over = Cell::new(false);
        let mut random = Random::new(11);
        let insisting = async {
            self.insist(fleet, &mut random).await;
            is_over.set(true);
        };
        tokio::join!(
            insisting,
            disturbance(fleet, self.time),
            assert_innocent_requests_are_served(fleet, &is_over),
        );
        actix_rt::time::sleep(SETTLING_DURATION).await;
        assert_limited(fleet, self.name);
        assert!(fleet.replicas.runs.of(self.name).ends() > 0);
    }

    async fn assert_limited(&self) {
        let fleet = Fleet::start(1, GATEWAYS, Faults::None).await;
        self.assert_limited_beside(&fleet, async |_, _| {}).await;
    }
}

/// Lets every gateway open several connections to every replica.
async fn open_connections(fleet: &Fleet) {
    let requests = (0..WARM_UP_REQUESTS).map(|number| {
        let gateway = number % fleet.addresses.len();
        async move { is_served(fleet, gateway, &format!("warm-{number}")).await }
    });
    futures_util::future::join_all(requests).await;
}

/// Caller that leaves before the replica has ended, which goes on with the run.
const IMPATIENT: Caller = Caller {
    name: "crash-head-work-other-1",
    path: PATHS[0],
    time: SHORT_TIME,
    patience: PATIENCE,
};

/// Caller that stays until its time is over.
const PATIENT: Caller = Caller {
    name: "crash-head-hang-other-1",
    path: PATHS[0],
    time: SHORT_TIME,
    patience: SHORT_TIME,
};

#[actix_rt::test]
async fn a_request_is_limited_whose_caller_gives_attempts_up_while_replicas_go_on() {
    IMPATIENT.assert_limited().await;
}

#[actix_rt::test]
async fn a_request_is_limited_whose_caller_gives_attempts_up_long_before_its_time_is_over() {
    let caller = Caller {
        path: LONG_PATH,
        time: LONG_TIME,
        ..IMPATIENT
    };
    caller.assert_limited().await;
}

#[actix_rt::test]
async fn a_call_is_limited_whose_caller_gives_attempts_up_while_replicas_go_on() {
    let caller = Caller {
        path: CALL_PATH,
        ..IMPATIENT
    };
    caller.assert_limited().await;
}

#[actix_rt::test]
async fn a_stream_is_limited_whose_caller_gives_it_up_between_events_while_replicas_go_on() {
    let caller = Caller {
        name: "crash-stream-work-same-1",
        ..IMPATIENT
    };
    caller.assert_limited().await;
}

#[actix_rt::test]
async fn a_moved_stream_is_limited_whose_caller_gives_it_up_while_replicas_go_on() {
    let caller = Caller {
        path: MOVABLE_PATH,
        ..IMPATIENT
    };
    caller.assert_limited().await;
}

#[actix_rt::test]
async fn a_turn_of_a_program_is_limited_whose_caller_gives_attempts_up_while_replicas_go_on() {
    let caller = Caller {
        path: KEPT_PATH,
        ..IMPATIENT
    };
    caller.assert_limited().await;
}

#[actix_rt::test]
async fn a_request_is_limited_whose_caller_gives_attempts_up_while_gateways_are_killed() {
    let fleet = Fleet::start(1, GATEWAYS, Faults::None).await;
    IMPATIENT
        .assert_limited_beside(&fleet, async |fleet, time| {
            restart_gateways_in_turn(fleet, time).await;
        })
        .await;
}

#[actix_rt::test]
async fn a_request_is_limited_whose_gateways_are_killed_while_replicas_go_on() {
    let caller = Caller {
        patience: SHORT_TIME,
        ..IMPATIENT
    };
    let fleet = Fleet::start(1, GATEWAYS, Faults::None).await;
    caller
        .assert_limited_beside(&fleet, async |fleet, _| {
            for number in 0..2 * GATEWAYS {
                let gateway = &fleet.gateways[number % GATEWAYS];
                actix_rt::time::sleep(PATIENCE).await;
                kill(gateway).await;
                gateway.start_again();
            }
        })
        .await;
}

#[actix_rt::test]
async fn a_request_is_limited_whose_connections_are_reset_while_replicas_go_on() {
    let caller = Caller {
        name: "crash-head-drop-other-1",
        patience: SHORT_TIME,
        ..IMPATIENT
    };
    caller.assert_limited().await;
}

#[actix_rt::test]
async fn a_request_that_hangs_its_replicas_is_limited() {
    PATIENT.assert_limited().await;
}

#[actix_rt::test]
async fn a_request_that_hangs_its_replicas_is_limited_whose_caller_has_long_time() {
    let caller = Caller {
        path: LONG_PATH,
        time: LONG_TIME,
        patience: LONG_TIME,
        ..PATIENT
    };
    caller.assert_limited().await;
}

#[actix_rt::test]
async fn a_request_that_hangs_its_replicas_is_limited_whose_caller_gives_attempts_up() {
    let caller = Caller {
        patience: PATIENCE,
        ..PATIENT
    };
    caller.assert_limited().await;
}

#[actix_rt::test]
async fn a_moved_stream_that_hangs_its_replicas_is_limited() {
    let caller = Caller {
        name: "crash-stream-hang-other-1",
        path: MOVABLE_PATH,
        ..PATIENT
    };
    caller.assert_limited().await;
}

#[actix_rt::test]
async fn a_request_that_hangs_replicas_without_incarnations_is_limited() {
    let fleet = Fleet::start(1, GATEWAYS, Faults::Unidentified).await;
    PATIENT.assert_limited_beside(&fleet, async |_, _| {}).await;
}
