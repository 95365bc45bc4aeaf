//! Golden bytes that an earlier build wrote. Each line of a file is `label hex`.
//!
//! The current build must decode them to the value that was written, and its own encoding of the
//! value must begin with them. Then the earlier build can decode it too, because it ignores
//! trailing parts.
#![allow(dead_code, reason = "each test uses a part of it")]

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::fmt::Write;

/// Parts that a newer build may add after a message.
const PARTS_OF_NEWER_BUILD: [u8; 5] = [1, 9, 2, 7, 7];

/// Golden bytes of one file, by label.
pub struct Golden {
    lines: BTreeMap<String, Vec<u8>>,
    checked: RefCell<BTreeSet<String>>,
}

impl Golden {
    /// Parses the text of a file.
    pub fn new(text: &str) -> Self {
        let lines = text.lines().map(|line| {
            let (label, hex) = line.split_once(' ').expect("a label and its bytes");
            (label.to_owned(), from_hex(hex))
        });
        Self {
            lines: lines.collect(),
            checked: RefCell::default(),
        }
    }

    /// Returns all labels.
    pub fn labels(&self) -> Vec<String> {
        self.lines.keys().cloned().collect()
    }

    /// Returns the bytes of a label and marks the label as checked.
    pub fn bytes(&self, label: &str) -> &[u8] {
        self.checked.borrow_mut().insert(label.to_owned());
        let bytes = self.lines.get(label);
        bytes.unwrap_or_else(|| panic!("no golden bytes of `{label}`"))
    }

    /// Checks that a value is compatible with its golden bytes, with `postcard` as the encoding.
    pub fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(
        &self,
        label: &str,
        value: &T,
    ) {
        let written = postcard::to_stdvec(value).expect("encodable value");
        let golden = self.bytes(label);
        let read: T = postcard::from_bytes(golden)
            .unwrap_or_else(|error| panic!("cannot decode `{label}`: {error}"));
        assert_eq!(&read, value, "`{label}` decodes to a different value");
        assert!(
            written.starts_with(golden),
            "the layout of `{label}` has changed: {}",
            to_hex(&written)
        );
        let extended = [golden, &PARTS_OF_NEWER_BUILD].concat();
        let read: T = postcard::from_bytes(&extended).expect("trailing parts are ignored");
        assert_eq!(&read, value, "trailing parts change the value of `{label}`");
    }

    /// Checks that every line of the file was used.
    pub fn finish(&self) {
        let lines: BTreeSet<String> = self.lines.keys().cloned().collect();
        assert_eq!(
            lines,
            *self.checked.borrow(),
            "the file has lines that no value was checked against"
        );
    }
}

/// Decodes hexadecimal digits.
pub fn from_hex(hex: &str) -> Vec<u8> {
    let digits = (0..hex.len())
        .step_by(2)
        .map(|offset| &hex[offset..offset + 2]);
    let bytes = digits.map(|pair| u8::from_str_radix(pair, 16).expect("hexadecimal digits"));
    bytes.collect()
}

/// Encodes bytes as hexadecimal digits.
pub fn to_hex(bytes: &[u8]) -> String {
    let mut hex = String::new();
    for byte in bytes {
        write!(hex, "{byte:02x}").expect("writing to a string");
    }
    hex
}
