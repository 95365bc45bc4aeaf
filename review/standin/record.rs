//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            file: Arc::new(Mutex::new(
                File::create(path).expect("the record can be written"),
            )),
            start: Instant::now(),
        }
    }

    /// Writes a line with the milliseconds since the start.
    pub fn note(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{ms:>7} {text}");
    }

    /// Writes a line here and to standard output.
    pub fn say(&self, text: &str) {
        self.note(text);
        println!("{text}");
    }
}
