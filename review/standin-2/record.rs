//! The record of what was sent, answered and run.
use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>, bool);

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self(Arc::new((Instant::now(), Mutex::new(file))), true)
    }

    /// Returns a record that keeps nothing, for steady traffic.
    pub fn silent(&self) -> Self {
        Self(Arc::clone(&self.0), false)
    }

    pub fn line(&self, text: &str) {
        if !self.1 {
            return;
        }
        let seconds = self.0.0.elapsed().as_secs_f64();
        let mut file = self.0.1.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} s  {text}");
    }
}
