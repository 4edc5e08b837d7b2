//! Faults that are injected on purpose, to test that the checks detect them. They are injected between the model and
//! the real parts, in what the simulated disks, processes and drivers do with the outputs of the parts.

use crate::core::ZONES;
use crate::process::Command;
use lupinledge_config::accepted::body_hash;
use lupinledge_config::{AcceptedConfigs, Config, Decision, Document};

/// The fault that is injected. The names of the variants are the values of the environment variable MODEL_FLAW.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flaw {
    /// No fault.
    #[default]
    None,
    /// Disks report a save as finished a while before it is durable.
    DiskLies,
    /// A promise without a new vote is not saved.
    PromiseUnsaved,
    /// A member that lost its disk forms a new cluster instead of learning the state of the others.
    WipedFounds,
    /// The leader acknowledges a change once it has proposed it.
    EarlyDone,
    /// Answers that depend on the committed document are given without a read barrier.
    NoConfirm,
    /// The base version of a configuration is not checked.
    AnyBase,
    /// Changes are decided without waiting for the previous change.
    NoTurn,
    /// The next change is decided once no caller waits for the previous one, settled or not.
    TurnTimed,
    /// Only the last two accepted configurations are remembered; older ones are refused when sent again.
    MemoryTwo,
    /// Bodies are compared by 4 bits of their hash.
    HashFour,
    /// An accepted configuration is forgotten once another one is in force.
    NoMemory,
    /// Edge nodes apply updates that are older than what they hold.
    OlderNews,
    /// Edge nodes apply a patch to whatever they hold, and don't check the result.
    AnyPatchBase,
    /// Edge nodes apply a patch again to its own result.
    PatchTwice,
    /// Edge nodes postpone an update that comes soon after another one, and then forget it.
    MergedAway,
    /// Edge nodes become ready once the holder is known, without a document.
    ReadyBare,
    /// Edge nodes don't fetch missing updates.
    DeafEdge,
    /// The handovers of gateways to a new holder are ignored.
    CountsDeaf,
    /// Gateways that have not handed over to a new holder are not asked again once its counters are complete.
    CountsAsked,
    /// A process that does not lead serves the counters of the last epoch that it led.
    CountsUnheld,
    /// A process that does not lead redirects callers to the last holder it received a message from, however old.
    StaleRedirect,
    /// The winner of an epoch acts as leader until it learns of a higher epoch, without answers from a majority.
    LeadsAlone,
    /// Processes look for others among their seeds only, and not among the committed members.
    SeedsAlone,
    /// A core process that is asked to shut down ends at once without announcing it.
    LeavesAtOnce,
    /// Each save writes the state of the previous save.
    SaveBefore,
    /// A core process fetches a missing committed value only once.
    FetchOnce,
    /// Requests for a committed value are not answered.
    FetchDeaf,
}

impl Flaw {
    /// The faults that [`crate::PartitionSchedule`]s must detect.
    pub const PARTITIONS: [Flaw; 4] =
        [Flaw::NoConfirm, Flaw::StaleRedirect, Flaw::LeadsAlone, Flaw::SeedsAlone];

    /// The faults that the schedules of [`crate::resends`] must detect.
    pub const RESENDS: [Flaw; 6] =
        [Flaw::EarlyDone, Flaw::NoTurn, Flaw::TurnTimed, Flaw::MemoryTwo, Flaw::HashFour, Flaw::NoMemory];

    /// The faults that the schedules of [`crate::Schedule`] must detect.
    pub const SCHEDULES: [Flaw; 17] = [
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

    /// The faults that the schedules of [`crate::absent_member`] must detect.
    pub const ABSENT_MEMBER: [Flaw; 4] = [Flaw::DiskLies, Flaw::SaveBefore, Flaw::FetchOnce, Flaw::FetchDeaf];
}

/// Bytes of a hash in [`AcceptedConfigs`].
const HASH_BYTES: usize = 16;

impl Flaw {
    /// The decision of a document on a command, with the fault.
    pub(crate) fn decide(self, document: &Document, command: &Command) -> Decision {
        let known = |zone: &str| ZONES.contains(&zone);
        let correct = document.decide(command.as_order(), known);
        let Command::Put(body) = command else { return correct };
        let mut other = document.clone();
        match self {
            Flaw::AnyBase => other.version = Config::parse(body).map_or(other.version, |c| c.base_version.0),
            Flaw::MemoryTwo => other.accepted = keep_newest(document, 2),
            Flaw::NoMemory => other.accepted = keep_newest(document, 0),
            Flaw::HashFour => {
                let (steps, mut hashes) = accepted_history(document);
                let hash = body_hash(body);
                for accepted in
                    hashes.chunks_exact_mut(HASH_BYTES).filter(|accepted| accepted[0] & 15 == hash[0] & 15)
                {
                    accepted.copy_from_slice(&hash);
                }
                other.accepted = accepted_configs(steps, hashes);
            }
            _ => return correct,
        }
        match other.decide(command.as_order(), known) {
            // The document to propose must not contain the changed history.
            Decision::Propose(_) if self != Flaw::AnyBase => correct,
            decision => decision,
        }
    }
}

/// The accepted configurations that a document remembers: the steps between their versions, and their hashes.
pub(crate) fn accepted_history(document: &Document) -> (Vec<u64>, Vec<u8>) {
    let bytes = rmp_serde::to_vec(&document.accepted).expect("it can be encoded");
    let (steps, hashes): (_, serde_bytes::ByteBuf) = rmp_serde::from_slice(&bytes).expect("two lists");
    (steps, hashes.into_vec())
}

fn accepted_configs(steps: Vec<u64>, hashes: Vec<u8>) -> AcceptedConfigs {
    let bytes = rmp_serde::to_vec(&(steps, serde_bytes::ByteBuf::from(hashes))).expect("it can be encoded");
    rmp_serde::from_slice(&bytes).expect("two lists")
}

/// The newest `count` accepted configurations of a document; the versions of the others count as never accepted.
fn keep_newest(document: &Document, count: usize) -> AcceptedConfigs {
    let (mut steps, mut hashes) = accepted_history(document);
    let surplus = steps.len().saturating_sub(count);
    let dropped: u64 = steps.drain(..surplus).sum();
    hashes.drain(..surplus * HASH_BYTES);
    match steps.first_mut() {
        Some(first) => *first += dropped,
        None => (steps, hashes) = (vec![dropped], vec![0; HASH_BYTES]),
    }
    accepted_configs(steps, hashes)
}
