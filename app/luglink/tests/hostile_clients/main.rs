//! Clients that send more than they may, never finish what they began, or read nothing, at every
//! listener of the processes. No process ends, each stays within the memory and the open files of its
//! machine, and ordinary requests are answered beside such clients and afterwards.
//!
//! `HOSTILE_SEEDS=0..50` runs other seeds of the mixes than the few of every test run.

#[allow(dead_code)]
#[path = "../stream_soak/builds.rs"]
mod builds;
#[allow(dead_code)]
#[path = "../stream_soak/chaos.rs"]
mod chaos;
mod checks;
#[allow(dead_code)]
#[path = "../stream_soak/crash_plan.rs"]
mod crash_plan;
mod crowd;
#[allow(dead_code)]
#[path = "../stream_soak/fleet.rs"]
mod fleet;
mod messages;
mod mixes;
#[allow(dead_code)]
#[path = "../stream_soak/random.rs"]
mod random;
mod refusals;
#[allow(dead_code)]
#[path = "../stream_soak/replicas.rs"]
mod replicas;
#[allow(dead_code)]
#[path = "../stream_soak/runs.rs"]
mod runs;

use checks::{Peaks, assert_serves};
use crowd::{Attack, Crowd, Pace};
use fleet::{Fleet, FleetPlan};
use messages::{Behaviour, Listener};
use replicas::Faults;
use std::time::Duration;
use tokio::sync::{Mutex, MutexGuard};

/// Machines of the smallest deployment, and few open files.
const PLAN: FleetPlan = FleetPlan {
    gateways: 2,
    spares: 0,
    gateway_memory_mb: 48,
    storage_memory_mb: 58,
    open_files: None,
    max_body_bytes: 4 << 20,
};

/// Maximum number of open files of a process where connections are exhausted.
const FEW_FILES: u64 = 256;

const CROWD: usize = 60;

/// Connections of a crowd that holds more than the open files of a process.
const LARGE_CROWD: usize = 400;

const CROWD_DURATION: Duration = Duration::from_secs(3);

/// Lets one test run at a time, since each judges the memory of its own processes.
async fn alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::const_new(());
    RUNNING.lock().await
}

/// Lets a crowd act on a fleet, and asserts what holds for all processes and for ordinary requests.
async fn assert_withstood(plan: FleetPlan, attack: Attack) {
    let _alone = alone().await;
    let fleet = Fleet::start_as(1, plan, Faults::None).await;
    let peaks = Peaks::watch(&fleet, plan);
    let crowd = Crowd::start(&fleet, &[attack]);
    actix_rt::time::sleep(CROWD_DURATION).await;
    let beside = checks::is_ordinary_request_answered(&fleet, "beside").await;
    crowd.stop().await;
    peaks.assert_bounded();
    assert!(beside, "no ordinary request was answered beside the crowd");
    assert_serves(&fleet).await;
    assert_eq!(fleet.replicas.runs.count_with_prefix("hostile"), 0);
}

macro_rules! withstood {
    ($($name:ident: $listener:ident, $behaviour:ident;)*) => {
        $(
            #[actix_rt::test]
            async fn $name() {
                assert_withstood(PLAN, Attack {
                    listener: Listener::$listener,
                    behaviour: Behaviour::$behaviour,
                    connections: CROWD,
                    pace: Pace::Full,
                }).await;
            }
        )*
    };
}

