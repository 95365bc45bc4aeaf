//! The configuration as one versioned document.

use serde::{Deserialize, Serialize};

/// A whole configuration under the operator's own version number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedDocument {
    /// The operator's version; the highest one holds.
    pub version: u64,
    /// The document as the operator sent it.
    pub content: Vec<u8>,
}

/// Holds the document with the highest version.
///
/// A document whose version is not above the held one changes nothing: a repeated or overtaken
/// change is acknowledged, and other content under a held version is never in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentStore {
    held: Option<VersionedDocument>,
}

impl DocumentStore {
    /// Takes a document. Returns whether it is the held one now.
    pub fn put(&mut self, document: &VersionedDocument) -> bool {
        if document.version <= self.version() {
            return false;
        }
        self.held = Some(document.clone());
        true
    }

    /// The held document.
    #[must_use]
    pub fn held(&self) -> Option<&VersionedDocument> {
        self.held.as_ref()
    }

    /// Version of the held document; 0 when there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.held.as_ref().map_or(0, |document| document.version)
    }
}
