//! I/O of a gateway: talks HTTP to callers and replicas and a framed protocol to turn stores and
//! control members. Routing is decided in [`luglink_edge`], scheduling in [`luglink_scheduling`];
//! [`luglink_turns`] defines the rules for turns and budgets.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod admission;
mod announcements;
mod answered_requests;
mod attempts;
mod caller_watch;
mod carried_identifiers;
mod chain_search;
mod config;
mod crash_ledger;
mod crash_limit;
mod crash_look_up;
mod crash_refusal;
mod crash_reports;
mod doubtful_runs;
mod errors;
mod exchange;
mod failure;
mod fingerprint;
mod first_event;
mod gateway;
mod hedging;
mod held;
mod inbound;
mod knowledge;
mod list;
mod load_meter;
mod load_view;
mod metrics;
mod move_watch;
mod news;
mod placement;
mod planned_stop;
mod program;
mod program_writes;
mod proxy;
mod quota;
mod refusal;
mod replica_process;
mod report_members;
mod request_steps;
mod resumed_turns;
mod run;
mod run_break;
mod server;
mod store_link;
mod stream;
mod stream_lookup;
mod stream_origins;
mod survival;
mod turn_cache;
mod turn_client;
mod turn_output;
mod unacknowledged;
mod unary;
mod upstream;
mod work;

pub use config::GatewayConfig;
pub use errors::GatewayError;
pub use server::{GatewayServer, start};
