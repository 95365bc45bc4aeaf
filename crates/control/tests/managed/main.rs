//! A managed fleet: members and turn stores that come, go and lose their disks.

mod incarnations;
mod members;
mod observers;
mod replica_stats;
mod stores;
mod support;
