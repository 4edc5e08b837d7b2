//! SVG plots: goodput and latency of a run over time with shaded fault windows, and the results of a sweep.

use crate::report::Summary;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

type PlotError = Box<dyn std::error::Error>;
type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
type Panel<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Draws a panel with caption and mesh; the axes range from 0 to `x` and from 0 to `y`.
fn panel<'a, 'b>(
    area: &'a Area<'b>,
    caption: &str,
    x: f64,
    y: f64,
    x_desc: &str,
) -> Result<Panel<'a, 'b>, PlotError> {
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..x, 0.0..y)?;
    chart.configure_mesh().x_desc(x_desc).draw()?;
    Ok(chart)
}

/// Plots a run in two panels: requests per second by outcome, and p50 and p99 latency of passed requests.
pub fn timeline(summary: &Summary, path: &std::path::Path) -> Result<(), PlotError> {
    let root = SVGBackend::new(path, (960, 640)).into_drawing_area();
    root.fill(&WHITE)?;
    let (top, bottom) = root.split_vertically(320);
    let width = summary.timeline.get(1).map_or(1.0, |b| b.t) - summary.timeline.first().map_or(0.0, |b| b.t);
    let end = summary.timeline.last().map_or(1.0, |b| b.t + width);
    let per_s = |n: usize| n as f64 / width.max(1e-9);
    let max_rate = summary.timeline.iter().map(|b| per_s(b.passed + b.denied + b.other)).fold(1.0, f64::max);
    let mut chart =
        panel(&top, &format!("{} (emulated): reqs a second", summary.name), end, max_rate * 1.1, "s")?;
    shade(&mut chart, summary, max_rate * 1.1)?;
    let rate_points = |f: &dyn Fn(&crate::report::Bucket) -> usize| {
        summary.timeline.iter().map(|b| (b.t, per_s(f(b)))).collect::<Vec<_>>()
    };
    series(&mut chart, rate_points(&|b| b.passed), BLUE, "passed")?;
    series(&mut chart, rate_points(&|b| b.denied), GREEN, "denied")?;
    series(&mut chart, rate_points(&|b| b.other), RED, "failed, unanswered, late")?;
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    let max_latency_ms = summary.timeline.iter().map(|b| b.p99_ms).fold(1.0, f64::max);
    let mut latency_panel = panel(&bottom, "latency of passed reqs, ms", end, max_latency_ms * 1.1, "s")?;
    shade(&mut latency_panel, summary, max_latency_ms * 1.1)?;
    let latency_points = |f: &dyn Fn(&crate::report::Bucket) -> f64| {
        summary.timeline.iter().map(|b| (b.t, f(b))).collect::<Vec<_>>()
    };
    series(&mut latency_panel, latency_points(&|b| b.p50_ms), BLUE, "p50")?;
    series(&mut latency_panel, latency_points(&|b| b.p99_ms), MAGENTA, "p99")?;
    latency_panel.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

/// Draws a line and its legend entry.
fn series(
    chart: &mut Panel<'_, '_>,
    points: Vec<(f64, f64)>,
    color: RGBColor,
    label: &str,
) -> Result<(), PlotError> {
    let key = move |(x, y): (i32, i32)| PathElement::new([(x, y), (x + 16, y)], color);
    chart.draw_series(LineSeries::new(points, color))?.label(label).legend(key);
    Ok(())
}

/// Shades the fault windows.
fn shade(chart: &mut Panel<'_, '_>, summary: &Summary, top: f64) -> Result<(), PlotError> {
    let boxes = summary.faults.iter().map(|(a, b, _)| {
        Rectangle::new([(*a, 0.0), (b.max(a + 0.05), top)], RGBColor(255, 160, 0).mix(0.2).filled())
    });
    chart.draw_series(boxes)?;
    Ok(())
}

/// Plots goodput, share of missed targets and quota overshoot against the swept variable.
pub fn sweep(rows: &[(f64, Summary)], axis: &str, path: &std::path::Path) -> Result<(), PlotError> {
    let root = SVGBackend::new(path, (1200, 400)).into_drawing_area();
    root.fill(&WHITE)?;
    let panels = root.split_evenly((1, 3));
    let (left, right, third) = (&panels[0], &panels[1], &panels[2]);
    let max_x = rows.iter().map(|r| r.0).fold(1.0, f64::max);
    let max_rate = rows.iter().map(|r| r.1.goodput).fold(1.0, f64::max);
    let name = rows.first().map_or(String::new(), |r| r.1.name.clone());
    let mut goodput_panel =
        panel(left, &format!("{name} (emulated): goodput /s"), max_x * 1.05, max_rate * 1.1, axis)?;
    goodput_panel
        .draw_series(LineSeries::new(rows.iter().map(|r| (r.0, r.1.goodput)), BLUE.stroke_width(2)))?;
    goodput_panel.draw_series(rows.iter().map(|r| Circle::new((r.0, r.1.goodput), 3, BLUE.filled())))?;
    let mut missed_panel = panel(right, "share missing the response target", max_x * 1.05, 1.0, axis)?;
    missed_panel
        .draw_series(LineSeries::new(rows.iter().map(|r| (r.0, r.1.missed_share())), RED.stroke_width(2)))?;
    missed_panel.draw_series(rows.iter().map(|r| Circle::new((r.0, r.1.missed_share()), 3, RED.filled())))?;
    let max_overshoot = rows.iter().map(|r| r.1.quota_over).fold(0.1, f64::max);
    let mut quota_panel =
        panel(third, "quota: worst window over its allowance", max_x * 1.05, max_overshoot * 1.1, axis)?;
    let bound = crate::report::QUOTA_BOUND;
    series(&mut quota_panel, vec![(0.0, bound), (max_x * 1.05, bound)], BLACK, "the stated bound, 5%")?;
    series(&mut quota_panel, rows.iter().map(|r| (r.0, r.1.quota_over)).collect(), MAGENTA, "worst over")?;
    quota_panel.draw_series(rows.iter().map(|r| Circle::new((r.0, r.1.quota_over), 3, MAGENTA.filled())))?;
    quota_panel.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
