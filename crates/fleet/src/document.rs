//! The configuration as a versioned document.

use serde::{Deserialize, Serialize};

/// A complete configuration with the operator's version number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedDocument {
    /// The operator's version; the highest version is in force.
    pub version: u64,
    /// The document as the operator sent it.
    pub content: Vec<u8>,
}

/// Stores the document with the highest version.
///
/// A document whose version is not above the stored one has no effect: a repeated or outdated
/// change is acknowledged, and other content under the stored version never comes into force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentStore {
    held: Option<VersionedDocument>,
}

impl DocumentStore {
    /// Stores a document if its version is higher. Returns true if it was stored.
    pub fn put(&mut self, document: &VersionedDocument) -> bool {
        if document.version <= self.version() {
            return false;
        }
        self.held = Some(document.clone());
        true
    }

    /// Returns the stored document.
    #[must_use]
    pub fn held(&self) -> Option<&VersionedDocument> {
        self.held.as_ref()
    }

    /// Returns the version of the stored document; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.held.as_ref().map_or(0, |document| document.version)
    }
}
