//! Messages and bytes by kind, and by where they went.

use lupinledge_messaging::{encode, Word};
use lupinledge_waggle::Body;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The kinds that are told apart; a piece of news that holds both is of the document's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    Probe,
    Members,
    Want,
    Document,
    List,
    DocumentPatch,
    ListPatch,
    Count,
    Counted,
    Hold,
    Told,
    Clock,
    Agreement,
}

impl Kind {
    pub fn of(word: &Word) -> Kind {
        match word {
            Word::Probe(p) if matches!(p.body, Body::Hello { .. } | Body::Members { .. }) => Kind::Members,
            Word::Probe(_) => Kind::Probe,
            Word::Want(_) => Kind::Want,
            Word::News { state: Some(_), .. } => Kind::Document,
            Word::News { .. } => Kind::List,
            Word::Patches { state: Some(_), .. } => Kind::DocumentPatch,
            Word::Patches { .. } => Kind::ListPatch,
            Word::Count { .. } => Kind::Count,
            Word::Counted { .. } => Kind::Counted,
            Word::Hold { .. } => Kind::Hold,
            Word::Told { .. } => Kind::Told,
            Word::Clock { .. } | Word::ClockIs { .. } => Kind::Clock,
            Word::Queen(_) => Kind::Agreement,
        }
    }

    /// Sent as a datagram; else over a link.
    pub fn datagram(self) -> bool {
        matches!(self, Kind::Probe | Kind::Members | Kind::Hold | Kind::Clock)
    }
}

/// Bytes of a word as it is sent, without headers.
pub fn payload(word: &Word) -> usize {
    match word {
        // large ones are not encoded once more: the measure would cost what it measures
        Word::News { state, list, .. } => {
            60 + [state, list].into_iter().flatten().map(|(_, bytes)| bytes.len() + 12).sum::<usize>()
        }
        word => {
            let mut bytes = Vec::new();
            encode(word, &mut bytes).map_or(0, |()| bytes.len())
        }
    }
}

/// IP and UDP, or IP, TCP and a frame's length; a segment holds 1448 bytes. Acknowledgements are left out.
pub fn headers(kind: Kind, payload: usize) -> usize {
    match kind.datagram() {
        true => 28,
        false => 4 + 52 * (payload + 4).div_ceil(1448),
    }
}

/// Which way, what, and whom with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Line {
    pub out: bool,
    pub kind: Kind,
    /// With the duty holder, another member of the core, or an edge node.
    pub with: With,
    /// In another region.
    pub far: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum With {
    Holder,
    Core,
    Edge,
}

/// Messages, payload bytes, and bytes with headers, since the last look.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Tally(pub Vec<(Line, [u64; 3])>);

/// What is added up.
#[derive(Debug, Default)]
pub struct Sums(BTreeMap<Line, [u64; 3]>);

impl Sums {
    pub fn add(&mut self, line: Line, word: &Word) {
        let bytes = payload(word);
        let sums = self.0.entry(line).or_default();
        let more = [1, bytes as u64, (bytes + headers(line.kind, bytes)) as u64];
        sums.iter_mut().zip(more).for_each(|(s, m)| *s += m);
    }

    pub fn join(&mut self, tally: &Tally) {
        for (line, more) in &tally.0 {
            self.0.entry(*line).or_default().iter_mut().zip(more).for_each(|(s, m)| *s += m);
        }
    }

    /// Of all lines that pass.
    pub fn of(&self, pass: impl Fn(&Line) -> bool) -> [u64; 3] {
        self.0.iter().filter(|l| pass(l.0)).fold([0; 3], |mut all, l| {
            all.iter_mut().zip(l.1).for_each(|(a, m)| *a += m);
            all
        })
    }

    pub fn lines(&self) -> impl Iterator<Item = (&Line, &[u64; 3])> {
        self.0.iter()
    }

    /// What was added up so far; from here on from 0 again.
    pub fn take(&mut self) -> Tally {
        Tally(std::mem::take(&mut self.0).into_iter().collect())
    }
}
