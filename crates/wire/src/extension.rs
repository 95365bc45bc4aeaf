//! Fields that newer builds add to a message.
//!
//! A message's first part never changes its layout, so that builds of different versions read it
//! side by side. What is added later follows it as numbered parts. A build passes over the parts
//! that it does not know, and a message without a part reads as one whose part is empty.

use crate::errors::{BodySnafu, WireError};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::collections::BTreeMap;

/// Numbers a part; a number is never used again for something else.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartNumber(pub u16);

/// The parts that follow a message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Parts(BTreeMap<PartNumber, Vec<u8>>);

impl Parts {
    /// Adds a part.
    ///
    /// # Errors
    /// The value cannot be encoded.
    pub fn put<T: Serialize>(&mut self, number: PartNumber, value: &T) -> Result<(), WireError> {
        let bytes = postcard::to_stdvec(value).context(BodySnafu)?;
        self.0.insert(number, bytes);
        Ok(())
    }

    /// Reads a part; `None` when the message has none of that number.
    ///
    /// # Errors
    /// The part cannot be read.
    pub fn get<T: DeserializeOwned>(&self, number: PartNumber) -> Result<Option<T>, WireError> {
        let Some(bytes) = self.0.get(&number) else {
            return Ok(None);
        };
        postcard::from_bytes(bytes).map(Some).context(BodySnafu)
    }

    /// Whether there is none.
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

/// Decodes a message and the parts that follow it, none for a message of an older build.
///
/// # Errors
/// The message or its parts cannot be read.
pub fn decode_with_parts<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, Parts), WireError> {
    let (message, rest) = postcard::take_from_bytes(bytes).context(BodySnafu)?;
    if rest.is_empty() {
        return Ok((message, Parts::default()));
    }
    let parts = postcard::from_bytes(rest).context(BodySnafu)?;
    Ok((message, parts))
}
