//! The log of programs that use the `log` crate: lines to standard error, written by a thread of their own.

use log::{Level, LevelFilter, Log, Metadata, Record};
use lupinledge_logging::{panics, LineWriter};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How long a flush waits at most.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

struct Logger(LineWriter);

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        // of the libraries only the warnings are logged
        metadata.level() <= Level::Warn || metadata.target().starts_with("lupinledge")
    }
    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        let level = record.level().as_str().to_ascii_lowercase();
        self.0.write_line(format!("{now:.3} {level} {}\n", record.args()).into_bytes());
    }
    /// Waits for the lines so far, up to `FLUSH_TIMEOUT`.
    fn flush(&self) {
        self.0.flush(FLUSH_TIMEOUT);
    }
}

/// Installs this logger for the process, from level info on, unless there is one already. A panic on this thread then
/// aborts the process.
pub fn start() {
    let logger = Box::leak(Box::new(Logger(LineWriter::start(std::io::stderr()))));
    if log::set_logger(logger).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
    panics::abort_on_panic(|panic| {
        log::error!("panicked {:?}", panic.to_string());
        log::logger().flush();
    });
}
