//! A gateway in a whole fleet, before scripted replicas.

mod programs;
mod replicas;
mod support;
