//! SVG plots: goodput and latency of a run over time with shaded fault windows, and the results of a sweep.

use crate::report::Summary;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

type Failed = Box<dyn std::error::Error>;
type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
type Panel<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Draws a panel with caption and mesh; the axes range from 0 to `x` and from 0 to `y`.
fn panel<'a, 'b>(
    area: &'a Area<'b>,
    caption: &str,
    x: f64,
    y: f64,
    x_desc: &str,
) -> Result<Panel<'a, 'b>, Failed> {
    let mut c = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..x, 0.0..y)?;
    c.configure_mesh().x_desc(x_desc).draw()?;
    Ok(c)
}

/// Plots a run in two panels: requests per second by outcome, and p50 and p99 latency of passed requests.
pub fn timeline(s: &Summary, path: &std::path::Path) -> Result<(), Failed> {
    let root = SVGBackend::new(path, (960, 640)).into_drawing_area();
    root.fill(&WHITE)?;
    let (top, bottom) = root.split_vertically(320);
    let width = s.timeline.get(1).map_or(1.0, |b| b.t) - s.timeline.first().map_or(0.0, |b| b.t);
    let end = s.timeline.last().map_or(1.0, |b| b.t + width);
    let per_s = |n: usize| n as f64 / width.max(1e-9);
    let most = s.timeline.iter().map(|b| per_s(b.passed + b.denied + b.other)).fold(1.0, f64::max);
    let mut c = panel(&top, &format!("{} (emulated): reqs a second", s.name), end, most * 1.1, "s")?;
    shade(&mut c, s, most * 1.1)?;
    let line = |f: &dyn Fn(&crate::report::Bucket) -> usize| {
        s.timeline.iter().map(|b| (b.t, per_s(f(b)))).collect::<Vec<_>>()
    };
    series(&mut c, line(&|b| b.passed), BLUE, "passed")?;
    series(&mut c, line(&|b| b.denied), GREEN, "denied")?;
    series(&mut c, line(&|b| b.other), RED, "failed, unanswered, late")?;
    c.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    let slowest = s.timeline.iter().map(|b| b.p99_ms).fold(1.0, f64::max);
    let mut l = panel(&bottom, "latency of passed reqs, ms", end, slowest * 1.1, "s")?;
    shade(&mut l, s, slowest * 1.1)?;
    let lat = |f: &dyn Fn(&crate::report::Bucket) -> f64| {
        s.timeline.iter().map(|b| (b.t, f(b))).collect::<Vec<_>>()
    };
    series(&mut l, lat(&|b| b.p50_ms), BLUE, "p50")?;
    series(&mut l, lat(&|b| b.p99_ms), MAGENTA, "p99")?;
    l.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

/// Draws a line and its legend entry.
fn series(
    c: &mut Panel<'_, '_>,
    points: Vec<(f64, f64)>,
    color: RGBColor,
    label: &str,
) -> Result<(), Failed> {
    let key = move |(x, y): (i32, i32)| PathElement::new([(x, y), (x + 16, y)], color);
    c.draw_series(LineSeries::new(points, color))?.label(label).legend(key);
    Ok(())
}

/// Shades the fault windows.
fn shade(c: &mut Panel<'_, '_>, s: &Summary, top: f64) -> Result<(), Failed> {
    let boxes = s.faults.iter().map(|(a, b, _)| {
        Rectangle::new([(*a, 0.0), (b.max(a + 0.05), top)], RGBColor(255, 160, 0).mix(0.2).filled())
    });
    c.draw_series(boxes)?;
    Ok(())
}

/// Plots goodput, share of missed targets and quota overshoot against the swept variable.
pub fn sweep(rows: &[(f64, Summary)], axis: &str, path: &std::path::Path) -> Result<(), Failed> {
    let root = SVGBackend::new(path, (1200, 400)).into_drawing_area();
    root.fill(&WHITE)?;
    let panels = root.split_evenly((1, 3));
    let (left, right, third) = (&panels[0], &panels[1], &panels[2]);
    let most_x = rows.iter().map(|r| r.0).fold(1.0, f64::max);
    let most = rows.iter().map(|r| r.1.goodput).fold(1.0, f64::max);
    let name = rows.first().map_or(String::new(), |r| r.1.name.clone());
    let mut g = panel(left, &format!("{name} (emulated): goodput /s"), most_x * 1.05, most * 1.1, axis)?;
    g.draw_series(LineSeries::new(rows.iter().map(|r| (r.0, r.1.goodput)), BLUE.stroke_width(2)))?;
    g.draw_series(rows.iter().map(|r| Circle::new((r.0, r.1.goodput), 3, BLUE.filled())))?;
    let mut m = panel(right, "share missing the response target", most_x * 1.05, 1.0, axis)?;
    m.draw_series(LineSeries::new(rows.iter().map(|r| (r.0, r.1.missed_share())), RED.stroke_width(2)))?;
    m.draw_series(rows.iter().map(|r| Circle::new((r.0, r.1.missed_share()), 3, RED.filled())))?;
    let worst = rows.iter().map(|r| r.1.quota_over).fold(0.1, f64::max);
    let mut q = panel(third, "quota: worst window over its allowance", most_x * 1.05, worst * 1.1, axis)?;
    let bound = crate::report::QUOTA_BOUND;
    series(&mut q, vec![(0.0, bound), (most_x * 1.05, bound)], BLACK, "the stated bound, 5%")?;
    series(&mut q, rows.iter().map(|r| (r.0, r.1.quota_over)).collect(), MAGENTA, "worst over")?;
    q.draw_series(rows.iter().map(|r| Circle::new((r.0, r.1.quota_over), 3, MAGENTA.filled())))?;
    q.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
