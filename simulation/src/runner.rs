//! Runs whole schedules, and finds a shorter schedule for one that fails.

use crate::process::Process;
use crate::reference_model::Coverage;
use crate::{Cluster, Flaw, Node, Schedule};
use lupinledge_membership::Standing;

/// Seconds after healing until a change must be acknowledged.
const SERVICE_TIMEOUT: f64 = 4.0;
/// Seconds after healing until all nodes must agree.
pub(crate) const AGREEMENT_TIMEOUT: f64 = 12.0;
/// Seconds after healing until the membership view of each node must be exactly the present machines. A node that was
/// cut off while another one joined learns of that one only by chance.
const VIEW_TIMEOUT: f64 = 40.0;

/// Results of a run without violations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunSummary {
    /// How often each kind of event was seen.
    pub coverage: Coverage,
    /// Virtual duration of the run, seconds.
    pub seconds: f64,
    /// Number of messages sent.
    pub messages: u64,
}

/// Runs a schedule, heals the cluster and checks that it recovers; returns the first violation.
pub fn run_schedule(schedule: &Schedule, flaw: Flaw) -> Result<RunSummary, String> {
    let mut cluster = Cluster::new(schedule, flaw);
    for (wait, step) in &schedule.steps {
        cluster.run(f64::from(*wait) / 1000.0);
        if cluster.world.observer.violation.is_some() {
            break;
        }
        cluster.apply_step(step);
    }
    if cluster.world.observer.violation.is_none() {
        check_recovery(&mut cluster);
    }
    match cluster.world.observer.violation.take() {
        Some(what) => Err(format!("at {:.3} s: {what}", cluster.world.now)),
        None => {
            let (coverage, seconds, messages) =
                (cluster.world.observer.coverage, cluster.world.now, cluster.world.net.messages_sent);
            Ok(RunSummary { coverage, seconds, messages })
        }
    }
}

/// Runs until `done` is true or a violation is found; returns false if that takes longer than `timeout`.
pub(crate) fn run_until(
    cluster: &mut Cluster,
    timeout: f64,
    mut done: impl FnMut(&mut Cluster) -> bool,
) -> bool {
    let end = cluster.world.now + timeout;
    while cluster.world.now < end && cluster.world.observer.violation.is_none() {
        if done(cluster) {
            return true;
        }
        cluster.run(0.1);
    }
    cluster.world.observer.violation.is_some() || done(cluster)
}

/// Heals the cluster and checks that it serves again, that all nodes agree, and that one more change reaches all nodes,
/// with an edge node replaced meanwhile.
pub(crate) fn check_recovery(cluster: &mut Cluster) {
    cluster.heal();
    let acks = cluster.world.observer.coverage.acks;
    let serves = run_until(cluster, SERVICE_TIMEOUT, |cluster| {
        let put = cluster.new_config(cluster.world.observer.version(0));
        cluster.send_command(None, put);
        cluster.world.observer.coverage.acks > acks
    });
    if !serves {
        return cluster
            .world
            .observer
            .fail(format!("no change is acknowledged {SERVICE_TIMEOUT} s after healing"));
    }
    if !run_until(cluster, AGREEMENT_TIMEOUT, |cluster| disagreement(cluster).is_none()) {
        let what = disagreement(cluster).unwrap_or_default();
        return cluster
            .world
            .observer
            .fail(format!("the nodes disagree {AGREEMENT_TIMEOUT} s after healing: {what}"));
    }
    if !run_until(cluster, VIEW_TIMEOUT, |cluster| wrong_view(cluster).is_none()) {
        let what = wrong_view(cluster).unwrap_or_default();
        return cluster
            .world
            .observer
            .fail(format!("a membership view is wrong {VIEW_TIMEOUT} s after healing: {what}"));
    }
    cluster.run(crate::reference_model::CONTACT_TIMEOUT);
    let last = cluster.edges[cluster.edges.len() - 1];
    cluster.kill_edge(last);
    let put = cluster.new_config(cluster.world.observer.version(0));
    cluster.send_command(None, put);
    cluster.run(crate::reference_model::APPLY_TIMEOUT + 0.5);
    cluster.edges.push(last + 10);
    cluster.apply_step(&crate::Step::StartEdges);
    if !run_until(cluster, crate::reference_model::CONTACT_TIMEOUT, |cluster| disagreement(cluster).is_none())
    {
        let what = disagreement(cluster).unwrap_or_default();
        cluster.world.observer.fail(format!("the nodes disagree after one more change: {what}"));
    }
}