withstood! {
    callers_announce_long_bodies: Callers, LongBody;
    callers_announce_long_bodies_and_expect_an_interim_response: Callers, LongBodyAfterExpect;
    callers_announce_long_bodies_in_http_1_0: Callers, LongBodyHttp10;
    callers_announce_long_bodies_of_turns: CallersOfTurns, LongBody;
    callers_send_chunks_without_end: Callers, EndlessChunks;
    callers_send_chunks_of_turns_without_end: CallersOfTurns, EndlessChunks;
    callers_send_one_chunk_without_end: Callers, OneEndlessChunk;
    callers_send_tiny_chunks_without_end: Callers, TinyChunks;
    callers_send_a_chunk_extension_without_end: Callers, EndlessChunkExtension;
    callers_send_trailers_without_end: Callers, EndlessTrailers;
    callers_send_a_head_without_end: Callers, EndlessHead;
    callers_do_not_finish_their_bodies: Callers, UnfinishedBody;
    callers_do_not_finish_their_chunks: Callers, UnfinishedChunks;
    callers_without_a_route_send_bodies_without_end: CallersWithoutRoute, LongBody;
    callers_without_an_identifier_send_bodies_without_end: CallersWithoutIdentifier, LongBody;
    operators_announce_long_bodies: Operator, LongBody;
    operators_announce_long_bodies_and_expect_an_interim_response: Operator, LongBodyAfterExpect;
    operators_send_chunks_without_end: Operator, EndlessChunks;
    operators_do_not_finish_their_bodies: Operator, UnfinishedBody;
    operators_do_not_finish_their_chunks: Operator, UnfinishedChunks;
    operators_send_a_head_without_end: Operator, EndlessHead;
    readers_of_the_configuration_send_bodies_without_end: ConfigurationReaders, LongBody;
    directory_clients_send_bodies_without_end: Directory, LongBody;
    directory_clients_send_chunks_without_end: Directory, EndlessChunks;
    readiness_checks_send_bodies_without_end: Readiness, LongBody;
    readers_of_gateway_metrics_send_bodies_without_end: GatewayMetrics, LongBody;
    readers_of_member_metrics_send_bodies_without_end: MemberMetrics, LongBody;
    readers_of_store_metrics_send_bodies_without_end: StoreMetrics, LongBody;
    frames_to_a_member_before_a_hello: MemberInternal, FrameBeforeHello;
    frames_to_a_store_before_a_hello: StoreInternal, FrameBeforeHello;
    frames_to_a_member_after_a_hello: MemberInternal, FrameAfterHello;
    frames_to_a_store_after_a_hello: StoreInternal, FrameAfterHello;
    no_frames_to_a_member: MemberInternal, NoFrame;
    no_frames_to_a_store: StoreInternal, NoFrame;
    requests_to_a_member_whose_responses_are_not_read: MemberInternal, UnreadResponses;
    requests_to_a_store_whose_responses_are_not_read: StoreInternal, UnreadResponses;
}

macro_rules! withstood_with_few_files {
    ($($name:ident: $listener:ident, $behaviour:ident;)*) => {
        $(
            #[actix_rt::test]
            async fn $name() {
                let plan = FleetPlan { open_files: Some(FEW_FILES), ..PLAN };
                assert_withstood(plan, Attack {
                    listener: Listener::$listener,
                    behaviour: Behaviour::$behaviour,
                    connections: LARGE_CROWD,
                    pace: Pace::Full,
                }).await;
            }
        )*
    };
}

withstood_with_few_files! {
    idle_connections_of_callers: Callers, Idle;
    callers_with_half_a_head: Callers, PartialHead;
    callers_with_half_a_body: Callers, PartialBody;
    idle_connections_of_operators: Operator, Idle;
    idle_connections_to_the_directory: Directory, Idle;
    idle_connections_of_readiness_checks: Readiness, Idle;
    idle_connections_to_gateway_metrics: GatewayMetrics, Idle;
    idle_connections_to_member_metrics: MemberMetrics, Idle;
    idle_connections_to_store_metrics: StoreMetrics, Idle;
    idle_connections_to_a_member: MemberInternal, Idle;
    idle_connections_to_a_store: StoreInternal, Idle;
    connections_to_a_member_with_a_hello_only: MemberInternal, HelloOnly;
    connections_to_a_store_with_a_hello_only: StoreInternal, HelloOnly;
}
