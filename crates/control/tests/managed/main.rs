//! Managed fleet: members and turn stores that join, fail, lose their disks and are retired.

mod incarnations;
mod members;
mod observers;
mod replica_stats;
mod stores;
mod support;
