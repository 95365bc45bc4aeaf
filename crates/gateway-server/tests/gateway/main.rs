//! Integration tests of a gateway in a complete fleet with scripted replicas.

mod crashing_requests;
mod cut_off;
mod cut_responses;
mod endless_bytes;
mod expected_finish;
mod given_up_runs;
mod held_bytes;
mod load_view;
mod metrics;
mod mixed_builds;
mod moves;
mod overload;
mod placement;
mod planned_stop;
mod programs;
mod replicas;
mod resumed_streams;
mod resumed_turns;
mod retention;
mod store_outages;
mod support;
mod surplus_refusals;
mod tenants;
mod unseen_ends;
