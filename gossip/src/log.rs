//! The log: one line of key=value pairs for each event, to standard error. Lines cost processor time: only what
//! changes hands or goes wrong is told. Whatever becomes of who reads them, they hold nobody up.

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

/// An event as `level=info event=won epoch=257`.
struct Line;

impl<S, N> FormatEvent<S, N> for Line
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut to: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let level = match *event.metadata().level() {
            tracing::Level::ERROR => "error",
            tracing::Level::WARN => "warn",
            _ => "info",
        };
        write!(to, "level={level}")?;
        let mut pairs = Pairs { to, end: Ok(()) };
        event.record(&mut pairs);
        pairs.end?;
        writeln!(pairs.to)
    }
}

struct Pairs<'a> {
    to: Writer<'a>,
    end: fmt::Result,
}

impl Pairs<'_> {
    fn pair(&mut self, field: &Field, value: fmt::Arguments<'_>) {
        self.end = self.end.and_then(|()| write!(self.to, " {}={value}", field.name()));
    }
}

impl Visit for Pairs<'_> {
    fn record_str(&mut self, field: &Field, value: &str) {
        let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=';
        if !value.is_empty() && value.chars().all(plain) {
            self.pair(field, format_args!("{value}"));
        } else {
            self.pair(field, format_args!("{value:?}"));
        }
    }
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        let value = format!("{value:?}");
        self.record_str(field, &value);
    }
}

/// At the end of the process its lines have so long to come out.
const FLUSH: Duration = Duration::from_millis(200);

static LINES: OnceLock<LineWriter> = OnceLock::new();

/// Takes one whole line a call.
struct OneLine;

impl io::Write for OneLine {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        LINES.get().into_iter().for_each(|lines| lines.write_line(line.to_vec()));
        Ok(line.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Waits for the lines so far, but not for a reader that stands still. To be called before the process ends.
pub fn flush() {
    LINES.get().into_iter().for_each(|lines| lines.flush(FLUSH));
}

fn tell_panic(panic: &PanicHookInfo) {
    tracing::error!(event = "panicked", fault = %panic);
    flush();
}

/// From here on events are written, and a panic on this thread ends the process.
pub fn start() {
    LINES.get_or_init(|| LineWriter::start(io::stderr()));
    let fmt = tracing_subscriber::fmt().with_max_level(tracing::Level::INFO).with_writer(|| OneLine);
    let _ = fmt.event_format(Line).try_init();
    // the shared parts tell of each connection; at thousands a second that is too dear
    log::set_max_level(log::LevelFilter::Warn);
    panics::abort_on_panic(tell_panic);
}
