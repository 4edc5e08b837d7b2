//! The journal: what was told as saved, and what an opening found, is found after every loss of power for as long as
//! it is needed, in order, and no such loss is taken for damage.

use crate::shadow::{image, lay, Flaw, Image, Shadow, Unsynced};
use crate::Folder;
use fastrand::Rng;
use lupinledge_storage::journal::{Batch, Head, Segments};
use lupinledge_storage::{DataDir, JournalBounds, Replayed};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;

const BOUNDS: JournalBounds =
    JournalBounds { segment_bytes: 3_000, segment_seconds: 6.0, max_bytes: u64::MAX };
/// Mixes of what was not synced, at each operation.
const MIXES: usize = 2;
/// Losses of power in a row.
const LIVES: usize = 3;
/// Starts of the program between two of them.
const RUNS: usize = 3;
const SEEDS: u64 = 10;

/// Entries are numbered over all lives; a head bears the number of the last entry before it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Timed(f64),
    UntilHead,
    Head,
}

fn content(id: u64, kind: Kind, length: usize) -> Vec<u8> {
    let keep = match kind {
        Kind::Timed(keep) => keep,
        Kind::UntilHead => -1.0,
        Kind::Head => -2.0,
    };
    let mut content = [id.to_le_bytes(), keep.to_le_bytes()].concat();
    content.extend(std::iter::repeat_n(id as u8, length));
    content
}

fn parse(content: &[u8]) -> Option<(u64, Kind)> {
    let (id, rest) = content.split_first_chunk::<8>()?;
    let (keep, rest) = rest.split_first_chunk::<8>()?;
    let id = u64::from_le_bytes(*id);
    let kind = match f64::from_le_bytes(*keep) {
        -1.0 => Kind::UntilHead,
        -2.0 => Kind::Head,
        keep => Kind::Timed(keep),
    };
    rest.iter().all(|byte| *byte == id as u8).then_some((id, kind))
}

/// What must be found.
#[derive(Clone, Default)]
struct Owed {
    now: f64,
    /// The last entry that was handed over.
    begun: u64,
    /// When each entry expires; none: with a head that covers it.
    entries: BTreeMap<u64, Option<f64>>,
    /// A head that covers this much.
    head: Option<u64>,
}

impl Owed {
    /// What is found is owed from then on.
    fn owe(&mut self, found: &Replayed) {
        let items = found.entries.iter().filter_map(|content| parse(content));
        for (id, kind) in items {
            self.add(id, kind);
        }
    }

    fn add(&mut self, id: u64, kind: Kind) {
        match kind {
            Kind::Timed(keep) => drop(self.entries.insert(id, Some(self.now + keep))),
            Kind::UntilHead => drop(self.entries.insert(id, None)),
            Kind::Head => self.head = self.head.max(Some(id)),
        }
    }

    fn wrong(&self, found: &Replayed) -> Option<String> {
        if found.damaged {
            return Some("taken for damage".into());
        }
        let Some(items) = found.entries.iter().map(|content| parse(content)).collect::<Option<Vec<_>>>()
        else {
            return Some("no entry that was handed over".into());
        };
        for pair in items.windows(2) {
            let ((first, first_kind), (second, second_kind)) = (pair[0], pair[1]);
            let heads = (first_kind == Kind::Head, second_kind == Kind::Head);
            // entries rise; a head comes behind the entry whose number it bears, perhaps more than once
            if first > second || first == second && !heads.1 {
                return Some(format!("{second} behind {first}"));
            }
        }
        let head = items.iter().filter(|item| item.1 == Kind::Head).map(|item| item.0).max();
        if head < self.head {
            return Some(format!("head {head:?} where {:?} was", self.head));
        }
        let ids: BTreeMap<u64, Kind> = items.into_iter().filter(|item| item.1 != Kind::Head).collect();
        if ids.last_key_value().is_some_and(|last| *last.0 > self.begun) {
            return Some("an entry that was never handed over".into());
        }
        let needed = |(id, expires): &(&u64, &Option<f64>)| match expires {
            Some(expires) => *expires > self.now,
            None => head < Some(**id),
        };
        let lost = self.entries.iter().filter(needed).find(|(id, _)| !ids.contains_key(id));
        lost.map(|(id, _)| format!("{id} is lost"))
    }
}

#[derive(Default)]
struct Seen {
    owed: Owed,
    wrong: Option<String>,
    /// One of the disks that the power may have left, and what must be on it.
    left: Option<(Image, Owed)>,
    looks: u64,
}

impl Seen {
    /// Looks at a disk that the power may leave now.
    fn look(&mut self, probe: &Path, left: Image, keep: bool) {
        self.looks += 1;
        lay(probe, &left);
        self.wrong = match Segments::open(Unsynced(DataDir(probe.into())), BOUNDS, self.owed.now) {
            Ok((_, found)) => self.owed.wrong(&found),
            Err(e) => Some(format!("it can't be read: {e}")),
        };
        if keep || self.left.is_none() {
            self.left = Some((left, self.owed.clone()));
        }
    }
}

