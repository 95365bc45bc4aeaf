//! Message extensions: fields that newer builds add to a message.
//!
//! The layout of a message never changes, so that builds of different versions can run together.
//! New fields follow the message as numbered parts. A build ignores parts that it does not know,
//! and a message from an older build has no parts.

use crate::errors::{BodySnafu, WireError};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::collections::BTreeMap;

/// Number of a part. A number is never reused for another meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartNumber(pub u16);

/// Parts that follow a message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Parts(BTreeMap<PartNumber, Vec<u8>>);

impl Parts {
    /// Sets a part.
    ///
    /// # Errors
    /// The value cannot be encoded.
    pub fn put<T: Serialize>(&mut self, number: PartNumber, value: &T) -> Result<(), WireError> {
        let bytes = postcard::to_stdvec(value).context(BodySnafu)?;
        self.0.insert(number, bytes);
        Ok(())
    }

    /// Decodes a part. Returns `None` if the message does not have it.
    ///
    /// # Errors
    /// The part cannot be decoded.
    pub fn get<T: DeserializeOwned>(&self, number: PartNumber) -> Result<Option<T>, WireError> {
        let Some(bytes) = self.0.get(&number) else {
            return Ok(None);
        };
        postcard::from_bytes(bytes).map(Some).context(BodySnafu)
    }

    /// Returns true if there are no parts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Encodes a message and the parts that follow it.
///
/// # Errors
/// The message cannot be encoded.
pub fn encode_with_parts<T: Serialize>(message: &T, parts: &Parts) -> Result<Vec<u8>, WireError> {
    let mut bytes = postcard::to_stdvec(message).context(BodySnafu)?;
    if !parts.is_empty() {
        bytes.extend(postcard::to_stdvec(parts).context(BodySnafu)?);
    }
    Ok(bytes)
}

/// Decodes a message and the parts that follow it. A message from an older build has no parts.
///
/// # Errors
/// The message or its parts cannot be decoded.
pub fn decode_with_parts<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, Parts), WireError> {
    let (message, rest) = postcard::take_from_bytes(bytes).context(BodySnafu)?;
    if rest.is_empty() {
        return Ok((message, Parts::default()));
    }
    let parts = postcard::from_bytes(rest).context(BodySnafu)?;
    Ok((message, parts))
}
