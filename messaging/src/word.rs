//! All that the own processes say to each other.

use lupinledge_consensus::Msg;
use lupinledge_membership::{Digest, Packet, Patch, Version};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// A patch on its way: see [`lupinledge_membership::Patch`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Patched {
    /// Sum of the piece that it builds on, in two halves; none: on nothing.
    pub base: Option<(u64, u64)>,
    /// Sum of the piece that it gives.
    pub gives: (u64, u64),
    /// Length of that piece, in bytes.
    pub len: u32,
    /// What differs.
    pub bytes: ByteBuf,
}

impl From<Patch> for Patched {
    fn from(p: Patch) -> Patched {
        let halves = |sum: u128| ((sum >> 64) as u64, sum as u64);
        let bytes = ByteBuf::from(p.bytes.to_vec());
        Patched { base: p.base.map(halves), gives: halves(p.result), len: p.len, bytes }
    }
}

impl From<Patched> for Patch {
    fn from(p: Patched) -> Patch {
        let sum = |(high, low): (u64, u64)| u128::from(high) << 64 | u128::from(low);
        let bytes = p.bytes.into_vec().into();
        Patch { base: p.base.map(sum), result: sum(p.gives), len: p.len, bytes }
    }
}

/// What one process says to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum WireMessage {
    /// Membership.
    #[serde(rename = "p")]
    Probe(Packet),
    /// Agreement of the core.
    #[serde(rename = "q")]
    Consensus(Msg),
    /// Send me what is newer than this.
    #[serde(rename = "w")]
    Fetch(Digest),
    /// What is newer than what was asked for.
    #[serde(rename = "n")]
    Update {
        /// What the sender holds.
        digest: Digest,
        /// The newest committed document (MessagePack) with its stamp.
        state: Option<(Version, ByteBuf)>,
        /// The newest list of servers (MessagePack of [`crate::list::List`]) with its epoch and number.
        list: Option<(Version, ByteBuf)>,
    },
    /// The same as patches to what the receiver is taken to hold.
    #[serde(rename = "d")]
    Patches {
        /// What the sender holds.
        digest: Digest,
        /// To the newest committed document, with its stamp.
        state: Option<(Version, Patched)>,
        /// To the newest list of servers, with its epoch and number.
        list: Option<(Version, Patched)>,
    },
    /// To the holder: these are the sums of what I added to these counters.
    #[serde(rename = "c")]
    CounterSums {
        /// Comes back with the answer.
        tag: u64,
        /// Another start of the sender has another one.
        incarnation: u32,
        /// Name, sum ([`parts`]), and for how many seconds after its last use the name is kept.
        calls: Vec<(u64, i64, u16)>,
    },
    /// From a new holder: I hold the counters under this epoch; tell me what you had told.
    #[serde(rename = "h")]
    NewHolder {
        /// The duty's epoch.
        epoch: u64,
    },
    /// To a new holder, ahead of the first count.
    #[serde(rename = "o")]
    CounterReport {
        /// As in counts.
        incarnation: u32,
        told: Vec<NameReport>,
        /// Under which the new holder holds them: it takes nothing that was meant for another epoch.
        epoch: u64,
        /// Which part of what is told this is, and of how many.
        part: (u8, u8),
    },
    /// The totals with the sums that were told.
    #[serde(rename = "t")]
    Totals {
        /// Number of the question.
        tag: u64,
        /// The upper half of the epoch under which they are counted; the lower one is the answering node.
        round: u32,
        /// One a call; empty: I am not the holder.
        totals: Vec<NameTotal>,
    },
    /// What does your clock show?
    #[serde(rename = "k")]
    ClockRequest {
        /// The asker's steady clock; comes back with the answer.
        sent: f64,
    },
    /// My clock shows this.
    #[serde(rename = "i")]
    ClockReply {
        /// From the question.
        sent: f64,
        /// The answerer's steady clock.
        hive: f64,
    },
    /// Operations that run once per key.
    #[serde(rename = "u")]
    Operation(lupinledge_operations::Message),
}

/// What a gateway had told of a name.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct NameReport {
    pub name: u64,
    pub sum: f64,
    /// What of the sum was in the last total.
    pub within: f64,
    /// The last total.
    pub total: f64,
    /// Seconds that the name is kept.
    pub life: f32,
    /// What was left in the customer's store with that total, and how many seconds ago that was.
    pub store: Option<(f64, f32)>,
}

/// What is answered of a name: its total and what is left in its customer's store ([`parts`]), if it has one.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct NameTotal(pub i64, pub Option<i64>);

/// The round of an epoch, see [`Word::Counted`].
pub fn round_of_epoch(epoch: u64) -> u32 {
    (epoch >> 32) as u32
}

/// The epoch of a round that this node won.
pub fn epoch_of_round(round: u32, node: crate::Node) -> u64 {
    u64::from(round) << 32 | u64::from(node)
}

impl WireMessage {
    /// The row in which it waits if it brings news, which digests mend where they are lost: 0 for a list of servers
    /// alone, which tells in time who takes nothing new; 1 for the rest.
    pub(crate) fn news_row(&self) -> Option<usize> {
        match self {
            WireMessage::Update { state: None, list: Some(_), .. }
            | WireMessage::Patches { state: None, list: Some(_), .. } => Some(0),
            WireMessage::Update { .. } | WireMessage::Patches { .. } => Some(1),
            _ => None,
        }
    }

    /// Place among [`crate::KINDS`]. News are of the kind of what they bring most of.
    pub(crate) fn kind(&self) -> usize {
        match self {
            WireMessage::Probe(_) => 0,
            WireMessage::Consensus(_) => 1,
            WireMessage::Fetch(_) => 2,
            WireMessage::Update { state: Some(_), .. } | WireMessage::Patches { state: Some(_), .. } => 3,
            WireMessage::Update { list: Some(_), .. } | WireMessage::Patches { list: Some(_), .. } => 4,
            WireMessage::Update { .. } | WireMessage::Patches { .. } => 5,
            WireMessage::CounterSums { .. }
            | WireMessage::NewHolder { .. }
            | WireMessage::CounterReport { .. }
            | WireMessage::Totals { .. } => 6,
            WireMessage::ClockRequest { .. } | WireMessage::ClockReply { .. } => 7,
            WireMessage::Operation(_) => 8,
        }
    }
}

/// Units are told in so many parts of one: small whole numbers are short, and as sums are told, what is rounded off
/// does not add up.
const PARTS: f64 = 16.0;

/// Units as they are told.
pub fn to_fixed(units: f64) -> i64 {
    (units * PARTS).round() as i64
}

/// Told parts as units.
pub fn from_fixed(parts: i64) -> f64 {
    parts as f64 / PARTS
}

/// Appends a word to a buffer. Nothing is appended on an error.
pub fn encode<T: Serialize>(word: &T, to: &mut Vec<u8>) -> Result<(), rmp_serde::encode::Error> {
    let start = to.len();
    let done = rmp_serde::encode::write(to, word);
    if done.is_err() {
        to.truncate(start);
    }
    done
}

/// Reads a word; bytes left over are an error.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    let mut left = bytes;
    let mut reader = rmp_serde::Deserializer::new(&mut left);
    reader.set_max_depth(64);
    let word = T::deserialize(&mut reader)?;
    match left.len() {
        0 => Ok(word),
        more => Err(rmp_serde::decode::Error::LengthMismatch(more as u32)),
    }
}
