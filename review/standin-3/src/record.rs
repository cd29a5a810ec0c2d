//! What a case saw, written to the file that `RECORD` names.

use std::fs::File;
use std::io::Write as _;
use std::sync::Mutex;
use std::time::Instant;

/// The lines of one run of a case.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    /// Creates the file.
    pub fn new() -> Self {
        let path = std::env::var("RECORD").expect("RECORD names the file to write");
        Self {
            file: Mutex::new(File::create(path).expect("the record can be written")),
            start: Instant::now(),
        }
    }

    /// Writes a line with the seconds since the start.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no writer has failed");
        let at = self.start.elapsed().as_secs_f64();
        writeln!(file, "{at:8.3} {text}").expect("the record can be written");
    }
}

/// Returns whether the disruption is left out.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}
