//! Faults that are planted to see that the checks catch them. They are at the seam between the model and the parts:
//! what the model's disks, processes and drivers do with the parts' orders.

use crate::core::ZONES;
use crate::process::Command;
use lupinledge_config::accepted::body_hash;
use lupinledge_config::{AcceptedConfigs, Config, Decision, Document};

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flaw {
    /// Nothing.
    #[default]
    None,
    /// Disks say that a state is saved a while before it is.
    DiskLies,
    /// Promises alone are not written to the disk.
    PromiseUnsaved,
    /// A member whose disk was lost founds again instead of learning.
    WipedFounds,
    /// The holder says 200 once it has proposed.
    EarlyDone,
    /// What is said on top of the document held is said without asking the whole.
    NoConfirm,
    /// The base of a configuration is not looked at.
    AnyBase,
    /// Changes are judged without waiting for the one before.
    NoTurn,
    /// The next change is judged once nobody waits for the one before, settled or not.
    TurnTimed,
    /// Two taken configurations are remembered, and the others refused.
    MemoryTwo,
    /// Bodies are told apart by 4 bits.
    HashFour,
    /// A configuration that is taken is not remembered once another one is in force.
    NoMemory,
    /// Edge nodes take news that are older than what they hold.
    OlderNews,
    /// Edge nodes build on whatever they hold, and do not look at what came out.
    AnyPatchBase,
    /// Edge nodes build on what they have built already: a difference is applied twice.
    PatchTwice,
    /// Edge nodes put off what comes soon after other news, and forget it for that.
    MergedAway,
    /// Edge nodes say that they are ready with the holder known, and no document.
    ReadyBare,
    /// Edge nodes ask nobody for what they lack.
    DeafEdge,
    /// What gateways tell a new holder is not taken.
    CountsDeaf,
    /// Gateways that have not told a new holder are not asked again once its counters are whole.
    CountsAsked,
    /// Counters are added to and answered without the duty, under the last epoch held.
    CountsUnheld,
    /// Who does not hold the duty sends callers to the last holder that it ever heard of.
    StaleRedirect,
    /// Who won an epoch speaks for the whole until it hears of a higher one, without a majority's answers.
    LeadsAlone,
    /// Processes look for others among their seeds alone, not among the members that the agreement names.
    SeedsAlone,
    /// A core process that is told to end ends at once and says nothing.
    LeavesAtOnce,
    /// Of each state that is saved the one before it gets to the disk.
    SaveBefore,
    /// A core machine asks once for what is committed and it has not, and never again.
    FetchOnce,
    /// Nobody is told what it asks for.
    FetchDeaf,
}

impl Flaw {
    /// Those that show where members are cut off for long.
    pub const CUTS: [Flaw; 4] = [Flaw::NoConfirm, Flaw::StaleRedirect, Flaw::LeadsAlone, Flaw::SeedsAlone];

    /// Those that are to be caught by the schedules of [`crate::resends`].
    pub const RESENDS: [Flaw; 6] =
        [Flaw::EarlyDone, Flaw::NoTurn, Flaw::TurnTimed, Flaw::MemoryTwo, Flaw::HashFour, Flaw::NoMemory];
    /// All that are to be caught by the schedules of [`crate::Plan`].
    pub const ALL: [Flaw; 17] = [
        Flaw::LeavesAtOnce,
        Flaw::DiskLies,
        Flaw::PromiseUnsaved,
        Flaw::WipedFounds,
        Flaw::EarlyDone,
        Flaw::NoConfirm,
        Flaw::AnyBase,
        Flaw::NoTurn,
        Flaw::OlderNews,
        Flaw::AnyPatchBase,
        Flaw::PatchTwice,
        Flaw::MergedAway,
        Flaw::ReadyBare,
        Flaw::DeafEdge,
        Flaw::CountsDeaf,
        Flaw::CountsAsked,
        Flaw::CountsUnheld,
    ];

    /// Those that days with a member away are to catch (`away.rs`).
    pub const AWAY: [Flaw; 4] = [Flaw::DiskLies, Flaw::SaveBefore, Flaw::FetchOnce, Flaw::FetchDeaf];
}

/// Bytes of a hash in a memory.
const HASH: usize = 16;

impl Flaw {
    /// What a command comes to on top of a document.
    pub(crate) fn judge(self, document: &Document, command: &Command) -> Decision {
        let known = |zone: &str| ZONES.contains(&zone);
        let plain = document.decide(command.order(), known);
        let Command::Put(body) = command else { return plain };
        let mut other = document.clone();
        match self {
            Flaw::AnyBase => other.version = Config::parse(body).map_or(other.version, |c| c.base_version.0),
            Flaw::MemoryTwo => other.accepted = last(document, 2),
            Flaw::NoMemory => other.accepted = last(document, 0),
            Flaw::HashFour => {
                let (steps, mut hashes) = memory(document);
                let hash = body_hash(body);
                for taken in hashes.chunks_exact_mut(HASH).filter(|taken| taken[0] & 15 == hash[0] & 15) {
                    taken.copy_from_slice(&hash);
                }
                other.accepted = taken(steps, hashes);
            }
            _ => return plain,
        }
        match other.decide(command.order(), known) {
            // what comes into force is not spoilt by it
            Decision::Propose(_) if self != Flaw::AnyBase => plain,
            judged => judged,
        }
    }
}

/// What a document remembers of the configurations taken: steps between numbers, and hashes.
pub(crate) fn memory(document: &Document) -> (Vec<u64>, Vec<u8>) {
    let bytes = rmp_serde::to_vec(&document.accepted).expect("it can be written");
    let (steps, hashes): (_, serde_bytes::ByteBuf) = rmp_serde::from_slice(&bytes).expect("two lists");
    (steps, hashes.into_vec())
}

fn taken(steps: Vec<u64>, hashes: Vec<u8>) -> AcceptedConfigs {
    let bytes = rmp_serde::to_vec(&(steps, serde_bytes::ByteBuf::from(hashes))).expect("it can be written");
    rmp_serde::from_slice(&bytes).expect("two lists")
}

/// A memory of the newest few that holds all others for never taken.
fn last(document: &Document, most: usize) -> AcceptedConfigs {
    let (mut steps, mut hashes) = memory(document);
    let surplus = steps.len().saturating_sub(most);
    let lost: u64 = steps.drain(..surplus).sum();
    hashes.drain(..surplus * HASH);
    match steps.first_mut() {
        Some(first) => *first += lost,
        None => (steps, hashes) = (vec![lost], vec![0; HASH]),
    }
    taken(steps, hashes)
}
