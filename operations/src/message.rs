//! Messages about operations between gateways and voters.

use crate::electorate::{Electorate, ElectorateId, Incarnation};
use crate::record::{ClaimId, Fingerprint, Key, Record};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// A message. Loss, repetition, delay and reordering of messages are all tolerated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Gateway to voter: requests the key. The sender must be the claim's gateway.
    #[serde(rename = "c")]
    Claim {
        key: Key,
        claim: ClaimId,
        fingerprint: Fingerprint,
        /// Seconds for which the key is to stay claimed.
        keep_s: f32,
        /// The newest electorate that the gateway has.
        electorate: ElectorateId,
    },
    /// Voter to gateway: this voter's verdict on a claim.
    #[serde(rename = "v")]
    Vote {
        claim: ClaimId,
        electorate: ElectorateId,
        /// The whole electorate, if it is not the one that the gateway has.
        full_electorate: Option<Electorate>,
        verdict: Verdict,
    },
    /// Gateway to voter: the operation has not run under this claim and never will.
    #[serde(rename = "r")]
    Release { key: Key, claim: ClaimId },
    /// Gateway to voter: store the answer of this operation.
    #[serde(rename = "s")]
    Store { key: Key, claim: ClaimId, answer: ByteBuf },
    /// Gateway to a gateway or a voter: asks for the progress of the operation that this claim runs. The reply repeats the
    /// tag.
    #[serde(rename = "a")]
    AskProgress { key: Key, claim: ClaimId, tag: u64 },
    /// The reply to [`Message::AskProgress`].
    #[serde(rename = "t")]
    ProgressReply { tag: u64, progress: Progress },
    /// Voter to voter: asks for all records, after the sender lost its disk or was not a member for a while.
    #[serde(rename = "l")]
    RequestRecords { incarnation: Incarnation, electorate: Electorate },
    /// Voter to voter: one part of all records that the sender holds. A transfer is complete once all its parts have
    /// arrived.
    #[serde(rename = "h")]
    Records {
        incarnation: Incarnation,
        electorate: Electorate,
        /// Identifies the transfer; differs each time that the sender sends all its records.
        transfer: u64,
        /// Index of this part.
        part: u16,
        /// Number of parts of the transfer.
        parts: u16,
        /// Records whose `keep_s` is the time that remains until they expire.
        records: Vec<Record>,
    },
    /// Voter to voter: the receiver's incarnation up to this number has ended; it must take a later one.
    #[serde(rename = "n")]
    IncarnationEnded { number: u64 },
    /// Voter to voter: the sender's electorate.
    #[serde(rename = "e")]
    ElectorateUpdate(Electorate),
}

/// A voter's reply to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// This voter granted the key to this claim, and the grant is on its disk.
    #[serde(rename = "g")]
    Granted,
    /// This voter has granted the key to another claim.
    #[serde(rename = "h")]
    Held {
        /// The claim that holds the key.
        by: ClaimId,
        /// The fingerprint of the request of that claim.
        fingerprint: Fingerprint,
        /// Whether this voter stores the answer of the operation.
        answered: bool,
    },
    /// This voter does not vote now: it is fetching records, is not a member, or has no room.
    #[serde(rename = "n")]
    Abstained,
}

/// The progress of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// The responder has no record of it, or no longer has its answer.
    #[serde(rename = "n")]
    Unknown,
    /// Its gateway withdrew the claim: the operation has not run under it.
    #[serde(rename = "w")]
    Withdrawn,
    /// The operation is running.
    #[serde(rename = "r")]
    Running,
    /// The operation ended with this answer.
    #[serde(rename = "a")]
    Answered(ByteBuf),
    /// The operation may have run, and its answer is lost.
    #[serde(rename = "u")]
    Lost,
}
