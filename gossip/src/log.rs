//! The log: one line of key=value pairs per event, to standard error. Lines cost processor time, so only
//! changes of responsibility and failures are logged. A slow or stuck reader of the log never blocks the
//! process.

use lupinledge_logging::{panics, LineWriter};
use std::fmt;
use std::io;
use std::panic::PanicHookInfo;
use std::sync::OnceLock;
use std::time::Duration;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Formats an event as `level=info event=won epoch=257`.
struct LineFormat;

impl<S, N> FormatEvent<S, N> for LineFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let level = match *event.metadata().level() {
            tracing::Level::ERROR => "error",
            tracing::Level::WARN => "warn",
            _ => "info",
        };
        write!(writer, "level={level}")?;
        let mut fields = FieldWriter { writer, result: Ok(()) };
        event.record(&mut fields);
        fields.result?;
        writeln!(fields.writer)
    }
}

struct FieldWriter<'a> {
    writer: Writer<'a>,
    result: fmt::Result,
}

impl FieldWriter<'_> {
    fn write_pair(&mut self, field: &Field, value: fmt::Arguments<'_>) {
        self.result = self.result.and_then(|()| write!(self.writer, " {}={value}", field.name()));
    }
}

impl Visit for FieldWriter<'_> {
    fn record_str(&mut self, field: &Field, value: &str) {
        let is_plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=';
        if !value.is_empty() && value.chars().all(is_plain) {
            self.write_pair(field, format_args!("{value}"));
        } else {
            self.write_pair(field, format_args!("{value:?}"));
        }
    }
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        let value = format!("{value:?}");
        self.record_str(field, &value);
    }
}

/// The time that the remaining lines get to be written when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

static WRITER: OnceLock<LineWriter> = OnceLock::new();

/// Passes on one whole line per call.
struct EventWriter;

impl io::Write for EventWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        WRITER.get().into_iter().for_each(|lines| lines.write_line(line.to_vec()));
        Ok(line.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Waits until the lines so far are written, but not longer if the reader is stuck. To be called before the
/// process ends.
pub fn flush() {
    WRITER.get().into_iter().for_each(|lines| lines.flush(FLUSH_TIMEOUT));
}

fn log_panic(panic: &PanicHookInfo) {
    tracing::error!(event = "panicked", fault = %panic);
    flush();
}

/// Starts the log. From then on events are written, and a panic on this thread ends the process.
pub fn start() {
    WRITER.get_or_init(|| LineWriter::start(io::stderr()));
    let fmt = tracing_subscriber::fmt().with_max_level(tracing::Level::INFO).with_writer(|| EventWriter);
    let _ = fmt.event_format(LineFormat).try_init();
    // The shared crates log each connection; at thousands per second that would cost too much.
    log::set_max_level(log::LevelFilter::Warn);
    panics::abort_on_panic(log_panic);
}
