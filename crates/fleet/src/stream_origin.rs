//! Origin of a stream, which decides where it may continue.

use crate::backend::{Backend, BackendId};
use crate::incarnation::Incarnation;
use crate::software_version::SoftwareVersion;
use serde::{Deserialize, Serialize};

/// Replica that sent the first event of a stream. Replicas do not check whether another software
/// version began a stream that they continue, so whoever chooses the replica has to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the replica.
    pub service: String,
    /// The replica.
    pub replica: BackendId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its software version; `None` if it was not known.
    pub version: Option<SoftwareVersion>,
}

impl StreamOrigin {
    /// Returns the origin of a stream that `replica` begins.
    #[must_use]
    pub fn at(replica: &Backend) -> Self {
        Self {
            service: replica.service.clone(),
            replica: replica.id.clone(),
            incarnation: replica.incarnation,
            version: replica.version.clone(),
        }
    }

    /// Returns true if `replica` may continue the stream: it has the same software version, or it
    /// is the replica that began the stream. An unknown version equals no other one.
    #[must_use]
    pub fn may_continue_at(&self, replica: &Backend) -> bool {
        if replica.service != self.service {
            return false;
        }
        match (&self.version, &replica.version) {
            (Some(began_at), Some(version)) => began_at == version,
            _ => replica.id == self.replica && replica.incarnation == self.incarnation,
        }
    }
}
