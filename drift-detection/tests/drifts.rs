//! Seeded simulations of drifts in virtual time: how long a node serves by wrong tables, and that no other node is
//! withdrawn. `drift_report` runs thousands of them and writes the table and the plot of `docs/reports/intent/`.

mod cluster;

use cluster::{simulate, Cluster, APPLY, CAUSES, CIRCUMSTANCES, EDGES};

/// Maximum time for which a reachable node may serve by wrong tables: it may be behind for all of [`APPLY`], and the
/// difference has to be detected.
const MAX_DURATION: f64 = APPLY + 2.0;

fn check(cluster: &Cluster, scenario: &str) {
    assert_eq!(cluster.false_withdrawals, 0, "{scenario}: a matching node was withdrawn");
    assert_eq!(cluster.empty_steps, 0, "{scenario}: no node was left in service");
    let worst = cluster.durations.iter().copied().fold(0.0, f64::max);
    assert!(worst <= MAX_DURATION, "{scenario}: served by wrong tables for {worst} s");
    let left = cluster.edges().filter(|e| e.withdrawn || e.wrong_since.is_some()).count();
    assert_eq!(left, 0, "{scenario}: not back in service, or still wrong");
}

/// Every cause under every circumstance.
#[test]
fn drifts_end_soon_and_affect_no_other_node() {
    for (c, cause) in CAUSES.iter().enumerate() {
        for (a, circumstance) in CIRCUMSTANCES.iter().enumerate() {
            let (seed, count) = ((c * 10 + a) as u64, 1 + (c + a) % 3);
            let cluster = simulate(seed, cause, circumstance, count, true);
            check(&cluster, &format!("{cause} {circumstance} {count} seed {seed}"));
        }
    }
}

/// Without a fault no node is withdrawn, under any circumstance.
#[test]
fn healthy_nodes_stay_in_service() {
    for (a, circumstance) in CIRCUMSTANCES.iter().cycle().take(24).enumerate() {
        let cluster = simulate(1000 + a as u64, "none", circumstance, 0, true);
        assert_eq!(cluster.detected, [0; 3], "{circumstance} seed {a}");
        check(&cluster, circumstance);
    }
}

/// All nodes drift in the same way at once: agreement among wrong nodes must not hide the drift, and all return.
#[test]
fn all_nodes_recover_from_the_same_drift() {
    for (c, cause) in CAUSES.iter().enumerate() {
        let cluster = simulate(2000 + c as u64, cause, "calm", EDGES, true);
        let left = cluster.edges().filter(|e| e.withdrawn || e.wrong_since.is_some()).count();
        assert_eq!((cluster.false_withdrawals, left), (0, 0), "{cause}");
    }
}

/// Without monitoring the same simulations fail: nodes that drift stay wrong.
#[test]
fn drifts_last_without_monitoring() {
    for (c, cause) in CAUSES.iter().enumerate() {
        let cluster = simulate(3000 + c as u64, cause, "calm", 1, false);
        let wrong = cluster.edges().filter(|e| e.wrong_since.is_some()).count();
        assert!(
            wrong >= 1 || cluster.durations.iter().any(|t| *t > MAX_DURATION),
            "{cause}: {wrong} {:?}",
            cluster.durations
        );
    }
}

/// The results of one simulation.
struct Summary {
    durations: Vec<f64>,
    detected: [u32; 3],
    false_withdrawals: u32,
}

