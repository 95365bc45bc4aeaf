//! Limit on the bytes that wait to be sent to peers.
//!
//! A peer that sends requests and does not read the responses lets them pile up. While there is little
//! room, only a connection without queued frames may queue one, and one with more is closed: its peer
//! does not read.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::sync::Notify;

/// Size of a queued frame besides its body, in bytes.
const FRAME_OVERHEAD_BYTES: u64 = 64;

/// Bytes that wait on all connections of a listener.
#[derive(Debug)]
pub struct QueueBudget {
    queued: AtomicU64,
    limit: u64,
}

impl QueueBudget {
    /// Creates a budget of `limit` bytes. Connections without queued frames may use twice as much.
    #[must_use]
    pub fn new(limit: u64) -> Arc<Self> {
        Arc::new(Self {
            queued: AtomicU64::new(0),
            limit,
        })
    }

    /// Returns the number of bytes that wait.
    #[must_use]
    pub fn queued(&self) -> u64 {
        self.queued.load(Ordering::Relaxed)
    }
}

/// Bytes that wait on one connection.
#[derive(Debug)]
pub(crate) struct QueuedBytes {
    budget: Arc<QueueBudget>,
    queued: AtomicU64,
    is_overrun: AtomicBool,
    overrun_signal: Notify,
}

impl QueuedBytes {
    pub(crate) fn new(budget: &Arc<QueueBudget>) -> Self {
        Self {
            budget: Arc::clone(budget),
            queued: AtomicU64::new(0),
            is_overrun: AtomicBool::new(false),
            overrun_signal: Notify::new(),
        }
    }

    /// Adds a frame with a body of this size. Returns false if there is no room for it.
    pub(crate) fn add(&self, body_bytes: u64) -> bool {
        let bytes = body_bytes + FRAME_OVERHEAD_BYTES;
        let own = self.queued.load(Ordering::Relaxed);
        let limit = match own {
            0 => self.budget.limit.saturating_mul(2),
            _ => self.budget.limit,
        };
        let after = self.budget.queued().saturating_add(bytes);
        if after > limit || self.is_overrun.load(Ordering::Relaxed) {
            if own > 0 {
                self.is_overrun.store(true, Ordering::Relaxed);
                self.overrun_signal.notify_one();
            }
            return false;
        }
        self.queued.fetch_add(bytes, Ordering::Relaxed);
        self.budget.queued.fetch_add(bytes, Ordering::Relaxed);
        true
    }

    /// Removes frames whose bodies have this size altogether.
    pub(crate) fn remove(&self, body_bytes: u64, frames: u64) {
        let bytes = body_bytes + frames * FRAME_OVERHEAD_BYTES;
        self.queued.fetch_sub(bytes, Ordering::Relaxed);
        self.budget.queued.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Waits until a frame has found no room while others were queued.
    pub(crate) async fn overrun(&self) {
        while !self.is_overrun.load(Ordering::Relaxed) {
            self.overrun_signal.notified().await;
        }
    }
}

impl Drop for QueuedBytes {
    fn drop(&mut self) {
        let left = self.queued.load(Ordering::Relaxed);
        self.budget.queued.fetch_sub(left, Ordering::Relaxed);
    }
}