/// Describes a node that does not serve or does not hold the newest document, or that there is not exactly one holder.
pub(crate) fn disagreement(cluster: &Cluster) -> Option<String> {
    let (newest, ..) = cluster.world.observer.newest()?;
    let nodes: Vec<Node> = cluster.cores.iter().chain(&cluster.edges).copied().collect();
    for &node in &nodes {
        let index = match cluster.world.process(node) {
            Some(Process::Core(core)) => {
                let index = core.replica.committed().map(|(ballot, _)| ballot.index);
                if core.replica.is_learning()
                    || !core.replica.members().contains(&node)
                    || core.pending_commands() > 0
                {
                    return Some(format!("{node} is not a full member, or has commands without a reply"));
                }
                index
            }
            Some(Process::Edge(edge)) if edge.ready => edge.document.as_ref().map(|(ballot, _)| ballot.index),
            _ => return Some(format!("{node} does not serve")),
        };
        if index != Some(newest) {
            return Some(format!("{node} holds index {index:?}, not {newest}"));
        }
    }
    (cluster.leaders().len() != 1).then(|| "there is not exactly one holder".into())
}

/// Describes a node whose membership view lacks a present machine or contains another one.
fn wrong_view(cluster: &Cluster) -> Option<String> {
    let nodes: Vec<Node> = cluster.cores.iter().chain(&cluster.edges).copied().collect();
    for &node in &nodes {
        let disseminator = match cluster.world.process(node)? {
            Process::Core(core) => &core.disseminator,
            Process::Edge(edge) => &edge.disseminator,
        };
        let sees = |other: &Node| {
            *other == node
                || disseminator.membership().member(*other).is_some_and(|m| m.standing == Standing::Alive)
        };
        if let Some(other) = nodes.iter().find(|other| !sees(other)) {
            return Some(format!("{node} does not see {other}"));
        }
        let extra = disseminator
            .membership()
            .members()
            .find(|m| m.standing == Standing::Alive && !nodes.contains(&m.node));
        if let Some(extra) = extra {
            return Some(format!("{node} sees {}, which does not exist", extra.node));
        }
    }
    None
}

/// Describes a failed schedule: its seed, a smaller set of steps that fails as well, and the command to run it again.
pub fn failure_report(schedule: &Schedule, flaw: Flaw, what: &str) -> String {
    let mut kept: Vec<usize> = (0..schedule.steps.len()).collect();
    let mut piece = kept.len().div_ceil(2).max(1);
    let mut runs_left = 400;
    loop {
        let mut at = 0;
        while at < kept.len() && runs_left > 0 {
            runs_left -= 1;
            let mut fewer = kept.clone();
            fewer.drain(at..(at + piece).min(fewer.len()));
            match run_schedule(&schedule.with_steps(&fewer), flaw) {
                Err(_) => kept = fewer,
                Ok(_) => at += piece,
            }
        }
        if piece == 1 || runs_left == 0 {
            break;
        }
        piece = piece.div_ceil(2);
    }
    let shortened = schedule.with_steps(&kept);
    let shortened_failure = run_schedule(&shortened, flaw).err().unwrap_or_default();
    let indexes: Vec<String> = kept.iter().map(usize::to_string).collect();
    let Schedule { seed, cores, edges, max_delay_ms, steps } = &shortened;
    let mut text = format!("seed {seed}: {what}\n  with these steps alone {shortened_failure}\n");
    text += &format!("  cores {cores:?}, {edges} edge nodes, delays of up to {max_delay_ms} ms\n");
    steps.iter().for_each(|(wait, step)| text += &format!("  {wait:4} ms later: {step:?}\n"));
    text + &format!(
        "again: MODEL_SEED={seed} MODEL_KEEP={} cargo test -p lupinledge-simulation replay -- --nocapture",
        indexes.join(",")
    )
}
