//! What was sent, answered and run, for `record.txt`.

use std::io::Write as _;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    begun_at: Instant,
    lines: Mutex<Vec<(Instant, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self { begun_at: Instant::now(), lines: Mutex::new(Vec::new()) }
    }

    pub fn note(&self, line: &str) {
        self.note_at(Instant::now(), line);
    }

    pub fn note_at(&self, at: Instant, line: &str) {
        self.lines.lock().unwrap().push((at, line.to_owned()));
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut file = std::fs::File::create(path).expect("record.txt can be written");
        for (at, line) in lines {
            let time = at.saturating_duration_since(self.begun_at);
            let _ = writeln!(file, "{:9.3} {line}", time.as_secs_f64());
        }
    }
}
