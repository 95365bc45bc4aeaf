//! Bytes that an earlier build wrote, kept as text: a line for each value, `label hex`.
//!
//! Today's build must read them to the value that was written, and what it writes for that value
//! must begin with them: then the earlier build reads it too, since it passes over what follows.
#![allow(dead_code, reason = "each test uses a part of it")]

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::fmt::Write;

/// Bytes behind a message as a newer build may add them.
const PARTS_OF_NEWER_BUILD: [u8; 5] = [1, 9, 2, 7, 7];

/// The lines of one file.
pub struct Golden {
    lines: BTreeMap<String, Vec<u8>>,
    checked: RefCell<BTreeSet<String>>,
}

impl Golden {
    /// Reads the text of a file.
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

    /// All labels.
    pub fn labels(&self) -> Vec<String> {
        self.lines.keys().cloned().collect()
    }

    /// The bytes of a label.
    pub fn bytes(&self, label: &str) -> &[u8] {
        self.checked.borrow_mut().insert(label.to_owned());
        let bytes = self.lines.get(label);
        bytes.unwrap_or_else(|| panic!("no golden bytes of `{label}`"))
    }

    /// Checks a value whose encoding is a `postcard` body.
    pub fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(
        &self,
        label: &str,
        value: &T,
    ) {
        let written = postcard::to_stdvec(value).expect("a value that can be encoded");
        let golden = self.bytes(label);
        let read: T = postcard::from_bytes(golden)
            .unwrap_or_else(|error| panic!("`{label}` cannot be read any more: {error}"));
        assert_eq!(&read, value, "`{label}` reads as another value");
        assert!(
            written.starts_with(golden),
            "`{label}` is laid out differently: {}",
            to_hex(&written)
        );
        let extended = [golden, &PARTS_OF_NEWER_BUILD].concat();
        let read: T = postcard::from_bytes(&extended).expect("parts are passed over");
        assert_eq!(&read, value, "parts behind `{label}` are not passed over");
    }

    /// Checks that every line belongs to a value that was checked.
    pub fn finish(&self) {
        let lines: BTreeSet<String> = self.lines.keys().cloned().collect();
        assert_eq!(
            lines,
            *self.checked.borrow(),
            "lines that no value belongs to"
        );
    }
}

/// Bytes of hexadecimal digits.
pub fn from_hex(hex: &str) -> Vec<u8> {
    let digits = (0..hex.len()).step_by(2).map(|at| &hex[at..at + 2]);
    let bytes = digits.map(|pair| u8::from_str_radix(pair, 16).expect("hexadecimal digits"));
    bytes.collect()
}

/// Hexadecimal digits of bytes.
pub fn to_hex(bytes: &[u8]) -> String {
    let mut hex = String::new();
    for byte in bytes {
        write!(hex, "{byte:02x}").expect("text grows");
    }
    hex
}
