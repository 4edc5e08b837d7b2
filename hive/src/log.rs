//! The log: one line of key=value pairs for each event, to standard error. Lines cost processor time: only what
//! changes hands or goes wrong is told.

use std::fmt;
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

/// From here on events are written.
pub fn start() {
    let fmt = tracing_subscriber::fmt().with_max_level(tracing::Level::INFO).with_writer(std::io::stderr);
    let _ = fmt.event_format(Line).try_init();
}
