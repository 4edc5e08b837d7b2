//! The log of the old gateway and the lab: lines to standard error that hold nobody up.

use log::{Level, LevelFilter, Log, Metadata, Record};
use lupinledge_logging::{panics, LineWriter};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A flush waits so long at most.
const FLUSH: Duration = Duration::from_secs(1);

struct Logger(LineWriter);

impl Log for Logger {
    fn enabled(&self, m: &Metadata) -> bool {
        // the libraries' own chatter stays out, their warnings don't
        m.level() <= Level::Warn || m.target().starts_with("lupinledge")
    }
    fn log(&self, r: &Record) {
        if !self.enabled(r.metadata()) {
            return;
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        let level = r.level().as_str().to_ascii_lowercase();
        self.0.write_line(format!("{now:.3} {level} {}\n", r.args()).into_bytes());
    }
    /// Waits for the lines so far, a second at the most.
    fn flush(&self) {
        self.0.flush(FLUSH);
    }
}

/// Makes this the process's log, from level info on; does nothing more where there is one. A panic on this thread ends
/// the process.
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
