//! A gateway in a whole fleet, before scripted replicas.

mod load_view;
mod metrics;
mod overload;
mod placement;
mod programs;
mod replicas;
mod support;
mod tenants;
