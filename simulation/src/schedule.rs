//! A schedule: the machines of the cluster, and the faults and commands that they are exposed to over time.

use fastrand::Rng;

/// One fault or command. A machine is given by an index into the present machines, modulo their number. Durations are
/// in milliseconds. A command without an index goes to all nodes that consider themselves the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// An operator puts a configuration.
    Put(Option<u8>),
    /// Two operators put different configurations on the same base.
    ConflictingPuts(Option<u8>, Option<u8>),
    /// An operator puts a configuration whose base is the version before the one in force.
    StalePut(Option<u8>),
    /// An operator sends one of the last three configurations again.
    RepeatedPut(Option<u8>),
    /// An operator reads the configuration.
    Get(Option<u8>),
    /// A zone is evacuated.
    Evacuate(Option<u8>, u8),
    /// The evacuation of a zone ends.
    Restore(Option<u8>, u8),
    /// A core process is killed.
    Kill(u8),
    /// All core processes that are down start.
    Start,
    /// All core processes are killed at once.
    KillAll,
    /// A core process is killed and its disk lost, unless that is more than the system promises to tolerate.
    Wipe(u8),
    /// For this time the first core process that promises or votes for a new epoch is killed right after, and starts
    /// again.
    KillOnVote(u16),
    /// The holder is cut off from all other members but the given one, and after the given time also from that one.
    /// Meanwhile operators put and read at all nodes that consider themselves the leader.
    GradualCut(u8, u16),
    /// A core process is paused.
    Freeze(u8, u16),
    /// A core machine's disk stalls.
    Stall(u8, u16),
    /// One of the given number of saves fails on a core machine until the next [`Step::Heal`].
    FailSaves(u8, u8),
    /// A core machine is lost for good, and an empty one joins at a new address.
    Replace(u8),
    /// A core machine (the holder if the flag is set) shuts down in an orderly way and starts again.
    GracefulRestart(u8, bool),
    /// A new core machine joins, and after a while an old one (the holder if the flag is set) shuts down for good.
    GracefulReplace(u8, bool),
    /// The machines whose bits are set in the mask are cut off from the others.
    Cut(u16, u16),
    /// Each route is cut with a probability of one quarter, in one direction only.
    CutOneWay(u16),
    /// Sets the percentages of messages that are lost and that are late, for this many milliseconds.
    DegradeNetwork(u8, u8, u16),
    /// An edge process is killed.
    KillEdge(u8),
    /// All edge processes that are down start.
    StartEdges,
    /// An edge process is paused.
    FreezeEdge(u8, u16),
    /// All faults end, and operators put configurations for some seconds.
    Heal,
}

/// The machines of a cluster and the steps to apply.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Seed of all random choices beside the steps.
    pub seed: u64,
    /// Number of core machines that form the cluster, and of all core machines at the start; the others join at once.
    pub cores: (usize, usize),
    /// Number of edge machines.
    pub edges: usize,
    /// Longest delay of a message that is neither late nor retransmitted, milliseconds.
    pub max_delay_ms: u16,
    /// The steps, each with the milliseconds to wait before it.
    pub steps: Vec<(u16, Step)>,
}

fn target(rng: &mut Rng) -> Option<u8> {
    (rng.u32(..3) == 0).then(|| rng.u8(..))
}

fn step(rng: &mut Rng) -> Step {
    match rng.u32(..100) {
        0..14 => Step::Put(target(rng)),
        14..20 => Step::ConflictingPuts(target(rng), target(rng)),
        20..24 => Step::StalePut(target(rng)),
        24..28 => Step::RepeatedPut(target(rng)),
        28..37 => Step::Get(target(rng)),
        37..42 => Step::Evacuate(target(rng), rng.u8(..)),
        42..44 => Step::Restore(target(rng), rng.u8(..)),
        44..45 => Step::GracefulRestart(rng.u8(..), rng.bool()),
        45..46 => Step::GracefulReplace(rng.u8(..), rng.bool()),
        46..49 => Step::Kill(rng.u8(..)),
        49..51 => Step::KillOnVote(1000 + rng.u16(..3000)),
        51..63 => Step::Start,
        63..64 => Step::GradualCut(rng.u8(..), 1300 + rng.u16(..1500)),
        64..66 => Step::KillAll,
        66..69 => Step::Wipe(rng.u8(..)),
        69..75 => Step::Freeze(rng.u8(..), 300 + rng.u16(..4500)),
        75..77 => Step::Stall(rng.u8(..), rng.u16(..4000)),
        77..79 => Step::FailSaves(rng.u8(..), 2 + rng.u8(..3)),
        79..80 => Step::Replace(rng.u8(..)),
        80..85 => Step::Cut(rng.u16(..), 500 + rng.u16(..6000)),
        85..88 => Step::CutOneWay(500 + rng.u16(..6000)),
        88..90 => Step::DegradeNetwork(rng.u8(..40), rng.u8(..10), 500 + rng.u16(..3000)),
        90..93 => Step::KillEdge(rng.u8(..)),
        93..96 => Step::StartEdges,
        96..99 => Step::FreezeEdge(rng.u8(..), 300 + rng.u16(..6000)),
        _ => Step::Heal,
    }
}

impl Schedule {
    /// The schedule of a seed.
    pub fn new(seed: u64) -> Schedule {
        let mut rng = Rng::with_seed(seed ^ 0x006d_6f64_656c);
        let cores = [(3, 3), (3, 3), (5, 5), (3, 5)][rng.usize(..4)];
        let edges = rng.usize(2..6);
        let max_delay_ms = [3, 30, 120][rng.usize(..3)];
        let count = rng.usize(20..90);
        let steps = (0..count).map(|_| (rng.u16(20..400), step(&mut rng))).collect();
        Schedule { seed, cores, edges, max_delay_ms, steps }
    }

    /// The same schedule with only the steps at these indexes.
    pub fn with_steps(&self, indexes: &[usize]) -> Schedule {
        let steps = indexes.iter().filter_map(|&index| self.steps.get(index).cloned()).collect();
        Schedule { steps, ..self.clone() }
    }
}
