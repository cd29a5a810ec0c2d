//! Structured log lines on standard output, written without ever delaying a request.
//!
//! Lines go through a bounded queue to a thread that writes them. When the queue
//! is full, lines are dropped and counted, and the count is written later.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;

/// The largest number of lines that wait to be written; a line is about 200 bytes.
const MAX_QUEUED_LINES: usize = 4_096;

/// The time for which a stopping process waits until its last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// The largest number of lines that are written in one call.
const MAX_BATCH_LINES: usize = 64;

/// The number of lines that were dropped and not yet reported.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// The number of lines that wait to be written.
static WAITING_LINES: AtomicU64 = AtomicU64::new(0);

struct QueueLogger {
    lines: SyncSender<String>,
}

/// Installs the logger and starts the thread that writes its lines.
pub fn start() -> eyre::Result<()> {
    let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&queue))?;
    log::set_boxed_logger(Box::new(QueueLogger { lines }))?;
    log::set_max_level(LevelFilter::Info);
    Ok(())
}

/// Waits until all queued lines are written, for a short time at most.
pub fn flush() {
    let step = FLUSH_TIMEOUT / 20;
    for _ in 0..20 {
        if WAITING_LINES.load(Ordering::Relaxed) == 0 {
            return;
        }
        std::thread::sleep(step);
    }
}

impl Log for QueueLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target().starts_with("jujubewall")
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let time = SystemTime::now().duration_since(UNIX_EPOCH);
        let time = time.unwrap_or_default();
        let mut line = String::with_capacity(192);
        let _ = writeln!(
            line,
            "time={}.{:03} level={} {}",
            time.as_secs(),
            time.subsec_millis(),
            record.level(),
            record.args()
        );
        WAITING_LINES.fetch_add(1, Ordering::Relaxed);
        match self.lines.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                WAITING_LINES.fetch_sub(1, Ordering::Relaxed);
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    fn flush(&self) {
        flush();
    }
}

fn write_lines(queue: &Receiver<String>) {
    let mut output = std::io::stdout().lock();
    while let Ok(mut text) = queue.recv() {
        let mut lines = 1;
        while lines < MAX_BATCH_LINES
            && let Ok(line) = queue.try_recv()
        {
            text.push_str(&line);
            lines += 1;
        }
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(text, "level=WARN event=log_lines_dropped count={dropped}");
        }
        // If standard output is closed, there is nowhere to report it.
        let _ = output.write_all(text.as_bytes());
        let _ = output.flush();
        WAITING_LINES.fetch_sub(lines as u64, Ordering::Relaxed);
    }
}
