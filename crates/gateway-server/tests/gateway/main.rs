//! A gateway in a whole fleet, before scripted replicas.

mod held_bytes;
mod metrics;
mod mixed_builds;
mod overload;
mod placement;
mod programs;
mod replicas;
mod support;
mod tenants;
