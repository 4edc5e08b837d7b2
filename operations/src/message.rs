//! What gateways and voters say to each other about operations.

use crate::electorate::{Electorate, ElectorateId, Incarnation};
use crate::record::{ClaimId, Fingerprint, Key, Record};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// A message. Lost, repeated, late and reordered ones do no harm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Gateway to voter: grant me this key. The claim's gateway is the sender.
    #[serde(rename = "c")]
    Claim {
        key: Key,
        claim: ClaimId,
        fingerprint: Fingerprint,
        /// Seconds for which the key stays taken.
        keep_s: f32,
        /// The electorate that the gateway knows.
        electorate: ElectorateId,
    },
    /// Voter to gateway: what became of a claim here.
    #[serde(rename = "v")]
    Vote {
        claim: ClaimId,
        electorate: ElectorateId,
        /// The electorate, where the gateway doesn't know it.
        known: Option<Electorate>,
        verdict: Verdict,
    },
    /// Gateway to voter: the claim has not run and never will.
    #[serde(rename = "r")]
    Release { key: Key, claim: ClaimId },
    /// Gateway to voter: keep the answer of this operation.
    #[serde(rename = "s")]
    Store { key: Key, claim: ClaimId, answer: ByteBuf },
    /// Gateway to a gateway or a voter: how far is the operation that this claim runs?
    #[serde(rename = "a")]
    AskProgress { key: Key, claim: ClaimId, tag: u64 },
    /// The answer to that.
    #[serde(rename = "t")]
    ProgressReply { tag: u64, progress: Progress },
    /// Voter to voter: my disk is empty, or I was no member for a while; what do you hold?
    #[serde(rename = "l")]
    RequestRecords { incarnation: Incarnation, electorate: Electorate },
    /// One part of what is held, from number 0; complete when all `parts` of one telling are there.
    #[serde(rename = "h")]
    Records {
        incarnation: Incarnation,
        electorate: Electorate,
        /// Another one for each time that the sender tells what it holds.
        transfer: u64,
        part: u16,
        parts: u16,
        /// With each record the seconds that are left to it.
        records: Vec<Record>,
    },
    /// Voter to voter: that incarnation of yours ended; take a later one.
    #[serde(rename = "n")]
    IncarnationEnded { number: u64 },
    /// Voter to voter: what I know of whose votes count.
    #[serde(rename = "e")]
    ElectorateUpdate(Electorate),
}

/// What a voter says to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The key is this claim's, here, and that is on disk.
    #[serde(rename = "g")]
    Granted,
    /// The key is another claim's.
    #[serde(rename = "h")]
    Held {
        by: ClaimId,
        fingerprint: Fingerprint,
        /// Whether the answer of the operation is kept here.
        answered: bool,
    },
    /// This voter doesn't vote now: it learns, is no member, or has no room.
    #[serde(rename = "n")]
    Abstained,
}

/// How far an operation is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// Nothing is known of it here.
    #[serde(rename = "n")]
    Unknown,
    /// Its gateway withdrew the claim: it has not run under it.
    #[serde(rename = "w")]
    Withdrawn,
    /// It is at work.
    #[serde(rename = "r")]
    Running,
    /// It ended with this answer.
    #[serde(rename = "a")]
    Answered(ByteBuf),
    /// It may have run, and its answer is not known to anybody.
    #[serde(rename = "u")]
    Lost,
}
