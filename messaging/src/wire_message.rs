//! The messages that the processes of the system exchange.

use lupinledge_consensus::Msg;
use lupinledge_membership::{Digest, Packet, Patch, Version};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// The serialised form of [`lupinledge_membership::Patch`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WirePatch {
    /// Checksum of the base, in two halves; `None` if the patch has no base.
    pub base: Option<(u64, u64)>,
    /// Checksum of the resulting content, in two halves.
    pub gives: (u64, u64),
    /// Length of the resulting content, in bytes.
    pub len: u32,
    /// The difference.
    pub bytes: ByteBuf,
}

impl From<Patch> for WirePatch {
    fn from(p: Patch) -> WirePatch {
        let halves = |sum: u128| ((sum >> 64) as u64, sum as u64);
        let bytes = ByteBuf::from(p.bytes.to_vec());
        WirePatch { base: p.base.map(halves), gives: halves(p.result), len: p.len, bytes }
    }
}

impl From<WirePatch> for Patch {
    fn from(p: WirePatch) -> Patch {
        let sum = |(high, low): (u64, u64)| u128::from(high) << 64 | u128::from(low);
        let bytes = p.bytes.into_vec().into();
        Patch { base: p.base.map(sum), result: sum(p.gives), len: p.len, bytes }
    }
}

/// A message from one process to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum WireMessage {
    /// A packet of the membership protocol.
    #[serde(rename = "p")]
    Probe(Packet),
    /// A message of the core's consensus.
    #[serde(rename = "q")]
    Consensus(Msg),
    /// Asks for what is newer than this digest.
    #[serde(rename = "w")]
    Fetch(Digest),
    /// Updates that the receiver does not have.
    #[serde(rename = "n")]
    Update {
        /// The digest of what the sender holds.
        digest: Digest,
        /// The newest committed document (MessagePack) with its version.
        state: Option<(Version, ByteBuf)>,
        /// The newest list of servers (MessagePack of [`crate::list::ServerList`]) with its epoch and number.
        list: Option<(Version, ByteBuf)>,
    },
    /// The same as patches to what the receiver is assumed to hold.
    #[serde(rename = "d")]
    Patches {
        /// The digest of what the sender holds.
        digest: Digest,
        /// The patch to the newest committed document, with its version.
        state: Option<(Version, WirePatch)>,
        /// The patch to the newest list of servers, with its epoch and number.
        list: Option<(Version, WirePatch)>,
    },
    /// To the duty holder: the sums of what the sender added to counters.
    #[serde(rename = "c")]
    CounterSums {
        /// Returned with the answer.
        tag: u64,
        /// Differs for each start of the sender.
        incarnation: u32,
        /// Name, sum (see [`to_fixed`]), and the number of seconds for which the name is kept after its last
        /// use.
        calls: Vec<(u64, i64, u16)>,
    },
    /// From a new duty holder, which holds the counters under this epoch: asks the receiver for a
    /// [`WireMessage::CounterReport`].
    #[serde(rename = "h")]
    NewHolder {
        /// The epoch of the duty.
        epoch: u64,
    },
    /// To a new duty holder, before the first sums: what the sender had reported to earlier holders.
    #[serde(rename = "o")]
    CounterReport {
        /// As in [`WireMessage::CounterSums`].
        incarnation: u32,
        /// The reports, one per counter name.
        told: Vec<NameReport>,
        /// The epoch under which the new holder holds the counters. It ignores a report for another epoch.
        epoch: u64,
        /// The index of this part of the report, and the number of parts.
        part: (u8, u8),
    },
    /// The reply to [`WireMessage::CounterSums`]: the totals, which include the sums that were sent.
    #[serde(rename = "t")]
    Totals {
        /// The tag of the request.
        tag: u64,
        /// The upper half of the epoch under which the counters are held; the lower half is the id of the
        /// answering process.
        round: u32,
        /// One total per call; empty if the sender is not the duty holder.
        totals: Vec<NameTotal>,
    },
    /// Asks for the time of the receiver's steady clock.
    #[serde(rename = "k")]
    ClockRequest {
        /// The requester's steady clock; returned with the answer.
        sent: f64,
    },
    /// The time of the sender's steady clock.
    #[serde(rename = "i")]
    ClockReply {
        /// Copied from the request.
        sent: f64,
        /// The steady clock of the answering process.
        hive: f64,
    },
    /// A message about operations that run once per key.
    #[serde(rename = "u")]
    Operation(lupinledge_operations::Message),
}

/// What a gateway had reported about a counter name.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct NameReport {
    /// The name, as a number.
    pub name: u64,
    /// The sum of what the gateway added.
    pub sum: f64,
    /// The part of the sum that was included in the last total.
    pub within: f64,
    /// The last total received.
    pub total: f64,
    /// Seconds for which the name is kept.
    pub life: f32,
    /// What was left in the customer's store at that total, and how many seconds ago that was.
    pub store: Option<(f64, f32)>,
}

/// The answer about a counter name: its total, and what is left in its customer's store if it has one, both
/// as by [`to_fixed`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct NameTotal(pub i64, pub Option<i64>);

/// Returns the round of an epoch, see [`WireMessage::Totals`].
pub fn round_of_epoch(epoch: u64) -> u32 {
    (epoch >> 32) as u32
}

/// Returns the epoch of a round that process `node` won.
pub fn epoch_of_round(round: u32, node: crate::Node) -> u64 {
    u64::from(round) << 32 | u64::from(node)
}

impl WireMessage {
    /// Returns the index of the queue in which the message waits if it is an update. Lost updates are fetched
    /// again when digests are compared. Queue 0 is for messages with only a list of servers, since it tells
    /// in time which servers take no new requests; queue 1 is for all other updates.
    pub(crate) fn update_queue(&self) -> Option<usize> {
        match self {
            WireMessage::Update { state: None, list: Some(_), .. }
            | WireMessage::Patches { state: None, list: Some(_), .. } => Some(0),
            WireMessage::Update { .. } | WireMessage::Patches { .. } => Some(1),
            _ => None,
        }
    }

    /// Returns the index into [`crate::KINDS`]. An update counts as the kind that makes up most of it.
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

/// Fixed-point numbers have this many steps per unit, so that small whole numbers are encoded in few bytes.
/// Rounding errors do not accumulate, since sums are sent and not differences.
const FRACTION: f64 = 16.0;

/// Converts units to the fixed-point number that is sent.
pub fn to_fixed(value: f64) -> i64 {
    (value * FRACTION).round() as i64
}

/// Converts a fixed-point number that was received to units.
pub fn from_fixed(fixed: i64) -> f64 {
    fixed as f64 / FRACTION
}

/// Appends an encoded message to a buffer. On an error the buffer is unchanged.
pub fn encode<T: Serialize>(message: &T, buffer: &mut Vec<u8>) -> Result<(), rmp_serde::encode::Error> {
    let start = buffer.len();
    let result = rmp_serde::encode::write(buffer, message);
    if result.is_err() {
        buffer.truncate(start);
    }
    result
}

/// Decodes a message; bytes left over are an error.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    let mut rest = bytes;
    let mut reader = rmp_serde::Deserializer::new(&mut rest);
    reader.set_max_depth(64);
    let message = T::deserialize(&mut reader)?;
    match rest.len() {
        0 => Ok(message),
        rest_len => Err(rmp_serde::decode::Error::LengthMismatch(rest_len as u32)),
    }
}
