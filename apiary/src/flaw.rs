//! Faults that are planted to see that the checks catch them. They are at the seam between the model and the parts:
//! what the model's disks, processes and drivers do with the parts' orders.

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
    /// Edge nodes take news that are older than what they hold.
    OlderNews,
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
}

impl Flaw {
    /// All that are to be caught.
    pub const ALL: [Flaw; 13] = [
        Flaw::DiskLies,
        Flaw::PromiseUnsaved,
        Flaw::WipedFounds,
        Flaw::EarlyDone,
        Flaw::NoConfirm,
        Flaw::AnyBase,
        Flaw::NoTurn,
        Flaw::OlderNews,
        Flaw::ReadyBare,
        Flaw::DeafEdge,
        Flaw::CountsDeaf,
        Flaw::CountsAsked,
        Flaw::CountsUnheld,
    ];
}
