//! A gateway in a whole fleet, before scripted replicas.

mod expected_finish;
mod load_view;
mod metrics;
mod moves;
mod overload;
mod placement;
mod programs;
mod replicas;
mod support;
mod tenants;
