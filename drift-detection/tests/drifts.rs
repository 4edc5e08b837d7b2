//! Drifts by seeds in virtual time: how long a node serves by other rules than were set, and that no other node is
//! thrown out. `drift_report` plays thousands and writes the table and the plot of `docs/reports/intent/`.

mod world;

use world::{play, World, APPLY, AROUND, CAUSES, EDGES};

/// The longest that a node in touch serves by other rules: late may be all of [`APPLY`], and it is looked at.
const MOST: f64 = APPLY + 2.0;

fn check(w: &World, what: &str) {
    assert_eq!(w.unjust, 0, "{what}: a matching node was thrown out");
    assert_eq!(w.empty, 0, "{what}: nobody was left");
    let worst = w.took.iter().copied().fold(0.0, f64::max);
    assert!(worst <= MOST, "{what}: served by other rules for {worst} s");
    let left = w.edges().filter(|e| e.shut || e.wrong.is_some()).count();
    assert_eq!(left, 0, "{what}: not back, or still wrong");
}

/// Each cause within each of what may happen around it.
#[test]
fn drifts_are_over_soon_and_harm_nobody_else() {
    for (c, cause) in CAUSES.iter().enumerate() {
        for (a, around) in AROUND.iter().enumerate() {
            let (seed, count) = ((c * 10 + a) as u64, 1 + (c + a) % 3);
            let w = play(seed, cause, around, count, true);
            check(&w, &format!("{cause} {around} {count} seed {seed}"));
        }
    }
}

/// Without any fault nobody goes out, whatever happens around.
#[test]
fn healthy_nodes_stay() {
    for (a, around) in AROUND.iter().cycle().take(24).enumerate() {
        let w = play(1000 + a as u64, "none", around, 0, true);
        assert_eq!(w.judged, [0; 3], "{around} seed {a}");
        check(&w, around);
    }
}

/// All drift in the same way at once: number decides nothing, and the entry is never empty for long.
#[test]
fn all_at_once() {
    for (c, cause) in CAUSES.iter().enumerate() {
        let w = play(2000 + c as u64, cause, "calm", EDGES, true);
        let left = w.edges().filter(|e| e.shut || e.wrong.is_some()).count();
        assert_eq!((w.unjust, left), (0, 0), "{cause}");
    }
}

/// With the watch off the same schedules fail: what drifts stays wrong.
#[test]
fn without_the_watch_it_lasts() {
    for (c, cause) in CAUSES.iter().enumerate() {
        let w = play(3000 + c as u64, cause, "calm", 1, false);
        let wrong = w.edges().filter(|e| e.wrong.is_some()).count();
        assert!(wrong >= 1 || w.took.iter().any(|t| *t > MOST), "{cause}: {wrong} {:?}", w.took);
    }
}

/// What is kept of a schedule.
struct Sum {
    took: Vec<f64>,
    judged: [u32; 3],
    unjust: u32,
}

/// Played by hand: `cargo test --release -p lupinledge-drift-detection --test drifts -- --ignored --nocapture`. It writes
/// the table and the plot of `docs/reports/intent/`.
#[test]
#[ignore = "some minutes"]
fn drift_report() {
    const SEEDS: u64 = 40;
    let out = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/reports/intent");
    std::fs::create_dir_all(&out).unwrap();
    let played = std::thread::scope(|s| {
        let each = |cause: &'static str| {
            let mut all = Vec::new();
            for (a, around) in AROUND.iter().enumerate() {
                for seed in 0..SEEDS {
                    let w = play(seed * 100 + a as u64, cause, around, 1 + (seed % 3) as usize, true);
                    check(&w, &format!("{cause} {around} seed {seed}"));
                    all.push((*around, Sum { took: w.took, judged: w.judged, unjust: w.unjust }));
                }
            }
            (cause, all)
        };
        let running: Vec<_> = CAUSES.iter().map(|c| s.spawn(move || each(c))).collect();
        running.into_iter().map(|r| r.join().expect("a cause")).collect::<Vec<_>>()
    });
    let mut text = String::from(
        "| cause | schedules | drifts | p50 s | p99 s | max s | out by own, peers, control | matching nodes out |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let row = |name: &str, worlds: &[&Sum]| {
        let took = sorted(worlds);
        let at = |q: f64| took.get(((took.len() as f64 * q) as usize).min(took.len().max(1) - 1));
        let at = |q| at(q).map_or("-".to_string(), |t| format!("{t:.2}"));
        let judged = |j: usize| worlds.iter().map(|w| w.judged[j]).sum::<u32>();
        let unjust: u32 = worlds.iter().map(|w| w.unjust).sum();
        format!(
            "| {name} | {} | {} | {} | {} | {} | {}, {}, {} | {unjust} |\n",
            worlds.len(),
            took.len(),
            at(0.5),
            at(0.99),
            at(1.0),
            judged(0),
            judged(1),
            judged(2),
        )
    };
    for (cause, all) in &played {
        text += &row(cause, &all.iter().map(|p| &p.1).collect::<Vec<_>>());
    }
    for around in AROUND {
        let worlds = played.iter().flat_map(|p| &p.1).filter(|p| p.0 == around).map(|p| &p.1);
        text += &row(&format!("during: {around}"), &worlds.collect::<Vec<_>>());
    }
    let all: Vec<&Sum> = played.iter().flat_map(|p| p.1.iter().map(|w| &w.1)).collect();
    text += &row("all", &all);
    std::fs::write(out.join("table.md"), &text).unwrap();
    println!("{text}");
    let lines: Vec<_> =
        played.iter().map(|(c, all)| (*c, sorted(&all.iter().map(|p| &p.1).collect::<Vec<_>>()))).collect();
    plot(&out.join("times.svg"), &lines).unwrap();
}

fn sorted(worlds: &[&Sum]) -> Vec<f64> {
    let mut took: Vec<f64> = worlds.iter().flat_map(|w| w.took.iter().copied()).collect();
    took.sort_by(f64::total_cmp);
    took
}

/// The share of drifts whose last request by other rules was served within so many seconds, a line a cause.
fn plot(path: &std::path::Path, lines: &[(&str, Vec<f64>)]) -> Result<(), Box<dyn std::error::Error>> {
    use plotters::prelude::*;
    let root = SVGBackend::new(path, (960, 520)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut c = ChartBuilder::on(&root)
        .caption(
            "Seconds from drift to the last request served by other rules (virtual time)",
            ("sans-serif", 18),
        )
        .margin(10)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..MOST, 0.0..1.0)?;
    c.configure_mesh().x_desc("s").y_desc("share of drifts").draw()?;
    for (i, (name, took)) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let n = took.len().max(1) as f64;
        let steps = took.iter().enumerate().flat_map(|(k, t)| [(*t, k as f64 / n), (*t, (k + 1) as f64 / n)]);
        let points = std::iter::once((0.0, 0.0)).chain(steps);
        c.draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    c.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    Ok(root.present()?)
}
