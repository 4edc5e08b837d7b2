//! A schedule: what the cluster is, and what happens to it when.

use fastrand::Rng;

/// One thing that happens. Machines are named by their place among those that there are, times in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// An operator puts a configuration; `None`: to all that take themselves for the holder.
    Put(Option<u8>),
    /// Two operators put different ones on the same base.
    ConflictingPuts(Option<u8>, Option<u8>),
    /// One on a base that was in force before.
    StalePut(Option<u8>),
    /// One that was sent before.
    RepeatedPut(Option<u8>),
    /// An operator reads.
    Get(Option<u8>),
    /// A zone is emptied.
    Evacuate(Option<u8>, u8),
    /// A zone is taken back.
    Restore(Option<u8>, u8),
    /// A core process is killed.
    Kill(u8),
    /// All core processes that are down start.
    Start,
    /// All core processes are killed at once.
    KillAll,
    /// A core process is killed and its disk lost, where the promise of the system bears it.
    Wipe(u8),
    /// In the time to come the first core process that promises or votes loses power right after, and starts again.
    KillOnVote(u16),
    /// The ways between the holder and the others are cut one after the other, the last one so much later, while
    /// operators put and read at all that take themselves for the holder.
    GradualCut(u8, u16),
    /// A core process stands still.
    Freeze(u8, u16),
    /// A core machine's disk stalls.
    Stall(u8, u16),
    /// One of so many saves there fails until calm.
    FailSaves(u8, u8),
    /// A core machine is lost for good, and an empty one comes at a new address.
    Replace(u8),
    /// A core machine is told to end, and starts again; the holder if so.
    GracefulRestart(u8, bool),
    /// A new machine comes, and after its time an old one is told to end for good; the holder if so.
    GracefulReplace(u8, bool),
    /// The machines of the mask are cut off from the others.
    Cut(u16, u16),
    /// Some ways are cut, one way each.
    CutOneWay(u16),
    /// So many of 100 words are lost, so many come late.
    DegradeNetwork(u8, u8, u16),
    /// An edge process is killed.
    KillEdge(u8),
    /// All edge processes that are down start.
    StartEdges,
    /// An edge process stands still.
    FreezeEdge(u8, u16),
    /// Everything heals for some seconds, while operators go on.
    Heal,
}

/// A whole schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// For all that is random besides.
    pub seed: u64,
    /// Founding machines, and those that join at once.
    pub cores: (usize, usize),
    /// Edge machines.
    pub edges: usize,
    /// Longest usual way between two machines, milliseconds.
    pub delay: u16,
    /// Steps, each with the milliseconds before it.
    pub steps: Vec<(u16, Step)>,
}

fn at(rng: &mut Rng) -> Option<u8> {
    (rng.u32(..3) == 0).then(|| rng.u8(..))
}

fn step(rng: &mut Rng) -> Step {
    match rng.u32(..100) {
        0..14 => Step::Put(at(rng)),
        14..20 => Step::ConflictingPuts(at(rng), at(rng)),
        20..24 => Step::StalePut(at(rng)),
        24..28 => Step::RepeatedPut(at(rng)),
        28..37 => Step::Get(at(rng)),
        37..42 => Step::Evacuate(at(rng), rng.u8(..)),
        42..44 => Step::Restore(at(rng), rng.u8(..)),
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
        let delay = [3, 30, 120][rng.usize(..3)];
        let count = rng.usize(20..90);
        let steps = (0..count).map(|_| (rng.u16(20..400), step(&mut rng))).collect();
        Schedule { seed, cores, edges, delay, steps }
    }

    /// With the steps of these places alone.
    pub fn only(&self, places: &[usize]) -> Schedule {
        let steps = places.iter().filter_map(|&place| self.steps.get(place).cloned()).collect();
        Schedule { steps, ..self.clone() }
    }
}
