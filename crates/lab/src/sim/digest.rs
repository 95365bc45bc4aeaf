//! A digest of everything that happened, to tell whether a seed replays bit for bit.

use luglink_types::Timestamp;
use sha2::{Digest, Sha256};
use std::fmt::Write;

/// Digest of the event trace of one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct TraceDigest {
    hasher: Sha256,
    events: u64,
}

impl TraceDigest {
    /// Takes one event: when, what, and between whom.
    pub(crate) fn note(&mut self, at: Timestamp, facts: &[u64]) {
        self.events += 1;
        self.hasher.update(at.as_micros().to_be_bytes());
        for fact in facts {
            self.hasher.update(fact.to_be_bytes());
        }
    }

    /// Takes text that belongs to the run's outcome.
    pub(crate) fn note_text(&mut self, text: &str) {
        self.hasher.update(text.as_bytes());
    }

    pub(crate) fn events(&self) -> u64 {
        self.events
    }

    /// The digest in hexadecimal.
    pub(crate) fn finish(&self) -> String {
        hexadecimal(&self.hasher.clone().finalize())
    }
}

/// Bytes in hexadecimal.
pub(crate) fn hexadecimal(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in bytes {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
