//! Plays whole schedules, and makes a failing one shorter.

use crate::process::Process;
use crate::truth::Seen;
use crate::{Flaw, Node, Plan, Site};
use lupinledge_membership::Standing;

/// So soon after calm a change has to be acknowledged, and all have to be of one mind, seconds.
const BACK: f64 = 4.0;
pub(crate) const WHOLE: f64 = 12.0;
/// So soon after calm everybody sees just those that are there, seconds. One that was cut off while another one came
/// new learns of it by chance alone.
const SIGHT: f64 = 40.0;

/// How a schedule went, if nothing was wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Course {
    /// What was seen.
    pub seen: Seen,
    /// Seconds that passed in the model.
    pub seconds: f64,
    /// Words sent.
    pub words: u64,
}

/// Plays a schedule, then calm, and returns what was wrong first.
pub fn play(plan: &Plan, flaw: Flaw) -> Result<Course, String> {
    let mut site = Site::new(plan, flaw);
    for (wait, step) in &plan.steps {
        site.pass(f64::from(*wait) / 1000.0);
        if site.world.observer.broken.is_some() {
            break;
        }
        site.step(step);
    }
    if site.world.observer.broken.is_none() {
        end(&mut site);
    }
    match site.world.observer.broken.take() {
        Some(what) => Err(format!("at {:.3} s: {what}", site.world.now)),
        None => {
            let (seen, seconds, words) =
                (site.world.observer.seen, site.world.now, site.world.net.messages_sent);
            Ok(Course { seen, seconds, words })
        }
    }
}

/// Lets the time pass until `done`.
pub(crate) fn until(site: &mut Site, most: f64, mut done: impl FnMut(&mut Site) -> bool) -> bool {
    let end = site.world.now + most;
    while site.world.now < end && site.world.observer.broken.is_none() {
        if done(site) {
            return true;
        }
        site.pass(0.1);
    }
    site.world.observer.broken.is_some() || done(site)
}

/// Calm: service comes back, all become of one mind, and a change reaches everybody, newcomers too.
pub(crate) fn end(site: &mut Site) {
    site.calm();
    let acks = site.world.observer.seen.acks;
    let back = until(site, BACK, |site| {
        let put = site.config(site.world.observer.version(0));
        site.ask(None, put);
        site.world.observer.seen.acks > acks
    });
    if !back {
        return site.world.observer.wrong(format!("no service {BACK} s after calm"));
    }
    if !until(site, WHOLE, |site| apart(site).is_none()) {
        let apart = apart(site).unwrap_or_default();
        return site.world.observer.wrong(format!("not of one mind {WHOLE} s after calm: {apart}"));
    }
    if !until(site, SIGHT, |site| blind(site).is_none()) {
        let blind = blind(site).unwrap_or_default();
        return site.world.observer.wrong(format!("not all seen {SIGHT} s after calm: {blind}"));
    }
    site.pass(crate::truth::CONTACT);
    let last = site.edges[site.edges.len() - 1];
    site.kill_edge(last);
    let put = site.config(site.world.observer.version(0));
    site.ask(None, put);
    site.pass(crate::truth::APPLY + 0.5);
    site.edges.push(last + 10);
    site.step(&crate::Step::StartEdges);
    if !until(site, crate::truth::CONTACT, |site| apart(site).is_none()) {
        let apart = apart(site).unwrap_or_default();
        site.world.observer.wrong(format!("not of one mind after one more change: {apart}"));
    }
}

/// Who is not where all should be once it is calm.
pub(crate) fn apart(site: &Site) -> Option<String> {
    let (newest, ..) = site.world.observer.newest()?;
    let all: Vec<Node> = site.cores.iter().chain(&site.edges).copied().collect();
    for &node in &all {
        let index = match site.world.process(node) {
            Some(Process::Core(core)) => {
                let index = core.queen.committed().map(|(ballot, _)| ballot.index);
                if core.queen.is_learning() || !core.queen.members().contains(&node) || core.unanswered() > 0
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
    (site.leaders().len() != 1).then(|| "not one holder".into())
}

/// Who takes another one for gone that is there, or the other way round.
fn blind(site: &Site) -> Option<String> {
    let all: Vec<Node> = site.cores.iter().chain(&site.edges).copied().collect();
    for &node in &all {
        let spread = match site.world.process(node)? {
            Process::Core(core) => &core.spread,
            Process::Edge(edge) => &edge.spread,
        };
        let sees = |other: &Node| {
            *other == node
                || spread.membership().member(*other).is_some_and(|m| m.standing == Standing::Alive)
        };
        if let Some(other) = all.iter().find(|other| !sees(other)) {
            return Some(format!("{node} does not see {other}"));
        }
        let extra =
            spread.membership().members().find(|m| m.standing == Standing::Alive && !all.contains(&m.node));
        if let Some(extra) = extra {
            return Some(format!("{node} sees {}, which is not there", extra.node));
        }
    }
    None
}

/// What a schedule that fails is told by: its seed, and the fewest of its steps that were found to fail alike.
pub fn report(plan: &Plan, flaw: Flaw, what: &str) -> String {
    let mut keep: Vec<usize> = (0..plan.steps.len()).collect();
    let mut piece = keep.len().div_ceil(2).max(1);
    let mut left = 400;
    loop {
        let mut at = 0;
        while at < keep.len() && left > 0 {
            left -= 1;
            let mut fewer = keep.clone();
            fewer.drain(at..(at + piece).min(fewer.len()));
            match play(&plan.only(&fewer), flaw) {
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
    let still = play(&short, flaw).err().unwrap_or_default();
    let places: Vec<String> = keep.iter().map(usize::to_string).collect();
    let Plan { seed, cores, edges, delay, steps } = &short;
    let mut text = format!("seed {seed}: {what}\n  with these steps alone {still}\n");
    text += &format!("  cores {cores:?}, {edges} edge nodes, ways of up to {delay} ms\n");
    steps.iter().for_each(|(wait, step)| text += &format!("  {wait:4} ms later: {step:?}\n"));
    text + &format!(
        "again: MODEL_SEED={seed} MODEL_KEEP={} cargo test -p lupinledge-simulation replay -- --nocapture",
        places.join(",")
    )
}
