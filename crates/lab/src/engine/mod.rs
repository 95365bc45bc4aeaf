//! The engine emulator: continuous batching, chunked prefill, a block-level prefix cache with
//! limited memory, priorities, cancellation, fenced orders, late and gapped events.
//!
//! [`EngineCore`] is driven by the time it is given, so the same engine runs on a socket
//! ([`http`]) and in the simulator.

mod cache;
mod config;
mod core;
pub mod http;
mod orders;
mod published;
mod sequence;
mod text;

pub use cache::{BlockCache, CacheUse};
pub use config::EngineConfig;
pub use core::{EngineCore, EngineOutput, Rejection};
pub use sequence::EngineRequest;
pub use text::{answer_marker, prompt_text};