/// Run manually: `cargo test --release -p lupinledge-drift-detection --test drifts -- --ignored --nocapture`. It writes
/// the table and the plot of `docs/reports/intent/`.
#[test]
#[ignore = "some minutes"]
fn drift_report() {
    const SEEDS: u64 = 40;
    let out = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/reports/intent");
    std::fs::create_dir_all(&out).unwrap();
    let results = std::thread::scope(|s| {
        let run_cause = |cause: &'static str| {
            let mut all = Vec::new();
            for (a, circumstance) in CIRCUMSTANCES.iter().enumerate() {
                for seed in 0..SEEDS {
                    let cluster =
                        simulate(seed * 100 + a as u64, cause, circumstance, 1 + (seed % 3) as usize, true);
                    check(&cluster, &format!("{cause} {circumstance} seed {seed}"));
                    all.push((
                        *circumstance,
                        Summary {
                            durations: cluster.durations,
                            detected: cluster.detected,
                            false_withdrawals: cluster.false_withdrawals,
                        },
                    ));
                }
            }
            (cause, all)
        };
        let running: Vec<_> = CAUSES.iter().map(|c| s.spawn(move || run_cause(c))).collect();
        running.into_iter().map(|r| r.join().expect("the simulations of a cause succeed")).collect::<Vec<_>>()
    });
    let mut text = String::from(
        "| cause | simulations | drifts | p50 s | p99 s | max s | withdrawn by own, peers, control | matching nodes withdrawn |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let row = |name: &str, summaries: &[&Summary]| {
        let durations = sorted(summaries);
        let at =
            |q: f64| durations.get(((durations.len() as f64 * q) as usize).min(durations.len().max(1) - 1));
        let at = |q| at(q).map_or("-".to_string(), |t| format!("{t:.2}"));
        let detected = |detector: usize| summaries.iter().map(|s| s.detected[detector]).sum::<u32>();
        let false_withdrawals: u32 = summaries.iter().map(|s| s.false_withdrawals).sum();
        format!(
            "| {name} | {} | {} | {} | {} | {} | {}, {}, {} | {false_withdrawals} |\n",
            summaries.len(),
            durations.len(),
            at(0.5),
            at(0.99),
            at(1.0),
            detected(0),
            detected(1),
            detected(2),
        )
    };
    for (cause, all) in &results {
        text += &row(cause, &all.iter().map(|p| &p.1).collect::<Vec<_>>());
    }
    for circumstance in CIRCUMSTANCES {
        let summaries = results.iter().flat_map(|p| &p.1).filter(|p| p.0 == circumstance).map(|p| &p.1);
        text += &row(&format!("during: {circumstance}"), &summaries.collect::<Vec<_>>());
    }
    let all: Vec<&Summary> = results.iter().flat_map(|p| p.1.iter().map(|p| &p.1)).collect();
    text += &row("all", &all);
    std::fs::write(out.join("table.md"), &text).unwrap();
    println!("{text}");
    let lines: Vec<_> =
        results.iter().map(|(c, all)| (*c, sorted(&all.iter().map(|p| &p.1).collect::<Vec<_>>()))).collect();
    plot(&out.join("times.svg"), &lines).unwrap();
}

fn sorted(summaries: &[&Summary]) -> Vec<f64> {
    let mut durations: Vec<f64> = summaries.iter().flat_map(|s| s.durations.iter().copied()).collect();
    durations.sort_by(f64::total_cmp);
    durations
}

/// Plots the share of drifts that ended within a number of seconds, one line for each cause.
fn plot(path: &std::path::Path, lines: &[(&str, Vec<f64>)]) -> Result<(), Box<dyn std::error::Error>> {
    use plotters::prelude::*;
    let root = SVGBackend::new(path, (960, 520)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut c = ChartBuilder::on(&root)
        .caption(
            "Seconds from drift to the last request served by wrong tables (virtual time)",
            ("sans-serif", 18),
        )
        .margin(10)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..MAX_DURATION, 0.0..1.0)?;
    c.configure_mesh().x_desc("s").y_desc("share of drifts").draw()?;
    for (i, (name, durations)) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let n = durations.len().max(1) as f64;
        let steps =
            durations.iter().enumerate().flat_map(|(k, t)| [(*t, k as f64 / n), (*t, (k + 1) as f64 / n)]);
        let points = std::iter::once((0.0, 0.0)).chain(steps);
        c.draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    c.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    Ok(root.present()?)
}
