//! Plays whole schedules, and makes a failing one shorter.

use crate::process::Process;
use crate::reference_model::Coverage;
use crate::{Cluster, Flaw, Node, Schedule};
use lupinledge_membership::Standing;

/// So soon after calm a change has to be acknowledged, and all have to be of one mind, seconds.
const BACK: f64 = 4.0;
pub(crate) const WHOLE: f64 = 12.0;
/// So soon after calm everybody sees just those that are there, seconds. One that was cut off while another one came
/// new learns of it by chance alone.
const SIGHT: f64 = 40.0;

/// How a schedule went, if nothing was wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunSummary {
    /// What was seen.
    pub seen: Coverage,
    /// Seconds that passed in the model.
    pub seconds: f64,
    /// Words sent.
    pub words: u64,
}

/// Plays a schedule, then calm, and returns what was wrong first.
pub fn run_schedule(plan: &Schedule, flaw: Flaw) -> Result<RunSummary, String> {
    let mut cluster = Cluster::new(plan, flaw);
    for (wait, step) in &plan.steps {
        cluster.run(f64::from(*wait) / 1000.0);
        if cluster.world.observer.violation.is_some() {
            break;
        }
        cluster.apply_step(step);
    }
    if cluster.world.observer.violation.is_none() {
        end(&mut cluster);
    }
    match cluster.world.observer.violation.take() {
        Some(what) => Err(format!("at {:.3} s: {what}", cluster.world.now)),
        None => {
            let (seen, seconds, words) =
                (cluster.world.observer.seen, cluster.world.now, cluster.world.net.messages_sent);
            Ok(RunSummary { seen, seconds, words })
        }
    }
}

/// Lets the time pass until `done`.
pub(crate) fn until(cluster: &mut Cluster, most: f64, mut done: impl FnMut(&mut Cluster) -> bool) -> bool {
    let end = cluster.world.now + most;
    while cluster.world.now < end && cluster.world.observer.violation.is_none() {
        if done(cluster) {
            return true;
        }
        cluster.run(0.1);
    }
    cluster.world.observer.violation.is_some() || done(cluster)
}

/// Calm: service comes back, all become of one mind, and a change reaches everybody, newcomers too.
pub(crate) fn end(cluster: &mut Cluster) {
    cluster.heal();
    let acks = cluster.world.observer.seen.acks;
    let back = until(cluster, BACK, |cluster| {
        let put = cluster.new_config(cluster.world.observer.version(0));
        cluster.send_command(None, put);
        cluster.world.observer.seen.acks > acks
    });
    if !back {
        return cluster.world.observer.fail(format!("no service {BACK} s after calm"));
    }
    if !until(cluster, WHOLE, |cluster| apart(cluster).is_none()) {
        let apart = apart(cluster).unwrap_or_default();
        return cluster.world.observer.fail(format!("not of one mind {WHOLE} s after calm: {apart}"));
    }
    if !until(cluster, SIGHT, |cluster| blind(cluster).is_none()) {
        let blind = blind(cluster).unwrap_or_default();
        return cluster.world.observer.fail(format!("not all seen {SIGHT} s after calm: {blind}"));
    }
    cluster.run(crate::reference_model::CONTACT);
    let last = cluster.edges[cluster.edges.len() - 1];
    cluster.kill_edge(last);
    let put = cluster.new_config(cluster.world.observer.version(0));
    cluster.send_command(None, put);
    cluster.run(crate::reference_model::APPLY + 0.5);
    cluster.edges.push(last + 10);
    cluster.apply_step(&crate::Step::StartEdges);
    if !until(cluster, crate::reference_model::CONTACT, |cluster| apart(cluster).is_none()) {
        let apart = apart(cluster).unwrap_or_default();
        cluster.world.observer.fail(format!("not of one mind after one more change: {apart}"));
    }
}

/// Who is not where all should be once it is calm.
pub(crate) fn apart(cluster: &Cluster) -> Option<String> {
    let (newest, ..) = cluster.world.observer.newest()?;
    let all: Vec<Node> = cluster.cores.iter().chain(&cluster.edges).copied().collect();
    for &node in &all {
        let index = match cluster.world.process(node) {
            Some(Process::Core(core)) => {
                let index = core.replica.committed().map(|(ballot, _)| ballot.index);
                if core.replica.is_learning()
                    || !core.replica.members().contains(&node)
                    || core.pending_commands() > 0
                {
                    return Some(format!("{node} does not count, or owes replies"));
                }
                index
            }
            Some(Process::Edge(edge)) if edge.ready => edge.document.as_ref().map(|(ballot, _)| ballot.index),
            _ => return Some(format!("{node} does not serve")),
        };
        if index != Some(newest) {
            return Some(format!("{node} holds {index:?}, not {newest}"));
        }
    }
    (cluster.leaders().len() != 1).then(|| "not one holder".into())
}

/// Who takes another one for gone that is there, or the other way round.
fn blind(cluster: &Cluster) -> Option<String> {
    let all: Vec<Node> = cluster.cores.iter().chain(&cluster.edges).copied().collect();
    for &node in &all {
        let disseminator = match cluster.world.process(node)? {
            Process::Core(core) => &core.disseminator,
            Process::Edge(edge) => &edge.disseminator,
        };
        let sees = |other: &Node| {
            *other == node
                || disseminator.membership().member(*other).is_some_and(|m| m.standing == Standing::Alive)
        };
        if let Some(other) = all.iter().find(|other| !sees(other)) {
            return Some(format!("{node} does not see {other}"));
        }
        let extra = disseminator
            .membership()
            .members()
            .find(|m| m.standing == Standing::Alive && !all.contains(&m.node));
        if let Some(extra) = extra {
            return Some(format!("{node} sees {}, which is not there", extra.node));
        }
    }
    None
}

/// What a schedule that fails is told by: its seed, and the fewest of its steps that were found to fail alike.
pub fn failure_report(plan: &Schedule, flaw: Flaw, what: &str) -> String {
    let mut keep: Vec<usize> = (0..plan.steps.len()).collect();
    let mut piece = keep.len().div_ceil(2).max(1);
    let mut left = 400;
    loop {
        let mut at = 0;
        while at < keep.len() && left > 0 {
            left -= 1;
            let mut fewer = keep.clone();
            fewer.drain(at..(at + piece).min(fewer.len()));
            match run_schedule(&plan.only(&fewer), flaw) {
                Err(_) => keep = fewer,
                Ok(_) => at += piece,
            }
        }
        if piece == 1 || left == 0 {
            break;
        }
        piece = piece.div_ceil(2);
    }
    let short = plan.only(&keep);
    let still = run_schedule(&short, flaw).err().unwrap_or_default();
    let places: Vec<String> = keep.iter().map(usize::to_string).collect();
    let Schedule { seed, cores, edges, delay, steps } = &short;
    let mut text = format!("seed {seed}: {what}\n  with these steps alone {still}\n");
    text += &format!("  cores {cores:?}, {edges} edge nodes, ways of up to {delay} ms\n");
    steps.iter().for_each(|(wait, step)| text += &format!("  {wait:4} ms later: {step:?}\n"));
    text + &format!(
        "again: MODEL_SEED={seed} MODEL_KEEP={} cargo test -p lupinledge-simulation replay -- --nocapture",
        places.join(",")
    )
}
