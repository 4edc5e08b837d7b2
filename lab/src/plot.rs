//! Plots of a run (SVG, `plotters`): goodput and latency over time with the fault windows shaded, and a sweep.

use crate::report::Summary;
use plotters::prelude::*;

type Failed = Box<dyn std::error::Error>;

/// Two panels: passed and other reqs a second above, p50 and p99 of passed reqs below; faults shaded.
pub fn timeline(s: &Summary, path: &std::path::Path) -> Result<(), Failed> {
    let root = SVGBackend::new(path, (960, 640)).into_drawing_area();
    root.fill(&WHITE)?;
    let (top, bottom) = root.split_vertically(320);
    let width = s.timeline.get(1).map_or(1.0, |b| b.t) - s.timeline.first().map_or(0.0, |b| b.t);
    let end = s.timeline.last().map_or(1.0, |b| b.t + width);
    let per_s = |n: usize| n as f64 / width.max(1e-9);
    let most = s.timeline.iter().map(|b| per_s(b.passed + b.denied + b.other)).fold(1.0, f64::max);
    let mut c = ChartBuilder::on(&top)
        .caption(format!("{} (emulated): reqs a second", s.name), ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..end, 0.0..most * 1.1)?;
    c.configure_mesh().x_desc("s").draw()?;
    shade(&mut c, s, most * 1.1)?;
    let line = |f: &dyn Fn(&crate::report::Bucket) -> usize| {
        s.timeline.iter().map(|b| (b.t, per_s(f(b)))).collect::<Vec<_>>()
    };
    c.draw_series(LineSeries::new(line(&|b| b.passed), &BLUE))?
        .label("passed")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], BLUE));
    c.draw_series(LineSeries::new(line(&|b| b.denied), &GREEN))?
        .label("denied")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], GREEN));
    c.draw_series(LineSeries::new(line(&|b| b.other), &RED))?
        .label("failed, unanswered, late")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], RED));
    c.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    let slowest = s.timeline.iter().map(|b| b.p99_ms).fold(1.0, f64::max);
    let mut l = ChartBuilder::on(&bottom)
        .caption("latency of passed reqs, ms", ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..end, 0.0..slowest * 1.1)?;
    l.configure_mesh().x_desc("s").draw()?;
    shade(&mut l, s, slowest * 1.1)?;
    let lat = |f: &dyn Fn(&crate::report::Bucket) -> f64| {
        s.timeline.iter().map(|b| (b.t, f(b))).collect::<Vec<_>>()
    };
    l.draw_series(LineSeries::new(lat(&|b| b.p50_ms), &BLUE))?
        .label("p50")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], BLUE));
    l.draw_series(LineSeries::new(lat(&|b| b.p99_ms), &MAGENTA))?
        .label("p99")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], MAGENTA));
    l.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

fn shade<DB: DrawingBackend>(
    c: &mut ChartContext<
        '_,
        DB,
        Cartesian2d<plotters::coord::types::RangedCoordf64, plotters::coord::types::RangedCoordf64>,
    >,
    s: &Summary,
    top: f64,
) -> Result<(), Failed>
where
    DB::ErrorType: 'static,
{
    let boxes = s.faults.iter().map(|(a, b, _)| {
        Rectangle::new([(*a, 0.0), (b.max(a + 0.05), top)], RGBColor(255, 160, 0).mix(0.2).filled())
    });
    c.draw_series(boxes)?;
    Ok(())
}

/// Goodput and missed share against the load multiple.
pub fn sweep(rows: &[(f64, Summary)], path: &std::path::Path) -> Result<(), Failed> {
    let root = SVGBackend::new(path, (960, 400)).into_drawing_area();
    root.fill(&WHITE)?;
    let (left, right) = root.split_horizontally(480);
    let most_x = rows.iter().map(|r| r.0).fold(1.0, f64::max);
    let most = rows.iter().map(|r| r.1.goodput).fold(1.0, f64::max);
    let name = rows.first().map_or(String::new(), |r| r.1.name.clone());
    let mut g = ChartBuilder::on(&left)
        .caption(format!("{name} (emulated): goodput /s"), ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..most_x * 1.05, 0.0..most * 1.1)?;
    g.configure_mesh().x_desc("load, times the scenario's").draw()?;
    g.draw_series(LineSeries::new(rows.iter().map(|r| (r.0, r.1.goodput)), BLUE.stroke_width(2)))?;
    g.draw_series(rows.iter().map(|r| Circle::new((r.0, r.1.goodput), 3, BLUE.filled())))?;
    let mut m = ChartBuilder::on(&right)
        .caption("share missing the response target", ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..most_x * 1.05, 0.0..1.0)?;
    m.configure_mesh().x_desc("load, times the scenario's").draw()?;
    m.draw_series(LineSeries::new(rows.iter().map(|r| (r.0, r.1.missed_share())), RED.stroke_width(2)))?;
    m.draw_series(rows.iter().map(|r| Circle::new((r.0, r.1.missed_share()), 3, RED.filled())))?;
    root.present()?;
    Ok(())
}