/// One start of the program, which may end at any operation.
fn run(folder: &Shadow, seen: &RefCell<Seen>, rng: &mut Rng) {
    folder.end_after(None);
    let now = seen.borrow().owed.now;
    let open = || {
        folder.end_after(None);
        Segments::open(folder.clone(), BOUNDS, now).ok()
    };
    let (mut segments, found) = (0..1_000).find_map(|_| open()).expect("a folder");
    {
        let mut seen = seen.borrow_mut();
        seen.wrong = seen.wrong.take().or(seen.owed.wrong(&found));
        seen.owed.owe(&found);
    }
    if folder.flaw == Flaw::None && rng.bool() {
        folder.end_after(Some(rng.u32(..60)));
    }
    let mut number = 0;
    let mut head = Head::default();
    for _ in 0..rng.usize(4..16) {
        let step = if rng.u8(..6) == 0 { 9.0 } else { f64::from(rng.u8(..4)) / 2.0 };
        seen.borrow_mut().owed.now += step;
        let now = seen.borrow().owed.now;
        if rng.u8(..3) == 0 {
            let begun = seen.borrow().owed.begun;
            let entries: Vec<_> =
                (0..rng.usize(1..4)).map(|_| content(begun, Kind::Head, rng.usize(..200))).collect();
            head = Head::new(number, &entries);
        }
        if rng.bool() {
            let _ = segments.maintain(now, &head);
        }
        let mut batch = Batch::default();
        let mut items = Vec::new();
        for _ in 0..rng.usize(1..5) {
            number += 1;
            seen.borrow_mut().owed.begun += 1;
            let id = seen.borrow().owed.begun;
            let keep = [1.0, 4.0, 10.0, 20.0][rng.usize(..4)];
            let kind = if rng.u8(..5) == 0 { Kind::UntilHead } else { Kind::Timed(keep) };
            let keep = (kind != Kind::UntilHead).then_some(keep);
            let content = content(id, kind, [0, 30, 400, 1_500][rng.usize(..4)]);
            batch.push(now, number, &content, keep);
            items.push((id, kind));
        }
        let tries = rng.usize(1..30);
        if !(0..tries).any(|_| segments.write(now, &batch, &head).is_ok()) {
            return;
        }
        let mut seen = seen.borrow_mut();
        items.into_iter().for_each(|(id, kind)| seen.owed.add(id, kind));
        if seen.wrong.is_some() {
            return;
        }
    }
}

/// Plays lives in a row; returns what was wrong, and how many disks were looked at.
fn lives(seed: u64, flaw: Flaw) -> (Option<String>, u64) {
    let mut rng = Rng::with_seed(seed);
    let at = Folder::new(&format!("journal-{flaw:?}-{seed}"));
    let (dir, probe) = (at.0.join("disk"), at.0.join("probe"));
    let (mut disk, mut owed, mut looks) = (Image::new(), Owed::default(), 0);
    for life in 0..LIVES {
        lay(&dir, &disk);
        let seen = Rc::new(RefCell::new(Seen { owed, ..Seen::default() }));
        let (watch, probe) = (seen.clone(), probe.clone());
        let mut dice = Rng::with_seed(rng.u64(..));
        let look = Rc::new(RefCell::new(move |left: &mut dyn FnMut(&mut Rng) -> Image| {
            let mut seen = watch.borrow_mut();
            for _ in 0..MIXES {
                if seen.wrong.is_none() {
                    let left = left(&mut dice);
                    seen.look(&probe, left, dice.u8(..20) == 0);
                }
            }
        }));
        let mut folder = Shadow::new(dir.clone(), &disk, flaw, look);
        // one disk of two refuses now and then
        folder.refuses = if flaw == Flaw::None && seed % 2 == 1 { 6 } else { 0 };
        folder.ends_on_failed_sync = true;
        (0..RUNS).for_each(|_| run(&folder, &seen, &mut rng));
        let mut seen = seen.borrow_mut();
        looks += seen.looks;
        if let Some(wrong) = &seen.wrong {
            return (Some(format!("seed {seed}, life {life}: {wrong}")), looks);
        }
        (disk, owed) = seen.left.take().unwrap_or_else(|| (image(&dir), seen.owed.clone()));
    }
    (None, looks)
}

#[test]
fn what_the_journal_told_as_saved_outlives_a_loss_of_power() {
    let mut looks = 0;
    for seed in 0..SEEDS {
        let (wrong, looked) = lives(seed, Flaw::None);
        assert_eq!(wrong, None);
        looks += looked;
    }
    assert!(looks > 1_000 * MIXES as u64, "{looks} disks");
    eprintln!("{looks} disks");
}

#[test]
fn each_fault_planted_under_the_journal_is_caught() {
    // of these, `SnapshotUnsynced` leaves out the sync of a new segment
    let flaws = [Flaw::BatchUnsynced, Flaw::SnapshotUnsynced, Flaw::FolderUnsynced, Flaw::RemovalUnsynced];
    for flaw in flaws {
        let caught = (0..SEEDS).find_map(|seed| Some((seed + 1, lives(seed, flaw).0?)));
        eprintln!("{flaw:?}: {caught:?}");
        assert!(caught.is_some(), "{flaw:?} is not caught");
    }
}
